//! Parsing of single settings. Errors are collected as findings, so that one run
//! reports all of them.

use std::net::SocketAddr;

use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Finding, Findings, Place};

use crate::flags::Setting;

/// `Reader` parses settings and collects findings.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    findings: Findings,
}

impl Reader {
    /// Consumes the reader and returns its findings.
    pub(crate) fn into_findings(self) -> Findings {
        self.findings
    }

    /// Gets the value, or adds the findings of the error.
    pub(crate) fn value_or_findings<T>(&mut self, result: Result<T, Findings>) -> Option<T> {
        result
            .map_err(|findings| self.findings.extend(findings))
            .ok()
    }

    /// Adds a finding about a setting.
    pub(crate) fn add_finding(&mut self, setting: Setting, message: impl Into<String>) {
        let place = Place {
            source: source(setting),
            ..Place::default()
        };
        self.findings.push(Finding::new(place, message));
    }

    /// Gets the text of a setting; reports one that is missing or empty.
    pub(crate) fn required(&mut self, setting: Setting, text: &Option<String>) -> Option<String> {
        let text = text.clone().filter(|text| !text.trim().is_empty());
        if text.is_none() {
            let message = format!(
                "It is required; set --{} or {}.",
                setting.flag, setting.variable
            );
            self.add_finding(setting, message);
        }
        text
    }

    /// Parses the name of one of several values.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        setting: Setting,
        text: &Option<String>,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let text = text.as_ref()?;
        let chosen = choices.iter().find(|(known, _)| known == text);
        if chosen.is_none() {
            let known: Vec<&str> = choices.iter().map(|(known, _)| *known).collect();
            let message = format!("`{text}` is not one of {}.", known.join(", "));
            self.add_finding(setting, message);
        }
        chosen.map(|(_, value)| *value)
    }

    /// Parses a whole number.
    pub(crate) fn number(&mut self, setting: Setting, text: &Option<String>) -> Option<u64> {
        let text = text.as_ref()?;
        let number = text.trim().parse().ok();
        if number.is_none() {
            self.add_finding(setting, format!("`{text}` is not a whole number."));
        }
        number
    }

    /// Parses an address of the form `ip:port`.
    pub(crate) fn address(&mut self, setting: Setting, text: &str) -> Option<SocketAddr> {
        let address = text.trim().parse().ok();
        if address.is_none() {
            let message = format!("`{text}` is not an address of the form ip:port.");
            self.add_finding(setting, message);
        }
        address
    }

    /// Parses a comma-separated list of addresses.
    pub(crate) fn addresses(&mut self, setting: Setting, text: &Option<String>) -> Vec<SocketAddr> {
        let items = list_items(text);
        items
            .filter_map(|item| self.address(setting, item))
            .collect()
    }

    /// Parses a comma-separated list of control hosts of the form `id=ip:port`.
    pub(crate) fn control_hosts(
        &mut self,
        setting: Setting,
        text: &Option<String>,
    ) -> Vec<(ReplicaId, SocketAddr)> {
        let mut found: Vec<(ReplicaId, SocketAddr)> = Vec::new();
        for item in list_items(text) {
            let Some((id, address)) = item.split_once('=') else {
                self.add_finding(
                    setting,
                    format!("`{item}` does not have the form id=ip:port."),
                );
                continue;
            };
            let id = self.number(setting, &Some(id.to_owned()));
            let address = self.address(setting, address);
            let (Some(id), Some(address)) = (id, address) else {
                continue;
            };
            if found.iter().any(|(known, _)| *known == id) {
                self.add_finding(setting, format!("The id {id} is given twice."));
            }
            found.push((id, address));
        }
        found
    }

    /// Reads the secret in a file. The findings never show its content.
    pub(crate) fn secret_file(
        &mut self,
        setting: Setting,
        path: &Option<String>,
    ) -> Option<String> {
        let path = path.as_ref()?;
        let secret = match std::fs::read_to_string(path) {
            Ok(text) => text.trim().to_owned(),
            Err(cause) => {
                self.add_finding(
                    setting,
                    format!("The file `{path}` cannot be read: {cause}."),
                );
                return None;
            }
        };
        if secret.is_empty() {
            self.add_finding(setting, format!("The file `{path}` is empty."));
            return None;
        }
        Some(secret)
    }
}

/// Splits a comma-separated list; skips empty items.
fn list_items(text: &Option<String>) -> impl Iterator<Item = &str> {
    let text = text.as_deref().unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

/// Gets the source of a setting for findings: the flag if it was given, else
/// the variable if it is set, else both.
fn source(setting: Setting) -> String {
    let flag = format!("--{}", setting.flag);
    let assigned = format!("{flag}=");
    let given = |argument: String| argument == flag || argument.starts_with(&assigned);
    let mut arguments = std::env::args_os().filter_map(|argument| argument.into_string().ok());
    if arguments.any(given) {
        flag
    } else if std::env::var_os(setting.variable).is_some() {
        setting.variable.to_owned()
    } else {
        format!("{flag} or {}", setting.variable)
    }
}
