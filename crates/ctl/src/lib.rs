//! The `hornbeam` command line for operators, callers and tests.
//!
//! Each command is one module below `commands`. Results go to stdout,
//! explanations and progress to stderr. The exit codes are those of [`Exit`].
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
    "check", "apply", "show", "diff", "history", "rollback", "export", "import", "members",
    "status", "drain", "story", "submit", "load", "standin", "demo",
];

/// Widest line of a message about the arguments, in characters.
const MESSAGE_WIDTH: usize = 100;

/// Parses the arguments of the process and runs the command.
pub fn main() -> ExitCode {
    match cli::parser().run_inner(Args::current_args()) {
        Ok(command) => run(command).into(),
        Err(failure) => explain(&failure).into(),
    }
}

/// Prints help, a completion, or what is wrong with the arguments.
fn explain(failure: &ParseFailure) -> Exit {
    match failure {
        // The library's own printing leaves out the examples at the end.
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
    let result = start_log().and_then(|_log| {
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(command.run())
    });
    match result {
        Ok(exit) => exit,
        Err(report) => {
            let exit = Exit::of(&report);
            output::failure(format, &report, exit);
            exit
        }
    }
}

/// Sends warnings and errors of the libraries to stderr; `RUST_LOG` changes
/// which.
fn start_log() -> eyre::Result<flexi_logger::LoggerHandle> {
    Ok(flexi_logger::Logger::try_with_env_or_str("warn")?.start()?)
}
