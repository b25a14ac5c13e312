//! The `hornbeam` command line for operators, callers and tests.
//!
//! Each command is a module of `commands`. Results go to stdout, errors and
//! progress to stderr. The exit codes are those of [`Exit`].
//! See `docs/design.md`, section 5.

#![forbid(unsafe_code)]

mod change;
mod cli;
mod client;
mod commands;
mod exit;
mod globals;
mod input;
mod output;
mod progress;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

pub use change::{ChangeSender, RetryLimits, send_until_known};
pub use commands::diff::{Difference, differences};
pub use exit::Exit;

/// Names of all commands, in the order of the help text.
pub const COMMANDS: &[&str] = &[
    "check",
    "apply",
    "show",
    "diff",
    "history",
    "rollback",
    "export",
    "import",
    "members",
    "status",
    "drain",
    "evacuate",
    "evacuations",
    "story",
    "submit",
    "load",
    "standin",
    "demo",
];

/// Line width of argument error messages, in characters.
const MESSAGE_WIDTH: usize = 100;

/// Parses the arguments of the process and runs the command.
pub fn main() -> ExitCode {
    match cli::parser().run_inner(Args::current_args()) {
        Ok(command) => run(command).into(),
        Err(failure) => print_parse_failure(&failure).into(),
    }
}

/// Prints the help text, a shell completion, or the error in the arguments.
fn print_parse_failure(failure: &ParseFailure) -> Exit {
    match failure {
        // bpaf's own printing omits the examples in the footer.
        ParseFailure::Stdout(help, _) => println!("{}", help.monochrome(true)),
        ParseFailure::Completion(_) => failure.print_message(MESSAGE_WIDTH),
        ParseFailure::Stderr(_) => {
            failure.print_message(MESSAGE_WIDTH);
            return Exit::Usage;
        }
    }
    Exit::Ok
}

fn run(command: cli::Command) -> Exit {
    let format = command.globals().output;
    let result = init_logging().and_then(|_log| {
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(command.run())
    });
    match result {
        Ok(exit) => exit,
        Err(report) => {
            let exit = Exit::from_report(&report);
            output::print_error(format, &report, exit);
            exit
        }
    }
}

/// Logs warnings and errors of the libraries to stderr; `RUST_LOG` sets another
/// level.
fn init_logging() -> eyre::Result<flexi_logger::LoggerHandle> {
    Ok(flexi_logger::Logger::try_with_env_or_str("warn")?.start()?)
}
