//! Compares the list of log events with the operators' page `docs/EVENTS.md`.

use std::collections::BTreeSet;
use std::path::Path;

use googletest::prelude::*;
use hornbeam_core::event::Event;

fn events_page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    std::fs::read_to_string(path).expect("docs/EVENTS.md is readable")
}

/// Gets the first three cells of each table row that starts with a number.
fn event_rows(page: &str) -> BTreeSet<(u16, String, String)> {
    let cells = |line: &str| {
        line.split('|')
            .map(|cell| cell.trim().to_owned())
            .collect::<Vec<_>>()
    };
    let row = |cells: Vec<String>| match cells.as_slice() {
        [_, number, name, level, ..] => Some((
            number.parse().ok()?,
            name.trim_matches('`').to_owned(),
            level.clone(),
        )),
        _ => None,
    };
    page.lines().map(cells).filter_map(row).collect()
}

/// Guards against event numbers that the operators' page does not explain, and
/// against numbers on the page that no longer exist.
#[gtest]
fn page_lists_the_events_of_the_code() {
    let in_code: BTreeSet<_> = Event::ALL
        .iter()
        .map(|event| {
            (
                event.number(),
                event.name().to_owned(),
                event.level().to_string().to_lowercase(),
            )
        })
        .collect();
    expect_that!(event_rows(&events_page()), eq(&in_code));
}

/// Guards against two events with the same number, which a filter could not
/// distinguish.
#[gtest]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    let mut sorted = numbers.clone();
    sorted.sort_unstable();
    sorted.dedup();
    expect_that!(numbers, eq(&sorted));
}
