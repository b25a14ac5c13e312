//! `hornbeamd`, the daemon of entry hosts and control hosts.
//!
//! It exits with status 0 after a drain, 1 after an error and 2 if its settings
//! are invalid.

#![forbid(unsafe_code)]

mod flags;
mod logging;
mod reader;
mod run;
mod settings;
mod settings_file;

use std::process::ExitCode;

use eyre::Result;
use hornbeam_core::event::Event;
use hornbeam_core::{Error, log_event};

use crate::settings::Settings;

/// Exit status if the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::parser().run();
    let settings = match settings::check(&flags) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("hornbeamd: {}", Error::invalid(findings));
            return ExitCode::from(EXIT_INVALID_SETTINGS);
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
    // Dropping it writes the queued lines.
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
