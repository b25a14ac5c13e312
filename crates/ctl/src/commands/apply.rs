//! `hornbeam apply`: applies configuration files.

use std::time::Duration;

use bpaf::{Parser, construct};
use eyre::Result;
use hornbeam_core::api::operator::{ChangeContent, ChangeOutcome, ChangeRequest};
use serde::Serialize;

use crate::change::{RetryLimits, send_until_known};
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::{ChangeMetadata, ConfigFiles, change_metadata, config_files, unique_id};
use crate::output;
use crate::progress::Progress;

/// Timeout of one attempt to send a change to a control host.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// `Apply` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Apply {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    files: ConfigFiles,
    metadata: ChangeMetadata,
}

/// `ChangeLine` is the printed outcome of a change.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct ChangeLine {
    change_id: String,
    #[serde(flatten)]
    outcome: ChangeOutcome,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Apply> {
    let globals = globals();
    let files = config_files();
    let metadata = change_metadata();
    construct!(Apply {
        globals,
        files,
        metadata
    })
    .to_options()
    .descr("Puts the configuration of a base file and a site overlay in force")
    .footer(
        "An unknown outcome is retried with the same change id. If it stays unknown (exit code \
         6), run the command again with the printed change id.\n\n\
         Example:\n\n      hornbeam apply --control 10.0.0.1:7100,10.0.0.2:7100 \
         --credential-file operator.key --base config/base.toml \
         --overlay config/sites/dala.toml --expected-version 3 --operator aigerim \
         --reason 'higher quota before rain'",
    )
    .command("apply")
    .help("Put configuration files in force")
}

impl Apply {
    /// Sends the files and prints the outcome.
    ///
    /// # Errors
    /// If a file cannot be read or the change was refused.
    pub(crate) async fn run(self) -> Result<Exit> {
        let content = ChangeContent::Files(self.files.read()?);
        submit_change(&self.globals, self.metadata, content).await
    }
}

/// Sends a change until its outcome is known, and prints the outcome.
///
/// # Errors
/// If no control host is given or the change was refused.
pub(crate) async fn submit_change(
    globals: &GlobalOptions,
    metadata: ChangeMetadata,
    content: ChangeContent,
) -> Result<Exit> {
    let api = globals.control_api(ATTEMPT_TIMEOUT)?;
    let request = ChangeRequest {
        expected_version: metadata.expected_version,
        change_id: metadata.change_id.unwrap_or_else(|| unique_id("change")),
        operator: metadata.operator,
        reason: metadata.reason,
        content,
    };
    let progress = Progress::start("waiting for the control group");
    let outcome = send_until_known(&api, &request, RetryLimits::default()).await;
    progress.finish().await;
    let line = ChangeLine {
        change_id: request.change_id,
        outcome: outcome?,
    };
    output::print_result(globals.output, &line, text)?;
    Ok(exit(&line.outcome))
}

fn exit(outcome: &ChangeOutcome) -> Exit {
    match outcome {
        ChangeOutcome::Accepted { .. } => Exit::Ok,
        ChangeOutcome::Conflict { .. } => Exit::Conflict,
        ChangeOutcome::Invalid { .. } => Exit::Findings,
        ChangeOutcome::Unavailable { .. } => Exit::Refused,
        ChangeOutcome::Unknown { .. } => Exit::Unknown,
    }
}

fn text(line: &ChangeLine) -> String {
    let id = &line.change_id;
    match &line.outcome {
        ChangeOutcome::Accepted { version } => {
            format!("Change {id} is accepted as version {version}.")
        }
        ChangeOutcome::Conflict {
            current_version,
            winner_change_id,
            winner_operator,
        } => format!(
            "Change {id} conflicts with change {winner_change_id} by {winner_operator}; \
             version {current_version} is in force. Nothing was changed."
        ),
        ChangeOutcome::Invalid { findings } => {
            let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            format!(
                "Nothing was changed; the change has findings:\n{}",
                lines.join("\n")
            )
        }
        ChangeOutcome::Unavailable { message } => {
            format!("Change {id} was not recorded: {message}")
        }
        ChangeOutcome::Unknown { message } => format!(
            "Change {id} may or may not be recorded: {message}\n\
             Send it again with --change-id {id}."
        ),
    }
}
