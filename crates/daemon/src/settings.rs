//! Validation of the settings of the process. It reports all findings at once.

use std::net::SocketAddr;
use std::path::PathBuf;

use hornbeam_control::ReplicaOptions;
use hornbeam_core::Findings;
use hornbeam_core::ids::ReplicaId;
use hornbeam_dispatch::{DispatchOptions, PlacementPolicy};
use hornbeam_node::{ControlOptions, EntryOptions, FleetEntryOptions};
use log::LevelFilter;

use crate::flags::{Flags, Setting, names};
use crate::reader::Reader;
use crate::settings_file::SettingsFile;

/// `LogFormat` is the format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// `Settings` are the validated settings of the process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Settings {
    /// Format of log lines; default text.
    pub(crate) log_format: LogFormat,
    /// Lowest level that is logged; default info.
    pub(crate) log_level: LevelFilter,
    /// Settings of the role.
    pub(crate) role: RoleSettings,
}

/// `RoleSettings` are the settings of one role.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RoleSettings {
    /// Settings of an entry host.
    Entry(Box<EntryOptions>),
    /// Settings of a control host.
    Control(Box<ControlOptions>),
    /// Settings of an entry host of guarded workers, and the path of its file.
    FleetEntry(Box<FleetEntryOptions>, String),
    /// Settings of a control host of guarded workers, and the path of its file.
    FleetControl(Box<ControlOptions>, String),
}

impl RoleSettings {
    /// Whether the log goes to standard output.
    pub(crate) const fn logs_to_stdout(&self) -> bool {
        matches!(self, Self::FleetEntry(..) | Self::FleetControl(..))
    }

    /// Whether the process uses a single-threaded runtime. The hosts of guarded
    /// workers have a part of one core, and each thread costs memory.
    pub(crate) const fn is_single_threaded(&self) -> bool {
        matches!(self, Self::FleetEntry(..) | Self::FleetControl(..))
    }
}

/// `Role` is the role of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    Entry,
    Control,
    FleetEntry,
    FleetControl,
}

const ROLES: &[(&str, Role)] = &[
    ("entry", Role::Entry),
    ("control", Role::Control),
    ("fleet-entry", Role::FleetEntry),
    ("fleet-control", Role::FleetControl),
];
const LOG_FORMATS: &[(&str, LogFormat)] = &[("text", LogFormat::Text), ("json", LogFormat::Json)];
const LOG_LEVELS: &[(&str, LevelFilter)] = &[
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];
const YES_NO: &[(&str, bool)] = &[("yes", true), ("no", false)];
const PLACEMENTS: &[(&str, PlacementPolicy)] = &[
    ("leased", PlacementPolicy::Leased),
    ("random", PlacementPolicy::Random),
    ("two-choices", PlacementPolicy::TwoChoices),
];

/// `CommonSettings` are the settings that entry and control hosts share.
#[derive(Clone, Debug)]
struct CommonSettings {
    host_id: String,
    http_listen: SocketAddr,
    link_listen: SocketAddr,
    control_hosts: Vec<(ReplicaId, SocketAddr)>,
    link_credential: Option<String>,
    operator_credential: Option<String>,
    seed: u64,
}

/// Validates the texts of all settings.
///
/// # Errors
/// All findings, each with its flag or variable as source.
pub(crate) fn check(flags: &Flags) -> Result<Settings, Findings> {
    let mut reader = Reader::default();
    let log_format = reader.choice(names::log_format, &flags.log_format, LOG_FORMATS);
    let log_level = reader.choice(names::log_level, &flags.log_level, LOG_LEVELS);
    let role = reader.required(names::role, &flags.role);
    let role = reader.choice(names::role, &role, ROLES);
    let role = match role {
        Some(Role::Entry) => {
            let common = read_common(&mut reader, flags);
            read_entry(&mut reader, flags, common)
        }
        Some(Role::Control) => {
            let common = read_common(&mut reader, flags);
            read_control(&mut reader, flags, common)
        }
        Some(role) => read_settings_file(&mut reader, flags, role),
        None => {
            read_common(&mut reader, flags);
            None
        }
    };
    let findings = reader.into_findings();
    match role {
        Some(role) if findings.is_empty() => Ok(Settings {
            log_format: log_format.unwrap_or_default(),
            log_level: log_level.unwrap_or(LevelFilter::Info),
            role,
        }),
        _ => Err(findings),
    }
}

/// Reads the settings of a host of guarded workers from its file.
fn read_settings_file(reader: &mut Reader, flags: &Flags, role: Role) -> Option<RoleSettings> {
    let path = reader.required(names::settings_file, &flags.settings_file)?;
    let file = reader.value_or_findings(SettingsFile::open(&path))?;
    if role == Role::FleetEntry {
        let options = reader.value_or_findings(file.entry())?;
        return Some(RoleSettings::FleetEntry(Box::new(options), path));
    }
    let options = reader.value_or_findings(file.control())?;
    Some(RoleSettings::FleetControl(Box::new(options), path))
}

