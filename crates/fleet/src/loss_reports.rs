//! Exchange of records of lost runs between hosts.
//!
//! A task can lose its workers at several hosts: its runs go to peers, and its
//! caller may submit it again elsewhere. Each loss is reported to the host of
//! the job and to a few hosts that follow from the job's id, so that losses at
//! different hosts meet there; see docs/platform.md.

use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::SocketAddr;

use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::fleet::Fleet;
use crate::io::{FleetOutput, PeerInfo, Subject};
use crate::job::JobKey;
use crate::loss_log::{MAX_LOSSES_PER_JOB, RunLoss};

/// `LossReport` tells another host about losses of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LossReport {
    /// The losses.
    pub losses: Vec<RunLoss>,
    /// Host of the job, to which the receiver reports what else it knows; `None`
    /// if no further report is needed.
    pub origin: Option<PeerInfo>,
}

/// Number of hosts that collect the losses of a job, so that the loss of one of
/// them loses no record.
const COLLECTORS: usize = 2;

impl Fleet {
    /// Reports new losses of one job that occurred on workers of this host.
    /// `origin` is the host of the job if that is a peer.
    pub(crate) fn share_losses(&mut self, origin: Option<HostId>, losses: Vec<RunLoss>) {
        let Some(job) = losses.first().map(|loss| loss.run.job) else {
            return;
        };
        let origin = match origin {
            Some(host) => self.peer_info(&host),
            None => Some(self.own_info()),
        };
        let mut receivers = self.collectors(job);
        let is_collector = receivers.remove(&self.options.host_id);
        if let Some(origin) = &origin {
            receivers.remove(&origin.host_id);
            let report = LossReport {
                losses: losses.clone(),
                origin: None,
            };
            self.report_losses(&origin.host_id.clone(), Some(origin.address), report);
        }
        for host in receivers {
            let report = LossReport {
                losses: losses.clone(),
                origin: origin.clone(),
            };
            self.report_losses(&host, None, report);
        }
        if is_collector {
            self.announce_if_over_limit(job);
        }
    }

    /// Handles losses that another host reported.
    pub(crate) fn on_losses_reported(&mut self, mut report: LossReport) {
        report.losses.truncate(MAX_LOSSES_PER_JOB);
        let Some(job) = report.losses.first().map(|loss| loss.run.job) else {
            return;
        };
        report.losses.retain(|loss| loss.run.job == job);
        let mut has_news = false;
        for loss in &report.losses {
            has_news |= self.losses.record(loss.clone(), self.now);
        }
        for loss in &report.losses {
            self.end_job_at_loss_limit(job, loss.run.task);
        }
        let Some(origin) = report.origin else {
            return;
        };
        let known = self.losses.of_job(job).to_vec();
        if known != report.losses {
            let report = LossReport {
                losses: known,
                origin: None,
            };
            self.report_losses(&origin.host_id, Some(origin.address), report);
        }
        if has_news {
            self.announce_if_over_limit(job);
        }
    }

    /// Reports the losses of a job with a task that must not start again to all
    /// hosts, since its caller may submit it to any of them.
    fn announce_if_over_limit(&mut self, job: JobKey) {
        if !self.losses.is_over_limit(job) {
            return;
        }
        let hosts: Vec<HostId> = self
            .present_hosts
            .iter()
            .map(|(_, host)| host.clone())
            .collect();
        let report = LossReport {
            losses: self.losses.of_job(job).to_vec(),
            origin: None,
        };
        for host in hosts {
            self.report_losses(&host, None, report.clone());
        }
    }

    /// Sends a report to a host other than this one, at its address if that is
    /// known to the caller.
    fn report_losses(&mut self, host: &HostId, address: Option<SocketAddr>, report: LossReport) {
        if *host == self.options.host_id {
            return;
        }
        let Some(address) = address.or_else(|| Some(self.peer_info(host)?.address)) else {
            let job = report.losses.first().map_or(0, |loss| loss.run.job);
            return self.on_loss_report_ended(host.clone(), job, false);
        };
        self.emit(FleetOutput::ReportLosses(host.clone(), address, report));
    }

    pub(crate) fn on_loss_report_ended(&mut self, host: HostId, job: JobKey, accepted: bool) {
        if accepted {
            return;
        }
        let message = format!("host {host} did not accept the report of losses of job {job:016x}");
        self.log(Event::LossesNotReported, Subject::Peer(host), message);
    }

    /// Gets the hosts that collect the losses of a job, by rendezvous hashing of
    /// all present hosts.
    fn collectors(&self, job: JobKey) -> BTreeSet<HostId> {
        let hosts = self.present_hosts.iter().map(|(_, host)| host);
        let mut ranked: Vec<(u64, &HostId)> = hosts
            .map(|host| (collector_rank(job, host), host))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(COLLECTORS);
        first.map(|(_, host)| host.clone()).collect()
    }

    fn own_info(&self) -> PeerInfo {
        PeerInfo {
            host_id: self.options.host_id.clone(),
            address: self.options.link_address,
            failure_domain: self.options.failure_domain.clone(),
        }
    }

    /// Gets the address and the failure domain of another host.
    fn peer_info(&self, host: &HostId) -> Option<PeerInfo> {
        let listed = self.listed_hosts.get(host);
        let listed = listed.map(|listed| (listed.address, listed.failure_domain.clone()));
        let peer = || {
            let peer = self.peers.get(host)?;
            Some((peer.address, peer.failure_domain.clone()))
        };
        let (address, failure_domain) = listed.or_else(peer)?;
        Some(PeerInfo {
            host_id: host.clone(),
            address,
            failure_domain,
        })
    }
}

fn collector_rank(job: JobKey, host: &HostId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&job.to_be_bytes());
    hasher.write(host.as_bytes());
    hasher.finish()
}
