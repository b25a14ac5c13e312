//! The table of all settings. Files are checked against it, and a test compares
//! `docs/CONFIGURATION.md` with it.

/// Maximum length of an id, in characters.
const MAX_ID_CHARS: u64 = 64;
/// Maximum number of failure domains of a site; the two-year target has 8.
const MAX_FAILURE_DOMAINS: u64 = 64;
/// Maximum number of entry hosts of a site; users run 8 to 9 today.
const MAX_ENTRY_HOSTS: u64 = 1_000;
/// Maximum number of services, of institutions, or of teams of one institution;
/// the two-year target has 720 teams.
const MAX_MAP_ENTRIES: u64 = 1_000;
/// Maximum number of tasks in one job.
const MAX_TASKS_PER_JOB: u64 = 570;
/// Maximum payload of one task, in bytes.
const MAX_PAYLOAD_BYTES: u64 = 1 << 20;
/// Minimum of any time limit on callers or tasks, in ms; the shortest tasks take
/// 50 ms.
const MIN_TIMEOUT_MS: u64 = 100;
/// Maximum of any time limit, in ms.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Maximum weight; a larger ratio would starve the side with the lower weight.
const MAX_WEIGHT: u64 = 1_000;
/// Maximum number of tasks in one exchange; a backend server has 8 slots.
const MAX_TASKS_PER_EXCHANGE: u64 = 64;
/// Minimum limit on the queueing time, in ms.
const MIN_QUEUE_MS: u64 = 10;
/// Maximum quota of one team, in slots; the target size has about 20,000 slots
/// in total.
const MAX_QUOTA_SLOTS: u64 = 1_000_000;

/// Maximum payload of one job, in bytes. `max_tasks_per_job` times
/// `max_payload_bytes` must not exceed it, because an entry host accepts bodies
/// of at most 40 MiB.
pub const MAX_JOB_BYTES: u64 = 40 << 20;

/// `SettingKind` is the type of a setting's value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingKind {
    /// A string of characters `[A-Za-z0-9._-]`.
    Id,
    /// An array of ids without duplicates.
    IdList,
    /// The id of an institution of the same configuration.
    InstitutionId,
    /// An integer.
    Integer,
    /// A table that holds one table per id.
    Map,
}

/// `Bounds` are the smallest and the largest allowed value, both inclusive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Smallest value, in the unit of the setting.
    pub min: u64,
    /// Largest value, in the unit of the setting.
    pub max: u64,
}

/// `Setting` describes one setting of the configuration files.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Setting {
    /// Path from the root of the file; a name in `<>` stands for any id.
    pub path: &'static str,
    /// Type of the value.
    pub kind: SettingKind,
    /// Unit of the value and the bounds. For ids it is the unit of the length,
    /// for lists and maps the unit of the number of elements.
    pub unit: &'static str,
    /// Value if neither file sets it; `None` if the setting is required.
    pub default: Option<u64>,
    /// Allowed range of the value or size, in the unit of the setting.
    pub bounds: Bounds,
    /// What the setting does.
    pub meaning: &'static str,
}

const fn required(
    path: &'static str,
    kind: SettingKind,
    unit: &'static str,
    max: u64,
    meaning: &'static str,
) -> Setting {
    Setting {
        path,
        kind,
        unit,
        default: None,
        bounds: Bounds { min: 1, max },
        meaning,
    }
}

const fn integer(
    path: &'static str,
    unit: &'static str,
    default: u64,
    bounds: Bounds,
    meaning: &'static str,
) -> Setting {
    Setting {
        path,
        kind: SettingKind::Integer,
        unit,
        default: Some(default),
        bounds,
        meaning,
    }
}

const fn bounds(min: u64, max: u64) -> Bounds {
    Bounds { min, max }
}

