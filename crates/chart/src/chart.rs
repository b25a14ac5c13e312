//! Parsing and validation of chart files.

use std::ops::Range;

use hornbeam_core::{Error, Finding, Findings, Place, Result};
use indexmap::{IndexMap, IndexSet};
use toml_edit::{Array, Document, Item, Table};

/// `Transition` leads from one state to another on an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transition {
    /// State that the transition leaves.
    pub from: String,
    /// Event that triggers it.
    pub on: String,
    /// State that it enters.
    pub to: String,
}

/// `Chart` is a validated state chart: all its names are defined, every state
/// is reachable, and no final state has outgoing transitions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chart {
    /// Name of the chart.
    pub name: String,
    /// States in the order of the file.
    pub states: IndexSet<String>,
    /// Initial state of an object.
    pub initial: String,
    /// Final states, none of which has outgoing transitions.
    pub final_states: IndexSet<String>,
    /// Transitions in the order of the file.
    pub transitions: Vec<Transition>,
}

impl Chart {
    /// Parses a chart file. `source` is its name in findings.
    ///
    /// # Errors
    /// [`Error::Invalid`] with every problem and its line and column.
    pub fn parse(source: &str, text: &str) -> Result<Self> {
        let document = Document::parse(text).map_err(|error| {
            let span = error.span().unwrap_or(0..0);
            Error::invalid(vec![Finding::new(
                locate(source, text, span, ""),
                error.message(),
            )])
        })?;
        let mut parser = ChartParser {
            source,
            text,
            findings: Vec::new(),
        };
        let chart = parser.read_chart(document.as_table());
        match chart {
            Some(chart) if parser.findings.is_empty() => Ok(chart),
            _ => Err(Error::invalid(parser.findings)),
        }
    }
}

/// `ChartParser` builds a chart from a TOML table and collects the findings.
struct ChartParser<'a> {
    source: &'a str,
    text: &'a str,
    findings: Findings,
}

impl ChartParser<'_> {
    fn read_chart(&mut self, table: &Table) -> Option<Chart> {
        self.reject_unknown_keys(
            table,
            "",
            &["final", "initial", "name", "states", "transition"],
        );
        let name = self.read_string(table, "name", "");
        let states = self.read_names(table, "states");
        let initial = self.read_string(table, "initial", "");
        let final_states = self.read_names(table, "final");
        let transitions = self.read_transitions(table);
        let chart = Chart {
            name: name?,
            states: states?,
            initial: initial?,
            final_states: final_states?,
            transitions,
        };
        self.check(table, &chart);
        Some(chart)
    }

    fn read_transitions(&mut self, table: &Table) -> Vec<Transition> {
        let Some(entries) = table.get("transition").and_then(Item::as_array_of_tables) else {
            self.report(
                table.span(),
                "transition",
                "At least one [[transition]] is required.",
            );
            return Vec::new();
        };
        let mut transitions = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let path = format!("transition[{index}].");
            self.reject_unknown_keys(entry, &path, &["from", "on", "to"]);
            let from = self.read_string(entry, "from", &path);
            let on = self.read_string(entry, "on", &path);
            let to = self.read_string(entry, "to", &path);
            if let (Some(from), Some(on), Some(to)) = (from, on, to) {
                transitions.push(Transition { from, on, to });
            }
        }
        transitions
    }

    fn check(&mut self, table: &Table, chart: &Chart) {
        let span = |key: &str| table.get(key).and_then(Item::span);
        if !chart.states.contains(&chart.initial) {
            self.report(
                span("initial"),
                "initial",
                "The initial state is not in `states`.",
            );
        }
        for state in &chart.final_states {
            if !chart.states.contains(state) {
                self.report(
                    span("final"),
                    "final",
                    format!("State `{state}` is not in `states`."),
                );
            }
        }
        self.check_transitions(table, chart);
        for state in unreachable_states(chart) {
            let message = format!("State `{state}` cannot be reached from the initial state.");
            self.report(span("states"), "states", message);
        }
    }

    fn check_transitions(&mut self, table: &Table, chart: &Chart) {
        let entries = table.get("transition").and_then(Item::as_array_of_tables);
        let spans: Vec<_> = entries.into_iter().flatten().map(Table::span).collect();
        let mut seen = IndexMap::new();
        for (index, transition) in chart.transitions.iter().enumerate() {
            let span = spans.get(index).cloned().flatten();
            let path = format!("transition[{index}]");
            for state in [&transition.from, &transition.to] {
                if !chart.states.contains(state) {
                    let message = format!("State `{state}` is not in `states`.");
                    self.report(span.clone(), &path, message);
                }
            }
            if chart.final_states.contains(&transition.from) {
                let message = format!(
                    "The final state `{}` must not have outgoing transitions.",
                    transition.from
                );
                self.report(span.clone(), &path, message);
            }
            if let Some(first) = seen.insert((&transition.from, &transition.on), index) {
                let message = format!("It has the same state and event as transition[{first}].");
                self.report(span, &path, message);
            }
        }
    }

    fn read_string(&mut self, table: &Table, key: &str, prefix: &str) -> Option<String> {
        let path = format!("{prefix}{key}");
        let Some(item) = table.get(key) else {
            self.report(table.span(), &path, "The key is missing.");
            return None;
        };
        let value = item.as_str().map(str::to_owned);
        if value.is_none() {
            self.report(item.span(), &path, "A string is expected.");
        }
        value
    }

    fn read_names(&mut self, table: &Table, key: &str) -> Option<IndexSet<String>> {
        let Some(array) = table.get(key).and_then(Item::as_array) else {
            self.report(table.span(), key, "An array of state names is expected.");
            return None;
        };
        let names: Option<IndexSet<String>> = string_set(array);
        if names.is_none() {
            self.report(array.span(), key, "Every element must be a string.");
        }
        names
    }

    fn reject_unknown_keys(&mut self, table: &Table, prefix: &str, allowed: &[&str]) {
        for (key, item) in table.iter().filter(|(key, _)| !allowed.contains(key)) {
            let message = format!("Unknown key; allowed are {}.", allowed.join(", "));
            self.report(item.span(), &format!("{prefix}{key}"), message);
        }
    }

    fn report(&mut self, span: Option<Range<usize>>, path: &str, message: impl Into<String>) {
        let place = locate(self.source, self.text, span.unwrap_or(0..0), path);
        self.findings.push(Finding::new(place, message));
    }
}

fn string_set(array: &Array) -> Option<IndexSet<String>> {
    array
        .iter()
        .map(|value| value.as_str().map(str::to_owned))
        .collect()
}

/// Gets the states that cannot be reached from the initial state.
fn unreachable_states(chart: &Chart) -> Vec<String> {
    let mut reached: IndexSet<&str> = IndexSet::from([chart.initial.as_str()]);
    let mut next = 0;
    while let Some(&state) = reached.get_index(next) {
        let outgoing = chart
            .transitions
            .iter()
            .filter(|transition| transition.from == state);
        reached.extend(outgoing.map(|transition| transition.to.as_str()));
        next += 1;
    }
    chart
        .states
        .iter()
        .filter(|state| !reached.contains(state.as_str()))
        .cloned()
        .collect()
}

/// Determines the line and column of the start of a span.
fn locate(source: &str, text: &str, span: Range<usize>, path: &str) -> Place {
    let before = text.get(..span.start).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    Place {
        source: source.into(),
        path: path.into(),
        line: u32::try_from(line).unwrap_or(u32::MAX),
        column: u32::try_from(column).unwrap_or(u32::MAX),
    }
}