fn read_common(reader: &mut Reader, flags: &Flags) -> Option<CommonSettings> {
    let host_id = reader.required(names::host_id, &flags.host_id);
    let http_listen = read_listen_address(reader, names::http_listen, &flags.http_listen);
    let link_listen = read_listen_address(reader, names::link_listen, &flags.link_listen);
    let control_hosts = reader.control_hosts(names::control_hosts, &flags.control_hosts);
    let link_credential =
        reader.secret_file(names::link_credential_file, &flags.link_credential_file);
    let operator_credential = reader.secret_file(
        names::operator_credential_file,
        &flags.operator_credential_file,
    );
    let seed = reader.number(names::seed, &flags.seed);
    check_link_credential(reader, link_listen, &flags.link_credential_file);
    Some(CommonSettings {
        host_id: host_id?,
        http_listen: http_listen?,
        link_listen: link_listen?,
        control_hosts,
        link_credential,
        operator_credential,
        seed: seed.unwrap_or(0),
    })
}

/// Reports a link address that other hosts can reach without a credential.
fn check_link_credential(
    reader: &mut Reader,
    listen_address: Option<SocketAddr>,
    credential: &Option<String>,
) {
    let is_exposed = listen_address.is_some_and(|address| !address.ip().is_loopback());
    if is_exposed && credential.is_none() {
        let message = "It is required unless --link-listen is a loopback address.";
        reader.add_finding(names::link_credential_file, message);
    }
}

/// Reads an address to listen on. Other processes connect to this address, so
/// it must be one that they can reach.
fn read_listen_address(
    reader: &mut Reader,
    setting: Setting,
    text: &Option<String>,
) -> Option<SocketAddr> {
    let text = reader.required(setting, text)?;
    let address = reader.address(setting, &text)?;
    if address.ip().is_unspecified() {
        let message = "It must be an address of the host, because other processes connect to it.";
        reader.add_finding(setting, message);
        return None;
    }
    Some(address)
}

fn read_entry(
    reader: &mut Reader,
    flags: &Flags,
    common: Option<CommonSettings>,
) -> Option<RoleSettings> {
    let failure_domain = reader.required(names::failure_domain, &flags.failure_domain);
    let placement = reader.choice(names::placement, &flags.placement, PLACEMENTS);
    let peers = reader.addresses(names::peers, &flags.peers);
    let common = common?;
    let dispatch = DispatchOptions {
        host_id: common.host_id,
        failure_domain: failure_domain?,
        placement: placement.unwrap_or_default(),
        seed: common.seed,
        ..DispatchOptions::default()
    };
    let own_address = common.link_listen;
    Some(RoleSettings::Entry(Box::new(EntryOptions {
        dispatch,
        http_listen: common.http_listen,
        link_listen: common.link_listen,
        // All entry hosts may be given the same list, which includes this one.
        peers: peers
            .into_iter()
            .filter(|peer| *peer != own_address)
            .collect(),
        control_hosts: common.control_hosts,
        link_credential: common.link_credential,
        operator_credential: common.operator_credential,
        ..EntryOptions::default()
    })))
}

fn read_control(
    reader: &mut Reader,
    flags: &Flags,
    common: Option<CommonSettings>,
) -> Option<RoleSettings> {
    let replica_id = reader.required(names::replica_id, &flags.replica_id);
    let replica_id = reader.number(names::replica_id, &replica_id);
    let new_group = reader.choice(names::new_group, &flags.new_group, YES_NO);
    let data_folder = reader.required(names::data_folder, &flags.data_folder);
    let common = common?;
    let replica_id = replica_id?;
    let members: Vec<ReplicaId> = common.control_hosts.iter().map(|(id, _)| *id).collect();
    if !members.contains(&replica_id) {
        let message = format!("It must list all control hosts, including this one ({replica_id}).");
        reader.add_finding(names::control_hosts, message);
    }
    let replica = ReplicaOptions {
        id: replica_id,
        initial_voters: members,
        seed: common.seed,
        ..ReplicaOptions::default()
    };
    let others = common.control_hosts.into_iter();
    Some(RoleSettings::Control(Box::new(ControlOptions {
        host_id: common.host_id,
        replica,
        new_group: new_group.unwrap_or(false),
        data_folder: PathBuf::from(data_folder?),
        http_listen: common.http_listen,
        link_listen: common.link_listen,
        peers: others.filter(|(id, _)| *id != replica_id).collect(),
        link_credential: common.link_credential,
        operator_credential: common.operator_credential,
        fleet: None,
    })))
}
