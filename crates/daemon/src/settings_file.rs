//! The settings file of a host of guarded workers. docs/SETTINGS.md describes
//! its keys.

use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use hornbeam_control::{RepairOptions, ReplicaOptions};
use hornbeam_core::{Finding, Findings, Place};
use hornbeam_fleet::{FleetOptions, SchedulingOptions};
use hornbeam_http::HttpServerOptions;
use hornbeam_node::{ControlOptions, FleetControlOptions, FleetEntryOptions};
use toml_edit::{Document, Item};

/// Offset of the port for status reports of workers from the first port.
const REPORT_PORT_OFFSET: u16 = 1;

/// Time after which an idle connection of a caller is closed. Callers reuse
/// connections for 15 s, so a shorter time could close one as it is reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Minimum election timeout after a start. After a power loss of all hosts,
/// nothing is served before a leader is elected, and processes start within
/// 0.3 s of each other.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of log entries after which a snapshot replaces them. A document has
/// up to 100 KB, and all entries are held in memory.
const SNAPSHOT_ENTRIES: u64 = 64;

/// `SettingsFile` reads one settings file and collects findings.
#[derive(Debug)]
pub(crate) struct SettingsFile {
    source: String,
    text: String,
    document: Document<String>,
    findings: Findings,
}

impl SettingsFile {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// A finding if the file cannot be read or is not valid TOML.
    pub(crate) fn open(path: &str) -> Result<Self, Findings> {
        let finding = |line, column, message: String| {
            let place = Place {
                source: path.to_owned(),
                line,
                column,
                ..Place::default()
            };
            vec![Finding::new(place, message)]
        };
        let text = std::fs::read_to_string(path)
            .map_err(|cause| finding(0, 0, format!("The file cannot be read: {cause}.")))?;
        let document = Document::parse(text.clone()).map_err(|cause| {
            let (line, column) = line_and_column(&text, cause.span());
            let message = cause.message().trim_end();
            finding(line, column, format!("The syntax is not TOML: {message}."))
        })?;
        Ok(Self {
            source: path.to_owned(),
            text,
            document,
            findings: Findings::new(),
        })
    }

    /// Gets the settings of an entry host.
    ///
    /// # Errors
    /// All findings.
    pub(crate) fn entry(mut self) -> Result<FleetEntryOptions, Findings> {
        let common = self.common();
        let callers = self.address("listen", "callers");
        let readiness = self.address("listen", "readiness");
        let domain = self.text("host", "failure_domain");
        let max_lease_ms = self.integer("terms", "max_lease_ms");
        let stop_ms = self.integer("terms", "stop_ms");
        let scheduling = SchedulingOptions {
            pace: self.switch("scheduling", "pace"),
            fair_admission: self.switch("scheduling", "fair_admission"),
            interference: self.switch("scheduling", "interference"),
        };
        let options = || {
            let common = common?;
            let mut fleet = FleetOptions::new(&common.id, domain?, common.address_at(0));
            fleet.incarnation = rand::random_range(1..=u64::MAX);
            fleet.max_lease = Duration::from_millis(max_lease_ms?);
            fleet.max_stop_time = Duration::from_millis(stop_ms?);
            fleet.scheduling = scheduling;
            Some(FleetEntryOptions {
                fleet,
                caller_listen: callers?,
                readiness_listen: readiness?,
                report_listen: SocketAddr::new(common.ip, common.first_port + REPORT_PORT_OFFSET),
                metrics_listen: SocketAddr::new(common.ip, common.last_port),
                control_hosts: common.control_hosts,
                http: HttpServerOptions {
                    head_timeout: IDLE_TIMEOUT,
                    ..HttpServerOptions::default()
                },
            })
        };
        let options = options();
        self.finish(options)
    }

    /// Gets the settings of a control host.
    ///
    /// # Errors
    /// All findings.
    pub(crate) fn control(mut self) -> Result<ControlOptions, Findings> {
        let common = self.common();
        let listen = self.address("listen", "operators");
        let data_folder = self.text("host", "data_folder");
        let first_start = self.boolean("host", "first_start");
        let tolerated_failures = self.integer("terms", "losses_borne");
        let options = || {
            let common = common?;
            let tolerated_failures = usize::try_from(tolerated_failures?).ok()?;
            let fleet = FleetControlOptions {
                listen: listen?,
                seeds: common.control_hosts.clone(),
                repair: RepairOptions {
                    target_voters: 2 * tolerated_failures + 1,
                    ..RepairOptions::default()
                },
            };
            Some(ControlOptions {
                replica: ReplicaOptions {
                    first_election_timeout: FIRST_ELECTION_TIMEOUT,
                    snapshot_entries: SNAPSHOT_ENTRIES,
                    seed: rand::random(),
                    ..ReplicaOptions::default()
                },
                new_group: first_start?,
                data_folder: PathBuf::from(data_folder?),
                http_listen: SocketAddr::new(common.ip, common.last_port),
                link_listen: common.address_at(0),
                peers: Vec::new(),
                link_credential: None,
                operator_credential: None,
                fleet: Some(fleet),
                host_id: common.id,
            })
        };
        let options = options();
        self.finish(options)
    }

