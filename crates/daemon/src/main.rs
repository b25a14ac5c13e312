//! `hornbeamd`, the daemon of entry hosts and control hosts.
//!
//! It ends with 0 when it was drained, 1 after an error and 2 if its settings
//! have findings.

#![forbid(unsafe_code)]

mod flags;
mod host_file;
mod logging;
mod reader;
mod run;
mod settings;

use std::process::ExitCode;

use eyre::Result;
use hornbeam_core::event::Event;
use hornbeam_core::{Error, log_event};

use crate::settings::Settings;

/// Exit status when the settings have findings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::parser().run();
    let settings = match settings::check(&flags) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("hornbeamd: {}", Error::invalid(findings));
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("hornbeamd: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> Result<()> {
    // Its end writes the lines that wait.
    let _log = logging::start(&settings)?;
    let mut runtime = if settings.role.is_single_threaded() {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    let runtime = runtime.enable_all().build()?;
    let result = runtime.block_on(run::run(settings.role));
    if let Err(cause) = &result {
        log_event!(Event::ProcessFailed; "{cause:#}");
    }
    result
}
