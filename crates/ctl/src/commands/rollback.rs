//! `hornbeam rollback`: restores an earlier version as a new version.

use bpaf::{Parser, construct, long};
use eyre::Result;
use hornbeam_core::api::operator::ChangeContent;
use hornbeam_core::ids::ConfigVersion;

use crate::commands::apply;
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::{ChangeMetadata, change_metadata};

/// `Rollback` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Rollback {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    to: ConfigVersion,
    metadata: ChangeMetadata,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Rollback> {
    let globals = globals();
    let to = long("to")
        .help("Version whose configuration is put in force again")
        .argument::<ConfigVersion>("N");
    let metadata = change_metadata();
    construct!(Rollback {
        globals,
        to,
        metadata
    })
    .to_options()
    .descr("Puts the configuration of an earlier version in force as a new version")
    .footer(
        "Example:\n\n      hornbeam rollback --control 10.0.0.1:7100 \
             --credential-file operator.key --to 3 --expected-version 4 \
             --operator aigerim --reason 'version 4 has the wrong quota'",
    )
    .command("rollback")
    .help("Put an earlier version in force again")
}

impl Rollback {
    /// Sends the change and prints the outcome.
    ///
    /// # Errors
    /// If the change was refused.
    pub(crate) async fn run(self) -> Result<Exit> {
        let content = ChangeContent::Rollback(self.to);
        apply::submit_change(&self.globals, self.metadata, content).await
    }
}
