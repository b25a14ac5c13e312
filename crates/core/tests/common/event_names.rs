//! Finds the names of log events in source files, for the tests of crates that
//! log events.

use std::collections::BTreeSet;
use std::path::Path;

/// Gets the names of the events in the sources of the crate in a folder.
/// Variants of other types whose names end in `Event` are ignored.
pub fn in_sources(crate_folder: &str) -> BTreeSet<String> {
    let folder = Path::new(crate_folder).join("src");
    let files = std::fs::read_dir(folder).expect("the sources");
    let texts = files.map(|file| {
        let path = file.expect("a file").path();
        std::fs::read_to_string(path).expect("a source")
    });
    texts.flat_map(|text| names_in(&text)).collect()
}

fn names_in(text: &str) -> Vec<String> {
    let matches = text.match_indices("Event::");
    let event_paths =
        matches.filter(|(at, _)| !text[..*at].ends_with(|c: char| c.is_alphanumeric()));
    let name = |(at, found): (usize, &str)| {
        let rest = text[at + found.len()..].chars();
        rest.take_while(char::is_ascii_alphanumeric).collect()
    };
    event_paths.map(name).collect()
}
