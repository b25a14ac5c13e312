//! `hornbeam diff`: compares two configurations.

use bpaf::{Parser, construct, long};
use eyre::Result;
use hornbeam_core::config::Configuration;
use hornbeam_core::ids::ConfigVersion;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::commands::show::{READ_TIMEOUT, configuration};
use crate::exit::Exit;
use crate::globals::{Globals, globals};
use crate::input::{FilePair, file_pair};
use crate::output;

/// `Diff` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Diff {
    /// Settings of every command.
    pub(crate) globals: Globals,
    sides: Sides,
}

/// `Sides` are the two configurations to compare.
#[derive(Clone, Debug)]
enum Sides {
    /// Two accepted versions.
    Versions(Versions),
    /// The version in force and a pair of files.
    Files(FilePair),
}

/// `Versions` names two accepted versions.
#[derive(Clone, Debug)]
struct Versions {
    from: ConfigVersion,
    to: Option<ConfigVersion>,
}

/// `Difference` is one setting whose value differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Difference {
    /// Path of the setting, for example `institutions.dala.weight`.
    pub path: String,
    /// Value on the first side; `None` if it is not set there.
    pub before: Option<Value>,
    /// Value on the second side; `None` if it is not set there.
    pub after: Option<Value>,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Diff> {
    let globals = globals();
    let from = long("from")
        .help("Version on the first side")
        .argument::<ConfigVersion>("N");
    let to = long("to")
        .help("Version on the second side; the one in force by default")
        .argument::<ConfigVersion>("N")
        .optional();
    let versions = construct!(Versions { from, to }).map(Sides::Versions);
    let files = file_pair().map(Sides::Files);
    let sides = construct!([versions, files]);
    construct!(Diff { globals, sides })
        .to_options()
        .descr(
            "Compares two versions, or the version in force with what a pair of files would put \
             in force",
        )
        .footer(
            "Example:\n\n      hornbeam diff --control 10.0.0.1:7100 --from 3 --to 4\n      \
             hornbeam diff --control 10.0.0.1:7100 --base config/base.toml \
             --overlay config/sites/dala.toml",
        )
        .command("diff")
        .help("Compare two configurations")
}

impl Diff {
    /// Prints the settings that differ.
    ///
    /// # Errors
    /// If no control host answers, a version is unknown, or the files have
    /// findings.
    pub(crate) async fn run(self) -> Result<Exit> {
        let api = self.globals.control_api(READ_TIMEOUT)?;
        let (before, after) = match &self.sides {
            Sides::Versions(versions) => (
                configuration(&api, Some(versions.from))
                    .await?
                    .configuration,
                configuration(&api, versions.to).await?.configuration,
            ),
            Sides::Files(files) => {
                let after = hornbeam_config::load(&files.read()?)?;
                (configuration(&api, None).await?.configuration, after)
            }
        };
        let found = differences(&before, &after);
        output::result(self.globals.output, &found, |found| text(found))?;
        Ok(Exit::Ok)
    }
}

/// Gets the settings whose values differ: those of the first side in order,
/// then those that only the second side has.
pub fn differences(before: &Configuration, after: &Configuration) -> Vec<Difference> {
    let mut after = settings(after);
    let mut found = Vec::new();
    for (path, old) in settings(before) {
        let new = after.shift_remove(&path);
        if new.as_ref() != Some(&old) {
            found.push(Difference {
                path,
                before: Some(old),
                after: new,
            });
        }
    }
    found.extend(after.into_iter().map(|(path, new)| Difference {
        path,
        before: None,
        after: Some(new),
    }));
    found
}

/// Gets every setting of a configuration by its path.
pub(crate) fn settings(configuration: &Configuration) -> IndexMap<String, Value> {
    let mut settings = IndexMap::new();
    // A configuration has only strings as keys, so it always has a JSON form.
    let value = serde_json::to_value(configuration).unwrap_or_default();
    flatten(String::new(), value, &mut settings);
    settings
}

fn flatten(path: String, value: Value, into: &mut IndexMap<String, Value>) {
    let Value::Object(entries) = value else {
        into.insert(path, value);
        return;
    };
    if entries.is_empty() {
        into.insert(path, Value::Object(entries));
        return;
    }
    for (key, entry) in entries {
        let key = if key.contains('.') {
            format!("\"{key}\"")
        } else {
            key
        };
        let child = if path.is_empty() {
            key
        } else {
            format!("{path}.{key}")
        };
        flatten(child, entry, into);
    }
}

fn text(found: &[Difference]) -> String {
    if found.is_empty() {
        return "The configurations are equal.".into();
    }
    let mut lines = Vec::new();
    for difference in found {
        let path = &difference.path;
        if let Some(before) = &difference.before {
            lines.push(format!("- {path} = {before}"));
        }
        if let Some(after) = &difference.after {
            lines.push(format!("+ {path} = {after}"));
        }
    }
    lines.join("\n")
}
