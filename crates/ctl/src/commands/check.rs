//! `hornbeam check`: validates configuration files without a host.

use bpaf::{Parser, construct};
use eyre::Result;
use hornbeam_core::Error;
use hornbeam_core::api::operator::CheckAnswer;

use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::{ConfigFiles, config_files};
use crate::output;

/// `Check` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    files: ConfigFiles,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Check> {
    let globals = globals();
    let files = config_files();
    construct!(Check { globals, files })
        .to_options()
        .descr("Checks a base file and a site overlay and lists every finding")
        .footer(
            "Example:\n\n      hornbeam check --base config/base.toml --overlay config/sites/dala.toml",
        )
        .command("check")
        .help("Check configuration files without a host")
}

impl Check {
    /// Prints the findings.
    ///
    /// # Errors
    /// If a file cannot be read.
    pub(crate) fn run(self) -> Result<Exit> {
        let findings = match hornbeam_config::load(&self.files.read()?) {
            Ok(_) => Vec::new(),
            Err(Error::Invalid(findings)) => findings,
            Err(other) => return Err(other.into()),
        };
        let exit = if findings.is_empty() {
            Exit::Ok
        } else {
            Exit::Findings
        };
        output::print_result(self.globals.output, &CheckAnswer { findings }, text)?;
        Ok(exit)
    }
}

fn text(answer: &CheckAnswer) -> String {
    if answer.findings.is_empty() {
        return "The configuration is valid.".into();
    }
    let mut lines: Vec<String> = answer.findings.iter().map(ToString::to_string).collect();
    lines.push(format!("findings: {}", answer.findings.len()));
    lines.join("\n")
}
