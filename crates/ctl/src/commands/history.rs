//! `hornbeam history`: shows the audit trail.

use bpaf::{Parser, construct, long};
use chrono::{DateTime, SecondsFormat};
use eyre::Result;
use hornbeam_core::api::operator::AuditEntry;
use hornbeam_core::ids::ConfigVersion;

use crate::client::ApiClient;
use crate::commands::show::READ_TIMEOUT;
use crate::exit::{Exit, UsageError};
use crate::globals::{GlobalOptions, globals};
use crate::output;

/// `History` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct History {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    operator: Option<String>,
    from_version: Option<ConfigVersion>,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<History> {
    let globals = globals();
    let operator = long("operator")
        .help("Only changes of this operator")
        .argument::<String>("NAME")
        .optional();
    let from_version = long("from-version")
        .help("Only this version and later ones")
        .argument::<ConfigVersion>("N")
        .optional();
    construct!(History {
        globals,
        operator,
        from_version
    })
    .to_options()
    .descr("Shows the audit trail, oldest change first")
    .footer("Example:\n\n      hornbeam history --control 10.0.0.1:7100 --operator aigerim")
    .command("history")
    .help("Show who changed what, when and why")
}

impl History {
    /// Prints the audit entries.
    ///
    /// # Errors
    /// If no control host answers.
    pub(crate) async fn run(self) -> Result<Exit> {
        let api = self.globals.control_api(READ_TIMEOUT)?;
        let entries = entries(&api, self.operator.as_deref(), self.from_version).await?;
        output::print_result(self.globals.output, &entries, |entries| text(entries))?;
        Ok(Exit::Ok)
    }
}

/// Reads the audit trail from a control host.
///
/// # Errors
/// If no control host answers or the operator's name cannot be sent.
pub(crate) async fn entries(
    api: &ApiClient,
    operator: Option<&str>,
    from_version: Option<ConfigVersion>,
) -> Result<Vec<AuditEntry>> {
    let mut parameters = Vec::new();
    if let Some(operator) = operator {
        check_operator_name(operator)?;
        parameters.push(format!("operator={operator}"));
    }
    if let Some(version) = from_version {
        parameters.push(format!("from_version={version}"));
    }
    let path = match parameters.is_empty() {
        true => "/v1/config/history".into(),
        false => format!("/v1/config/history?{}", parameters.join("&")),
    };
    Ok(api.get(&path).await?)
}

/// Rejects names that would need percent-encoding in the query.
fn check_operator_name(operator: &str) -> Result<()> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '@');
    if operator.is_empty() || !operator.chars().all(plain) {
        let message =
            format!("the operator name `{operator}` must consist of characters in [A-Za-z0-9._@-]");
        return Err(UsageError(message).into());
    }
    Ok(())
}

/// Formats the audit trail as text.
pub(crate) fn text(entries: &[AuditEntry]) -> String {
    if entries.is_empty() {
        return "There is no such change.".into();
    }
    let lines: Vec<String> = entries.iter().map(line).collect();
    lines.join("\n")
}

fn line(entry: &AuditEntry) -> String {
    format!(
        "version {}  {}  {}  {}  {}  {}",
        entry.version,
        format_time(entry.proposed_unix_ms),
        entry.operator,
        entry.action,
        entry.change_id,
        entry.reason,
    )
}

fn format_time(unix_ms: u64) -> String {
    i64::try_from(unix_ms)
        .ok()
        .and_then(DateTime::from_timestamp_millis)
        .map(|time| time.to_rfc3339_opts(SecondsFormat::Secs, true))
        .unwrap_or_else(|| format!("{unix_ms} ms"))
}
