//! Builds the configuration from the merged tree and runs the checks that
//! involve several values.

use hornbeam_core::config::{Configuration, Institution, Service, Team};
use indexmap::IndexMap;

use crate::report::Report;
use crate::settings::{self, MAX_JOB_BYTES, Setting};
use crate::tree::{Entry, Node};

const SERVICE_PATH: &str = "services.<service>";
const INSTITUTION_PATH: &str = "institutions.<institution>";
const TEAM_PATH: &str = "institutions.<institution>.teams.<team>";

/// Builds the configuration. The result is meaningful only if the report has no
/// findings.
pub(crate) fn configuration(report: &mut Report<'_>, root: &Entry) -> Configuration {
    let mut builder = Builder { report };
    let configuration = Configuration {
        site: builder.id(root, "site"),
        failure_domains: builder.id_list(root, "failure_domains"),
        entry_hosts: builder.integer_u32(root, "", "entry_hosts"),
        services: builder.map(root, "", "services", Builder::service),
        institutions: builder.map(root, "", "institutions", Builder::institution),
    };
    builder.check_references(root);
    configuration
}

/// `Builder` reads the values of the merged tree.
struct Builder<'r, 'a> {
    report: &'r mut Report<'a>,
}

impl Builder<'_, '_> {
    fn service(&mut self, entry: &Entry) -> Service {
        let service = Service {
            institution: self.id(entry, "institution"),
            max_tasks_per_job: self.integer_u32(entry, SERVICE_PATH, "max_tasks_per_job"),
            max_payload_bytes: self.integer_u32(entry, SERVICE_PATH, "max_payload_bytes"),
            max_timeout_ms: self.integer(entry, SERVICE_PATH, "max_timeout_ms"),
            task_grace_ms: self.integer(entry, SERVICE_PATH, "task_grace_ms"),
        };
        self.check_job_bytes(entry, &service);
        service
    }

    fn institution(&mut self, entry: &Entry) -> Institution {
        Institution {
            weight: self.integer_u32(entry, INSTITUTION_PATH, "weight"),
            max_tasks_per_exchange: self.integer_u32(
                entry,
                INSTITUTION_PATH,
                "max_tasks_per_exchange",
            ),
            max_queue_ms: self.integer(entry, INSTITUTION_PATH, "max_queue_ms"),
            teams: self.map(entry, INSTITUTION_PATH, "teams", Self::team),
        }
    }

    fn team(&mut self, entry: &Entry) -> Team {
        Team {
            weight: self.integer_u32(entry, TEAM_PATH, "weight"),
            quota_slots: self.integer_u32(entry, TEAM_PATH, "quota_slots"),
        }
    }

    /// Gets an integer. An invalid one already has a finding and becomes 0, which
    /// passes the checks that involve several values.
    fn integer(&mut self, table: &Entry, parent_path: &str, key: &str) -> u64 {
        match table.get(key).map(|entry| &entry.node) {
            Some(Node::Integer(value)) => *value,
            Some(_) => 0,
            None => self.default_of(table, parent_path, key),
        }
    }

    /// Gets an integer whose bounds fit in 32 bits.
    fn integer_u32(&mut self, table: &Entry, parent_path: &str, key: &str) -> u32 {
        u32::try_from(self.integer(table, parent_path, key)).unwrap_or(u32::MAX)
    }

    fn default_of(&mut self, table: &Entry, parent_path: &str, key: &str) -> u64 {
        match setting(parent_path, key).and_then(|setting| setting.default) {
            Some(value) => value,
            None => {
                self.missing(table, key);
                0
            }
        }
    }

    fn id(&mut self, table: &Entry, key: &str) -> String {
        match table.get(key).map(|entry| &entry.node) {
            Some(Node::Id(id)) => id.clone(),
            Some(_) => String::new(),
            None => {
                self.missing(table, key);
                String::new()
            }
        }
    }

    fn id_list(&mut self, table: &Entry, key: &str) -> Vec<String> {
        match table.get(key).map(|entry| &entry.node) {
            Some(Node::IdList(ids)) => ids.clone(),
            Some(_) => Vec::new(),
            None => {
                self.missing(table, key);
                Vec::new()
            }
        }
    }

    fn map<T>(
        &mut self,
        table: &Entry,
        parent_path: &str,
        key: &str,
        build: impl Fn(&mut Self, &Entry) -> T,
    ) -> IndexMap<String, T> {
        let Some(map) = table.get(key) else {
            self.missing(table, key);
            return IndexMap::new();
        };
        self.check_size(map, parent_path, key);
        map.entries()
            .filter(|(_, entry)| matches!(entry.node, Node::Table(_)))
            .map(|(id, entry)| (id.clone(), build(self, entry)))
            .collect()
    }

    fn missing(&mut self, table: &Entry, key: &str) {
        let path = settings::join(&table.path, key);
        let message = "The key is required, but neither file sets it.";
        self.report.add(table.origin, &path, message);
    }

    fn check_size(&mut self, map: &Entry, parent_path: &str, key: &str) {
        let (Node::Table(entries), Some(setting)) = (&map.node, setting(parent_path, key)) else {
            return;
        };
        let bounds = setting.bounds;
        if !(bounds.min..=bounds.max).contains(&(entries.len() as u64)) {
            let message = format!(
                "It has {} entries; allowed are {} to {} {}.",
                entries.len(),
                bounds.min,
                bounds.max,
                setting.unit
            );
            self.report.add(map.origin, &map.path, message);
        }
    }

    fn check_job_bytes(&mut self, entry: &Entry, service: &Service) {
        let bytes = u64::from(service.max_tasks_per_job) * u64::from(service.max_payload_bytes);
        if bytes <= MAX_JOB_BYTES {
            return;
        }
        let reported = entry
            .get("max_payload_bytes")
            .or(entry.get("max_tasks_per_job"))
            .unwrap_or(entry);
        let message = format!(
            "The largest job would have {bytes} bytes of payload; \
             max_tasks_per_job times max_payload_bytes must be at most {MAX_JOB_BYTES} bytes."
        );
        self.report.add(reported.origin, &reported.path, message);
    }

    fn check_references(&mut self, root: &Entry) {
        let Some(services) = root.get("services") else {
            return;
        };
        for (_, service) in services.entries() {
            let Some(reference) = service.get("institution") else {
                continue;
            };
            let Node::Id(id) = &reference.node else {
                continue;
            };
            let known = root.get("institutions").and_then(|table| table.get(id));
            if known.is_none() {
                let message = format!("Neither file has an institution `{id}`.");
                self.report.add(reference.origin, &reference.path, message);
            }
        }
    }
}

fn setting(parent_path: &str, key: &str) -> Option<&'static Setting> {
    settings::find(&settings::join(parent_path, key))
}
