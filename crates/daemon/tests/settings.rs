//! Compares docs/SETTINGS.md with the help text of the binary.

use std::collections::BTreeMap;
use std::process::Command;

/// Gets the variable and the default of each flag from the help text.
fn offered() -> BTreeMap<String, (String, Option<String>)> {
    let output = Command::new(env!("CARGO_BIN_EXE_hornbeamd"))
        .env_clear()
        .arg("--help")
        .output()
        .expect("the binary runs");
    let help = String::from_utf8(output.stdout).expect("text");
    let (_, options) = help.split_once("Available options:").expect("options");
    let words: Vec<&str> = options.split_whitespace().collect();
    let text = words.join(" ");
    // The help of one setting may mention the flag of another.
    let settings = text.split("] --").map(|part| part.trim_start_matches("--"));
    settings
        .filter_map(|part| {
            let (flag, rest) = part.split_once("=VALUE ")?;
            let (meaning, variable) = rest.split_once("[env:")?;
            let variable = variable.split(':').next()?.to_owned();
            let default = meaning.split_once("default ").map(|(_, after)| {
                let end = after.find(['.', ';']).expect("an end of the default");
                after[..end].to_owned()
            });
            Some((flag.to_owned(), (variable, default)))
        })
        .collect()
}

/// Gets the same from the page; a default without backticks counts as none.
fn documented() -> BTreeMap<String, (String, Option<String>)> {
    let page = include_str!("../../../docs/SETTINGS.md");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `--"));
    rows.map(|row| {
        let cells: Vec<&str> = row
            .trim_end_matches('|')
            .split('|')
            .map(str::trim)
            .collect();
        assert_eq!(cells.len(), 7, "{row}");
        assert!(!cells[5].is_empty() && !cells[6].is_empty(), "{row}");
        let plain = |cell: &str| cell.trim_matches('`').to_owned();
        let default = cells[4].starts_with('`').then(|| plain(cells[4]));
        (plain(cells[0]), (plain(cells[1]), default))
    })
    .collect()
}

/// Guards against a page whose flags, variables or defaults differ from those of
/// the binary.
#[test]
fn every_setting_is_documented() {
    assert_eq!(offered(), documented());
}
