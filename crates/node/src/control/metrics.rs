//! Metrics of a control host.

use hornbeam_core::api::operator::ControlStatus;
use hornbeam_core::evacuation::EvacuationList;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metrics;

/// `OutcomeLabel` is the label of the counter of changes.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// `ControlMetrics` are the metrics of one control host.
#[derive(Debug)]
pub(crate) struct ControlMetrics {
    registry: Registry,
    changes: Family<OutcomeLabel, Counter>,
    leads: Gauge,
    voters: Gauge,
    votes: Gauge,
    term: Gauge,
    commit_index: Gauge,
    config_version: Gauge,
    claims: Gauge,
    disk_bytes: Gauge,
    evacuated_failure_domains: Gauge,
    evacuation_revision: Gauge,
}

impl ControlMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            changes: Family::default(),
            leads: Gauge::default(),
            voters: Gauge::default(),
            votes: Gauge::default(),
            term: Gauge::default(),
            commit_index: Gauge::default(),
            config_version: Gauge::default(),
            claims: Gauge::default(),
            disk_bytes: Gauge::default(),
            evacuated_failure_domains: Gauge::default(),
            evacuation_revision: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Counts the answer to a change.
    pub(crate) fn change_answered(&self, outcome: &'static str) {
        self.changes.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Encodes all metrics with the gauges of a status and of the list of
    /// evacuated failure domains.
    pub(crate) fn encode(&self, status: &ControlStatus, list: &EvacuationList) -> String {
        let leads = status.leader == Some(status.replica_id);
        self.leads.set(leads.into());
        set(&self.voters, status.voters.len() as u64);
        let votes = status.voters.contains(&status.replica_id);
        self.votes.set(votes.into());
        set(&self.term, status.term);
        set(&self.commit_index, status.commit_index);
        set(&self.config_version, status.config_version);
        set(&self.claims, status.claims);
        set(&self.disk_bytes, status.disk_bytes);
        set(
            &self.evacuated_failure_domains,
            list.failure_domains.len() as u64,
        );
        set(&self.evacuation_revision, list.revision);
        metrics::encode(&self.registry)
    }

    fn register(&mut self) {
        let help = "Changes of configuration answered by this host, by outcome";
        let changes = self.changes.clone();
        self.registry.register("hornbeam_changes", help, changes);
        let gauges = [
            (
                "hornbeam_leads",
                "1 if this host leads, else 0",
                &self.leads,
            ),
            (
                "hornbeam_voters",
                "Voting members known to this host",
                &self.voters,
            ),
            (
                "hornbeam_votes",
                "1 if this host knows itself as a voting member, else 0",
                &self.votes,
            ),
            ("hornbeam_term", "Current term", &self.term),
            (
                "hornbeam_commit_index",
                "Last committed log entry",
                &self.commit_index,
            ),
            (
                "hornbeam_config_version",
                "Configuration applied",
                &self.config_version,
            ),
            ("hornbeam_claims", "Claims held", &self.claims),
            (
                "hornbeam_disk_bytes",
                "Size of the data folder",
                &self.disk_bytes,
            ),
            (
                "hornbeam_evacuated_failure_domains",
                "Failure domains in which no task is started",
                &self.evacuated_failure_domains,
            ),
            (
                "hornbeam_evacuation_revision",
                "Orders that changed the evacuated failure domains",
                &self.evacuation_revision,
            ),
        ];
        for (name, help, gauge) in gauges {
            self.registry.register(name, help, gauge.clone());
        }
    }
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}
