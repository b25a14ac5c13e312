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
use crate::globals::{GlobalOptions, globals};
use crate::input::{ConfigFiles, config_files};
use crate::output;

/// `Diff` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Diff {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    comparison: Comparison,
}

/// `Comparison` selects the two configurations to compare.
#[derive(Clone, Debug)]
enum Comparison {
    /// Two accepted versions.
    Versions(Versions),
    /// The version in force and a pair of configuration files.
    Files(ConfigFiles),
}

/// `Versions` selects two accepted versions.
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
    /// Value in the first configuration; `None` if it is not set there.
    pub before: Option<Value>,
    /// Value in the second configuration; `None` if it is not set there.
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
    let versions = construct!(Versions { from, to }).map(Comparison::Versions);
    let files = config_files().map(Comparison::Files);
    let comparison = construct!([versions, files]);
    construct!(Diff {
        globals,
        comparison
    })
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
        let (before, after) = match &self.comparison {
            Comparison::Versions(versions) => (
                configuration(&api, Some(versions.from))
                    .await?
                    .configuration,
                configuration(&api, versions.to).await?.configuration,
            ),
            Comparison::Files(files) => {
                let after = hornbeam_config::load(&files.read()?)?;
                (configuration(&api, None).await?.configuration, after)
            }
        };
        let differing = differences(&before, &after);
        output::print_result(self.globals.output, &differing, |differing| text(differing))?;
        Ok(Exit::Ok)
    }
}

/// Gets the settings whose values differ: those of the first configuration
/// in order, then those that only the second has.
pub fn differences(before: &Configuration, after: &Configuration) -> Vec<Difference> {
    let mut after = settings(after);
    let mut differing = Vec::new();
    for (path, old) in settings(before) {
        let new = after.shift_remove(&path);
        if new.as_ref() != Some(&old) {
            differing.push(Difference {
                path,
                before: Some(old),
                after: new,
            });
        }
    }
    differing.extend(after.into_iter().map(|(path, new)| Difference {
        path,
        before: None,
        after: Some(new),
    }));
    differing
}

/// Flattens a configuration into its settings by path.
pub(crate) fn settings(configuration: &Configuration) -> IndexMap<String, Value> {
    let mut settings = IndexMap::new();
    // All keys of a configuration are strings, so the conversion cannot fail.
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

fn text(differing: &[Difference]) -> String {
    if differing.is_empty() {
        return "The configurations are equal.".into();
    }
    let mut lines = Vec::new();
    for difference in differing {
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