    fn common(&mut self) -> Option<CommonSettings> {
        let id = self.text("host", "id");
        let ip = self.ip("host", "address");
        let first_port = self.port("host", "first_port");
        let last_port = self.port("host", "last_port");
        let control_hosts = self.control_hosts(first_port);
        Some(CommonSettings {
            id: id?,
            ip: ip?,
            first_port: first_port?,
            last_port: last_port?,
            control_hosts,
        })
    }

    /// Gets the link addresses of the control hosts. The file lists their
    /// addresses for operators; links use the first port of every host.
    fn control_hosts(&mut self, first_port: Option<u16>) -> Vec<SocketAddr> {
        let Some(item) = self.item("host", "control_hosts") else {
            return Vec::new();
        };
        let Some(array) = item.as_array() else {
            let span = item.span();
            self.add_finding(
                span,
                "host.control_hosts",
                "It must be a list of addresses.",
            );
            return Vec::new();
        };
        let mut addresses = Vec::new();
        let mut invalid = Vec::new();
        for value in array {
            let text = value.as_str().unwrap_or_default();
            match (text.parse::<SocketAddr>(), first_port) {
                (Ok(address), Some(port)) => addresses.push(SocketAddr::new(address.ip(), port)),
                (Ok(_), None) => {}
                (Err(_), _) => invalid.push((value.span(), text.to_owned())),
            }
        }
        for (span, text) in invalid {
            let message = format!("`{text}` is not an address of the form ip:port.");
            self.add_finding(span, "host.control_hosts", &message);
        }
        addresses
    }

    fn item(&mut self, table: &str, key: &str) -> Option<Item> {
        let item = self.document.get(table).and_then(|table| table.get(key));
        let item = item.cloned();
        if item.is_none() {
            self.add_finding(None, &format!("{table}.{key}"), "It is required.");
        }
        item
    }

    /// Gets a value of one type; `kind` names the type in a finding.
    fn value<T>(
        &mut self,
        table: &str,
        key: &str,
        kind: &str,
        read: impl Fn(&Item) -> Option<T>,
    ) -> Option<T> {
        let item = self.item(table, key)?;
        let value = read(&item);
        if value.is_none() {
            let message = format!("It must be {kind}, not {}.", item.type_name());
            self.add_finding(item.span(), &format!("{table}.{key}"), &message);
        }
        value
    }

    fn text(&mut self, table: &str, key: &str) -> Option<String> {
        self.value(table, key, "a string", |item| {
            item.as_str().map(ToOwned::to_owned)
        })
    }

    fn boolean(&mut self, table: &str, key: &str) -> Option<bool> {
        self.value(table, key, "a boolean", Item::as_bool)
    }

    /// Gets a switch, which is off if the file does not name it.
    fn switch(&mut self, table: &str, key: &str) -> bool {
        let table_item = self.document.get(table);
        let is_named = table_item.is_some_and(|item| item.get(key).is_some());
        is_named && self.boolean(table, key).unwrap_or(false)
    }

    fn integer(&mut self, table: &str, key: &str) -> Option<u64> {
        self.value(table, key, "a non-negative integer", |item| {
            u64::try_from(item.as_integer()?).ok()
        })
    }

    fn port(&mut self, table: &str, key: &str) -> Option<u16> {
        self.value(table, key, "a port number", |item| {
            u16::try_from(item.as_integer()?).ok()
        })
    }

    fn address(&mut self, table: &str, key: &str) -> Option<SocketAddr> {
        self.value(table, key, "an address of the form ip:port", |item| {
            item.as_str()?.parse().ok()
        })
    }

    fn ip(&mut self, table: &str, key: &str) -> Option<IpAddr> {
        self.value(table, key, "an IP address", |item| {
            item.as_str()?.parse().ok()
        })
    }

    fn add_finding(&mut self, span: Option<Range<usize>>, path: &str, message: &str) {
        let (line, column) = line_and_column(&self.text, span);
        let place = Place {
            source: self.source.clone(),
            path: path.to_owned(),
            line,
            column,
        };
        self.findings.push(Finding::new(place, message));
    }

    fn finish<T>(self, options: Option<T>) -> Result<T, Findings> {
        match options {
            Some(options) if self.findings.is_empty() => Ok(options),
            _ => Err(self.findings),
        }
    }
}

/// `CommonSettings` are the settings that both roles share.
#[derive(Clone, Debug)]
struct CommonSettings {
    id: String,
    ip: IpAddr,
    first_port: u16,
    last_port: u16,
    control_hosts: Vec<SocketAddr>,
}

impl CommonSettings {
    /// Gets the address whose port has this offset from the first port.
    fn address_at(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.first_port + offset)
    }
}

/// Gets the line and column of the start of a span, from 1; 0 if unknown.
fn line_and_column(text: &str, span: Option<Range<usize>>) -> (u32, u32) {
    let Some(before) = span.and_then(|span| text.get(..span.start)) else {
        return (0, 0);
    };
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    let number = |value| u32::try_from(value).unwrap_or(u32::MAX);
    (number(line), number(column))
}
