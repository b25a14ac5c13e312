//! `hornbeam evacuations`: shows the evacuated failure domains.

use bpaf::{Parser, construct};
use eyre::Result;
use hornbeam_core::evacuation::EvacuationList;

use crate::commands::show::READ_TIMEOUT;
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::output;

/// `Evacuations` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Evacuations {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Evacuations> {
    let globals = globals();
    construct!(Evacuations { globals })
        .to_options()
        .descr("Shows the failure domains in which no task is started on guarded workers")
        .footer(
            "`hornbeam history` shows the orders.\n\n\
             Example:\n\n      hornbeam evacuations --control 10.0.0.1:7100 \
             --credential-file operator.key",
        )
        .command("evacuations")
        .help("Show the evacuated failure domains")
}

impl Evacuations {
    /// Prints the list.
    ///
    /// # Errors
    /// If no control host can confirm with a quorum that its list is the newest.
    pub(crate) async fn run(self) -> Result<Exit> {
        let api = self.globals.control_api(READ_TIMEOUT)?;
        let list: EvacuationList = api.get("/v1/evacuations").await?;
        output::print_result(self.globals.output, &list, text)?;
        Ok(Exit::Ok)
    }
}

fn text(list: &EvacuationList) -> String {
    let revision = list.revision;
    if list.failure_domains.is_empty() {
        return format!("No failure domain is evacuated (revision {revision}).");
    }
    let names: Vec<&str> = list.failure_domains.iter().map(String::as_str).collect();
    format!("evacuated (revision {revision}): {}", names.join(", "))
}
