//! `hornbeam show`: shows the configuration in force or an earlier one.

use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::Result;
use hornbeam_core::api::operator::ConfigAnswer;
use hornbeam_core::ids::ConfigVersion;

use crate::client::ApiClient;
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::output;

/// Timeout of a read from a control host.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// `Show` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Show {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    version: Option<ConfigVersion>,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Show> {
    let globals = globals();
    let version = long("version")
        .help("Version to show; the one in force by default")
        .argument::<ConfigVersion>("N")
        .optional();
    construct!(Show { globals, version })
        .to_options()
        .descr("Shows the configuration in force or that of an earlier version")
        .footer("Example:\n\n      hornbeam show --control 10.0.0.1:7100 --version 3 --output json")
        .command("show")
        .help("Show a configuration")
}

impl Show {
    /// Prints the configuration.
    ///
    /// # Errors
    /// If no control host answers or the version is unknown.
    pub(crate) async fn run(self) -> Result<Exit> {
        let api = self.globals.control_api(READ_TIMEOUT)?;
        let answer = configuration(&api, self.version).await?;
        output::print_result(self.globals.output, &answer, text)?;
        Ok(Exit::Ok)
    }
}

/// Reads the configuration of a version, or the one in force.
///
/// # Errors
/// If no control host answers or the version is unknown.
pub(crate) async fn configuration(
    api: &ApiClient,
    version: Option<ConfigVersion>,
) -> Result<ConfigAnswer> {
    let path = match version {
        Some(version) => format!("/v1/config?version={version}"),
        None => "/v1/config".into(),
    };
    Ok(api.get(&path).await?)
}

fn text(answer: &ConfigAnswer) -> String {
    if answer.version == 0 {
        return "No configuration has been accepted yet.".into();
    }
    let settings = super::diff::settings(&answer.configuration);
    let mut lines = vec![format!("version {}", answer.version)];
    lines.extend(
        settings
            .iter()
            .map(|(path, value)| format!("{path} = {value}")),
    );
    lines.join("\n")
}
