//! Names of log events in sources, for the tests of crates that log.

use std::collections::BTreeSet;
use std::path::Path;

/// Gets the names of the events in the sources of the crate at a folder; other
/// types whose names end in `Event` are left out.
pub fn in_sources(crate_folder: &str) -> BTreeSet<String> {
    let folder = Path::new(crate_folder).join("src");
    let files = std::fs::read_dir(folder).expect("the sources");
    let texts = files.map(|file| {
        let path = file.expect("a file").path();
        std::fs::read_to_string(path).expect("a source")
    });
    texts.flat_map(|text| names(&text)).collect()
}

fn names(text: &str) -> Vec<String> {
    let places = text.match_indices("Event::");
    let whole = places.filter(|(at, _)| !text[..*at].ends_with(|c: char| c.is_alphanumeric()));
    let name = |(at, found): (usize, &str)| {
        let rest = text[at + found.len()..].chars();
        rest.take_while(char::is_ascii_alphanumeric).collect()
    };
    whole.map(name).collect()
}
