//! Reading of single settings, with findings instead of early errors.

use std::net::SocketAddr;

use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Finding, Findings, Place};

use crate::flags::Setting;

/// `Reader` decodes settings and collects findings.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    findings: Findings,
}

impl Reader {
    /// Ends the reading.
    pub(crate) fn into_findings(self) -> Findings {
        self.findings
    }

    /// Gets a value, or adds the findings that stand in its place.
    pub(crate) fn findings<T>(&mut self, result: Result<T, Findings>) -> Option<T> {
        result
            .map_err(|findings| self.findings.extend(findings))
            .ok()
    }

    /// Adds a finding about a setting.
    pub(crate) fn report(&mut self, name: Setting, message: impl Into<String>) {
        let place = Place {
            source: source(name),
            ..Place::default()
        };
        self.findings.push(Finding::new(place, message));
    }

    /// Gets the text of a setting that must not be missing or empty.
    pub(crate) fn required(&mut self, name: Setting, text: &Option<String>) -> Option<String> {
        let text = text.clone().filter(|text| !text.trim().is_empty());
        if text.is_none() {
            let message = format!("It is required; set --{} or {}.", name.flag, name.variable);
            self.report(name, message);
        }
        text
    }

    /// Gets one of several values by its name.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        name: Setting,
        text: &Option<String>,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let text = text.as_ref()?;
        let chosen = choices.iter().find(|(known, _)| known == text);
        if chosen.is_none() {
            let known: Vec<&str> = choices.iter().map(|(known, _)| *known).collect();
            let message = format!("`{text}` is not one of {}.", known.join(", "));
            self.report(name, message);
        }
        chosen.map(|(_, value)| *value)
    }

    /// Gets a whole number.
    pub(crate) fn number(&mut self, name: Setting, text: &Option<String>) -> Option<u64> {
        let text = text.as_ref()?;
        let number = text.trim().parse().ok();
        if number.is_none() {
            self.report(name, format!("`{text}` is not a whole number."));
        }
        number
    }

    /// Gets an address.
    pub(crate) fn address(&mut self, name: Setting, text: &str) -> Option<SocketAddr> {
        let address = text.trim().parse().ok();
        if address.is_none() {
            let message = format!("`{text}` is no address of the form ip:port.");
            self.report(name, message);
        }
        address
    }

    /// Gets addresses separated by commas.
    pub(crate) fn addresses(&mut self, name: Setting, text: &Option<String>) -> Vec<SocketAddr> {
        let parts = parts(text);
        parts.filter_map(|part| self.address(name, part)).collect()
    }

    /// Gets control hosts of the form `id=ip:port`, separated by commas.
    pub(crate) fn hosts(
        &mut self,
        name: Setting,
        text: &Option<String>,
    ) -> Vec<(ReplicaId, SocketAddr)> {
        let mut hosts: Vec<(ReplicaId, SocketAddr)> = Vec::new();
        for part in parts(text) {
            let Some((id, address)) = part.split_once('=') else {
                self.report(name, format!("`{part}` does not have the form id=ip:port."));
                continue;
            };
            let id = self.number(name, &Some(id.to_owned()));
            let address = self.address(name, address);
            let (Some(id), Some(address)) = (id, address) else {
                continue;
            };
            if hosts.iter().any(|(known, _)| *known == id) {
                self.report(name, format!("The id {id} is given twice."));
            }
            hosts.push((id, address));
        }
        hosts
    }

    /// Reads the secret in a file. The findings never show its content.
    pub(crate) fn secret_file(&mut self, name: Setting, path: &Option<String>) -> Option<String> {
        let path = path.as_ref()?;
        let secret = match std::fs::read_to_string(path) {
            Ok(text) => text.trim().to_owned(),
            Err(cause) => {
                self.report(name, format!("The file `{path}` cannot be read: {cause}."));
                return None;
            }
        };
        if secret.is_empty() {
            self.report(name, format!("The file `{path}` is empty."));
            return None;
        }
        Some(secret)
    }
}

/// Gets the parts of a list that is separated by commas.
fn parts(text: &Option<String>) -> impl Iterator<Item = &str> {
    let text = text.as_deref().unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

/// Gets the place of a setting: the flag if it was given, else the variable
/// if that is set, else both.
fn source(name: Setting) -> String {
    let flag = format!("--{}", name.flag);
    let assigned = format!("{flag}=");
    let given = |argument: String| argument == flag || argument.starts_with(&assigned);
    let mut arguments = std::env::args_os().filter_map(|argument| argument.into_string().ok());
    if arguments.any(given) {
        flag
    } else if std::env::var_os(name.variable).is_some() {
        name.variable.to_owned()
    } else {
        format!("{flag} or {}", name.variable)
    }
}