/// All settings; each parent precedes its children.
pub const SETTINGS: &[Setting] = &[
    required(
        "site",
        SettingKind::Id,
        "characters",
        MAX_ID_CHARS,
        "Name of the site.",
    ),
    required(
        "failure_domains",
        SettingKind::IdList,
        "failure domains",
        MAX_FAILURE_DOMAINS,
        "Failure domains of the site, in order of preference when equal.",
    ),
    required(
        "entry_hosts",
        SettingKind::Integer,
        "hosts",
        MAX_ENTRY_HOSTS,
        "Number of entry hosts; each enforces its share of every quota.",
    ),
    required(
        "services",
        SettingKind::Map,
        "services",
        MAX_MAP_ENTRIES,
        "Services by id.",
    ),
    required(
        "services.<service>.institution",
        SettingKind::InstitutionId,
        "characters",
        MAX_ID_CHARS,
        "Institution that owns the service.",
    ),
    integer(
        "services.<service>.max_tasks_per_job",
        "tasks",
        570,
        bounds(1, MAX_TASKS_PER_JOB),
        "Most tasks in one job.",
    ),
    integer(
        "services.<service>.max_payload_bytes",
        "bytes",
        65_536,
        bounds(1, MAX_PAYLOAD_BYTES),
        "Largest payload of one task. Multiplied by `max_tasks_per_job` it must not exceed 40 MiB.",
    ),
    integer(
        "services.<service>.max_timeout_ms",
        "ms",
        60_000,
        bounds(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS),
        "Longest time that a caller may ask to wait.",
    ),
    integer(
        "services.<service>.task_grace_ms",
        "ms",
        30_000,
        bounds(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS),
        "Time by which a task may overrun its declared run time before its exchange counts as unanswered.",
    ),
    required(
        "institutions",
        SettingKind::Map,
        "institutions",
        MAX_MAP_ENTRIES,
        "Institutions by id.",
    ),
    integer(
        "institutions.<institution>.weight",
        "shares",
        1,
        bounds(1, MAX_WEIGHT),
        "Weight among the institutions under overload.",
    ),
    integer(
        "institutions.<institution>.max_tasks_per_exchange",
        "tasks",
        1,
        bounds(1, MAX_TASKS_PER_EXCHANGE),
        "Most tasks of one job in one exchange with one backend server. More saves messages but delays answers.",
    ),
    integer(
        "institutions.<institution>.max_queue_ms",
        "ms",
        5_000,
        bounds(MIN_QUEUE_MS, MAX_TIMEOUT_MS),
        "Longest estimated queueing time at admission.",
    ),
    required(
        "institutions.<institution>.teams",
        SettingKind::Map,
        "teams",
        MAX_MAP_ENTRIES,
        "Teams by id.",
    ),
    integer(
        "institutions.<institution>.teams.<team>.weight",
        "shares",
        1,
        bounds(1, MAX_WEIGHT),
        "Weight among the teams of the institution.",
    ),
    integer(
        "institutions.<institution>.teams.<team>.quota_slots",
        "slots",
        400,
        bounds(1, MAX_QUOTA_SLOTS),
        "Most slots in use at once, over all entry hosts.",
    ),
];

/// Gets the setting with a path, if there is one.
pub(crate) fn find(path: &str) -> Option<&'static Setting> {
    SETTINGS.iter().find(|setting| setting.path == path)
}

/// Gets the child names of a path, without duplicates. A name in `<>` stands
/// for any id and is then the only one.
pub(crate) fn children(parent: &str) -> Vec<&'static str> {
    let mut names = Vec::new();
    for setting in SETTINGS {
        let Some(name) = child_name(setting.path, parent) else {
            continue;
        };
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names
}

fn child_name(path: &'static str, parent: &str) -> Option<&'static str> {
    let rest = if parent.is_empty() {
        path
    } else {
        path.strip_prefix(parent)?.strip_prefix('.')?
    };
    rest.split('.').next()
}

/// Joins a path and a name.
pub(crate) fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        name.to_owned()
    } else {
        format!("{parent}.{name}")
    }
}

/// Whether a text is a valid id for messages and state.
pub(crate) fn is_id(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let length = text.chars().count() as u64;
    (1..=MAX_ID_CHARS).contains(&length) && text.chars().all(allowed)
}
