//! Tests of chart files and of state machines bound to them.

use googletest::prelude::*;
use hornbeam_chart::{Chart, ChartDomain, StateMachine};
use hornbeam_core::Error;

const DOOR: &str = r#"name = "door"
states = ["closed", "open", "broken"]
initial = "closed"
final = ["broken"]

[[transition]]
from = "closed"
on = "pull"
to = "open"

[[transition]]
from = "open"
on = "push"
to = "closed"

[[transition]]
from = "open"
on = "kick"
to = "broken"
"#;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed,
    Open,
    Broken,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    Pull,
    Push,
    Kick,
}

#[derive(Debug)]
struct Door;

impl ChartDomain for Door {
    type State = State;
    type Event = Event;
    const STATES: &'static [(&'static str, State)] = &[
        ("closed", State::Closed),
        ("open", State::Open),
        ("broken", State::Broken),
    ];
    const EVENTS: &'static [(&'static str, Event)] = &[
        ("pull", Event::Pull),
        ("push", Event::Push),
        ("kick", Event::Kick),
    ];
}

fn findings_of(text: &str) -> Vec<String> {
    match Chart::parse("door.toml", text) {
        Err(Error::Invalid(findings)) => findings.iter().map(ToString::to_string).collect(),
        other => panic!("findings expected, got {other:?}"),
    }
}

/// Guards against a state machine that deviates from the transitions of its
/// chart.
#[gtest]
fn state_machine_follows_its_chart() {
    let machine = StateMachine::<Door>::parse("door.toml", DOOR).unwrap();
    expect_that!(machine.initial(), eq(State::Closed));
    expect_that!(
        machine.next(State::Closed, Event::Pull),
        some(eq(State::Open))
    );
    expect_that!(
        machine.next(State::Open, Event::Kick),
        some(eq(State::Broken))
    );
    expect_that!(machine.next(State::Closed, Event::Push), none());
    expect_that!(machine.next(State::Broken, Event::Pull), none());
    expect_that!(machine.is_final(State::Broken), eq(true));
}

/// Guards against reporting only the first of several problems, or reporting
/// them without their location.
#[gtest]
fn every_finding_has_a_line_and_column() {
    let text = DOOR.replace(
        "on = \"push\"\nto = \"closed\"",
        "on = \"kick\"\nto = \"ajar\"",
    );
    let text = text.replace("initial = \"closed\"", "initial = \"shut\"");
    let findings = findings_of(&text);
    expect_that!(findings, contains(starts_with("door.toml:3:11: initial: ")));
    expect_that!(
        findings,
        contains(contains_substring("State `ajar` is not in `states`."))
    );
    expect_that!(
        findings,
        contains(contains_substring("same state and event as transition[1]"))
    );
}

/// Guards against a syntax error that is reported without its location.
#[gtest]
fn syntax_errors_have_a_location() {
    expect_that!(
        findings_of("name = \n"),
        elements_are![starts_with("door.toml:1:")]
    );
}

/// Guards against ignoring a misspelled key.
#[gtest]
fn unknown_keys_are_findings() {
    let text = DOOR.replace("final", "finals");
    expect_that!(
        findings_of(&text),
        contains(contains_substring("finals: Unknown key"))
    );
}

/// Guards against a chart whose names differ from those of the program.
#[gtest]
fn names_must_match_the_program() {
    let text = DOOR.replace("\"kick\"", "\"lock\"");
    let error = StateMachine::<Door>::parse("door.toml", &text).unwrap_err();
    expect_that!(error.to_string(), contains_substring("transition.on=lock"));
}

/// Guards against accepting states that no object can reach.
#[gtest]
fn unreachable_states_are_findings() {
    let text = DOOR.replace("\"broken\"]\ninitial", "\"broken\", \"lost\"]\ninitial");
    expect_that!(
        findings_of(&text),
        contains(contains_substring("State `lost` cannot be reached"))
    );
}
