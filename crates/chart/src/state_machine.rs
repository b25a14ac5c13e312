//! State machines: charts that are bound to Rust enums.

use hornbeam_core::{Error, Finding, Place, Result};

use crate::chart::Chart;

/// `ChartDomain` maps the names in a chart file to the states and events of one
/// kind of object.
pub trait ChartDomain {
    /// States, normally a fieldless enum.
    type State: Copy + Eq + 'static;
    /// Events, normally a fieldless enum.
    type Event: Copy + Eq + 'static;

    /// All states with their names.
    const STATES: &'static [(&'static str, Self::State)];
    /// All events with their names.
    const EVENTS: &'static [(&'static str, Self::Event)];
}

/// `StateMachine` interprets a chart for the states and events of a domain.
#[derive(Clone, Debug)]
pub struct StateMachine<D: ChartDomain> {
    initial: D::State,
    final_states: Vec<D::State>,
    transitions: Vec<(D::State, D::Event, D::State)>,
}

impl<D: ChartDomain> StateMachine<D> {
    /// Parses a chart and binds it to the domain.
    ///
    /// # Errors
    /// [`Error::Invalid`] with the problems of the file, or with the names that
    /// the file and the domain do not share.
    pub fn parse(source: &str, text: &str) -> Result<Self> {
        Self::bind(source, &Chart::parse(source, text)?)
    }

    /// Gets the initial state of an object.
    pub fn initial(&self) -> D::State {
        self.initial
    }

    /// Whether a state is final.
    pub fn is_final(&self, state: D::State) -> bool {
        self.final_states.contains(&state)
    }

    /// Gets the state that follows an event, or `None` if the chart has no
    /// such transition and the event must be ignored.
    pub fn next(&self, state: D::State, event: D::Event) -> Option<D::State> {
        let matches =
            |(from, on, _): &&(D::State, D::Event, D::State)| *from == state && *on == event;
        self.transitions.iter().find(matches).map(|(_, _, to)| *to)
    }

    fn bind(source: &str, chart: &Chart) -> Result<Self> {
        let mut findings = Vec::new();
        let mut report = |path: String, message: &str| {
            let place = Place {
                source: source.into(),
                path,
                ..Place::default()
            };
            findings.push(Finding::new(place, message));
        };
        for (name, _) in D::STATES
            .iter()
            .filter(|(name, _)| !chart.states.contains(*name))
        {
            report(
                format!("states.{name}"),
                "The program requires this state, but the chart does not define it.",
            );
        }
        for state in chart
            .states
            .iter()
            .filter(|state| lookup(D::STATES, state).is_none())
        {
            report(
                format!("states.{state}"),
                "The program does not define this state.",
            );
        }
        for on in chart.transitions.iter().map(|transition| &transition.on) {
            if lookup(D::EVENTS, on).is_none() {
                report(
                    format!("transition.on={on}"),
                    "The program does not define this event.",
                );
            }
        }
        if !findings.is_empty() {
            return Err(Error::invalid(findings));
        }
        let unbound_name = || Error::corrupt("a validated chart contains an unbound name");
        let state = |name: &str| lookup(D::STATES, name).ok_or_else(unbound_name);
        let event = |name: &str| lookup(D::EVENTS, name).ok_or_else(unbound_name);
        let transitions = chart.transitions.iter().map(|transition| {
            Ok((
                state(&transition.from)?,
                event(&transition.on)?,
                state(&transition.to)?,
            ))
        });
        Ok(Self {
            initial: state(&chart.initial)?,
            final_states: chart
                .final_states
                .iter()
                .map(|name| state(name))
                .collect::<Result<_>>()?,
            transitions: transitions.collect::<Result<_>>()?,
        })
    }
}

fn lookup<T: Copy>(names: &[(&str, T)], name: &str) -> Option<T> {
    names
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, value)| *value)
}
