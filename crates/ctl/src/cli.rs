//! The commands and their help texts.

use bpaf::{OptionParser, Parser, construct};
use eyre::Result;

use crate::commands::{
    apply, check, demo, diff, drain, evacuate, evacuations, export, history, import, load, members,
    rollback, show, standin, status, story, submit,
};
use crate::exit::{EXIT_CODES_HELP, Exit};
use crate::globals::GlobalOptions;

/// `Command` is one parsed command line.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Validates configuration files.
    Check(check::Check),
    /// Applies configuration files.
    Apply(apply::Apply),
    /// Shows a configuration.
    Show(show::Show),
    /// Compares configurations.
    Diff(diff::Diff),
    /// Shows the audit trail.
    History(history::History),
    /// Restores an earlier version.
    Rollback(rollback::Rollback),
    /// Writes the configuration and the audit trail.
    Export(export::Export),
    /// Applies an exported configuration.
    Import(import::Import),
    /// Shows or changes the members of the control group.
    Members(members::Members),
    /// Shows the state of hosts.
    Status(status::Status),
    /// Drains hosts.
    Drain(drain::Drain),
    /// Evacuates a failure domain or returns it to service.
    Evacuate(evacuate::Evacuate),
    /// Shows the evacuated failure domains.
    Evacuations(evacuations::Evacuations),
    /// Shows the log lines about a job.
    Story(story::Story),
    /// Submits a job.
    Submit(Box<submit::Submit>),
    /// Runs or compares loads.
    Load(Box<load::Load>),
    /// Runs stand-in backend servers.
    Standin(Box<standin::Standin>),
    /// Runs every role in one process.
    Demo(demo::Demo),
}

impl Command {
    /// Gets the options that every command takes.
    pub(crate) fn globals(&self) -> &GlobalOptions {
        match self {
            Self::Check(command) => &command.globals,
            Self::Apply(command) => &command.globals,
            Self::Show(command) => &command.globals,
            Self::Diff(command) => &command.globals,
            Self::History(command) => &command.globals,
            Self::Rollback(command) => &command.globals,
            Self::Export(command) => &command.globals,
            Self::Import(command) => &command.globals,
            Self::Members(command) => &command.globals,
            Self::Status(command) => &command.globals,
            Self::Drain(command) => &command.globals,
            Self::Evacuate(command) => &command.globals,
            Self::Evacuations(command) => &command.globals,
            Self::Story(command) => &command.globals,
            Self::Submit(command) => &command.globals,
            Self::Load(command) => command.globals(),
            Self::Standin(command) => &command.globals,
            Self::Demo(command) => &command.globals,
        }
    }

    /// Runs the command.
    ///
    /// # Errors
    /// Any failure of the command; [`Exit::from_report`] maps it to an exit code.
    pub(crate) async fn run(self) -> Result<Exit> {
        match self {
            Self::Check(command) => command.run(),
            Self::Apply(command) => command.run().await,
            Self::Show(command) => command.run().await,
            Self::Diff(command) => command.run().await,
            Self::History(command) => command.run().await,
            Self::Rollback(command) => command.run().await,
            Self::Export(command) => command.run().await,
            Self::Import(command) => command.run().await,
            Self::Members(command) => command.run().await,
            Self::Status(command) => command.run().await,
            Self::Drain(command) => command.run().await,
            Self::Evacuate(command) => command.run().await,
            Self::Evacuations(command) => command.run().await,
            Self::Story(command) => command.run(),
            Self::Submit(command) => command.run().await,
            Self::Load(command) => command.run().await,
            Self::Standin(command) => command.run().await,
            Self::Demo(command) => command.run().await,
        }
    }
}

/// Builds the parser of the whole command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let check = check::parser().map(Command::Check);
    let apply = apply::parser().map(Command::Apply);
    let show = show::parser().map(Command::Show);
    let diff = diff::parser().map(Command::Diff);
    let history = history::parser().map(Command::History);
    let rollback = rollback::parser().map(Command::Rollback);
    let export = export::parser().map(Command::Export);
    let import = import::parser().map(Command::Import);
    let members = members::parser().map(Command::Members);
    let status = status::parser().map(Command::Status);
    let drain = drain::parser().map(Command::Drain);
    let evacuate = evacuate::parser().map(Command::Evacuate);
    let evacuations = evacuations::parser().map(Command::Evacuations);
    let story = story::parser().map(Command::Story);
    let submit = submit::parser().map(|command| Command::Submit(Box::new(command)));
    let load = load::parser().map(|command| Command::Load(Box::new(command)));
    let standin = standin::parser().map(|command| Command::Standin(Box::new(command)));
    let demo = demo::parser().map(Command::Demo);
    construct!([
        check,
        apply,
        show,
        diff,
        history,
        rollback,
        export,
        import,
        members,
        status,
        drain,
        evacuate,
        evacuations,
        story,
        submit,
        load,
        standin,
        demo
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("hornbeam: configures and monitors the dispatcher, submits jobs, and runs tests")
    .header("Options are given after the command: hornbeam COMMAND OPTIONS")
    .footer(footer().as_str())
}

fn footer() -> String {
    format!(
        "Example:\n\n      hornbeam check --base config/base.toml --overlay config/sites/dala.toml\n\n\
         {EXIT_CODES_HELP}.\n\n\
         Shell completion:\n\n      source <(hornbeam --bpaf-complete-style-bash)"
    )
}
