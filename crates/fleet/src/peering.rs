//! Exchange of batches and statuses with other entry hosts, and detection of
//! their loss.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::{FailureDomainId, HostId};

use crate::extension::BatchExtension;
use crate::fleet::Fleet;
use crate::io::{FleetOutput, PeerInfo, Subject};
use crate::job::{RunId, TaskState};
use crate::neighbours::ListedHost;
use crate::peer::{Peer, SenderIncarnation};
use crate::peer_messages::{PeerBatch, PeerMessage, PeerStatus, has_status, is_outcome};
use crate::verification::Verification;

impl Fleet {
    pub(crate) fn on_peers(&mut self, peers: Vec<PeerInfo>) {
        let now = self.now;
        for info in peers {
            if info.host_id == self.options.host_id {
                continue;
            }
            if let Some(peer) = self.peers.get_mut(&info.host_id) {
                peer.address = info.address;
            }
            let listed = ListedHost {
                address: info.address,
                failure_domain: info.failure_domain,
                listed_at: now,
            };
            if self.listed_hosts.insert(info.host_id, listed).is_none() {
                // A new host may be selected as a neighbour at once.
                self.next_selection_at = Duration::ZERO;
            }
        }
    }

    /// Gets the state of a host, creating it if no batch was exchanged with it
    /// so far.
    pub(crate) fn get_or_insert_peer(
        &mut self,
        host: HostId,
        address: SocketAddr,
        failure_domain: FailureDomainId,
    ) -> &mut Peer {
        self.peers
            .entry(host)
            .or_insert_with(|| Peer::new(address, failure_domain))
    }

    pub(crate) fn on_batch(&mut self, mut batch: PeerBatch, extension: Option<BatchExtension>) {
        let now = self.now;
        let host = batch.from.clone();
        if !self.listed_hosts.contains_key(&host) && !self.peers.contains_key(&host) {
            // A host that no control host lists yet may be selected at once.
            self.next_selection_at = Duration::ZERO;
        }
        let alive_at = self.sender.time_of_echo(batch.echo);
        let peer = self.get_or_insert_peer(host.clone(), batch.address, batch.failure_domain);
        match peer.record_timestamp(batch.time, alive_at, now) {
            SenderIncarnation::Current => {}
            SenderIncarnation::New => {
                peer.last_sequence = 0;
                self.peer_restarted(&host);
            }
            SenderIncarnation::Past => return,
        }
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        peer.address = batch.address;
        peer.record_arrival(&batch.messages, now);
        let was_lost = std::mem::take(&mut peer.is_lost);
        let is_new = batch.sequence > peer.last_sequence;
        let is_recent = self.sender.is_recent(batch.echo, now);
        if is_new && is_recent {
            peer.confirm(now);
        }
        peer.last_sequence = peer.last_sequence.max(batch.sequence);
        if was_lost {
            self.log(
                Event::PeerFound,
                Subject::Peer(host.clone()),
                format!("peer {host} is reachable again"),
            );
        }
        if is_new {
            if !self.sender.is_meant_for(batch.echo) {
                self.drop_outcomes(&host, &mut batch.messages);
            }
            if has_status(&batch.messages) {
                self.record_extension(&host, extension);
            }
            for message in batch.messages {
                self.on_message(&host, message, is_recent);
            }
        }
        // The stops in the batch come first: the sender wants all other runs.
        if let Some(wanted_at) = alive_at
            && let Some(peer) = self.peers.get_mut(&host)
        {
            peer.record_wanted(wanted_at.min(now));
            self.extend_run_limits(&host);
        }
    }

    /// Drops the ends of runs that a former process of this host sent to a peer. This
    /// process numbers its attempts from 1 again, so its runs can have the same ids.
    fn drop_outcomes(&mut self, host: &HostId, messages: &mut Vec<PeerMessage>) {
        let dropped = messages.extract_if(.., |message| is_outcome(message));
        let dropped = dropped.count();
        if dropped > 0 {
            self.log(
                Event::StaleMessage,
                Subject::Peer(host.clone()),
                format!("{dropped} ends of runs from peer {host} are ignored: a former process of this host sent them the runs"),
            );
        }
    }

    fn on_message(&mut self, host: &HostId, message: PeerMessage, is_recent: bool) {
        match message {
            PeerMessage::Status(status) => self.on_status(host, status),
            PeerMessage::Run(chunk) => self.on_chunk(host, chunk, is_recent),
            PeerMessage::Refused(runs) => self.on_refused(host, &runs),
            PeerMessage::Ended(run, _, _) if self.is_assigned_elsewhere(run, host) => {
                self.log_foreign_end(run, host);
            }
            PeerMessage::Ended(run, end, took_ms) => {
                if end == crate::io::RunEnd::Done
                    && let Some(job) = self.jobs.get(&run.job)
                {
                    let took = Duration::from_millis(took_ms);
                    self.estimates.record(&job.queue, job.declared, took);
                    // Without runs of its own, this host would estimate waits by
                    // run times from before the evacuation, or have none.
                    if self.serves_only_through_peers() {
                        self.mean_run_time.record(took);
                    }
                }
                self.task_ended(run, end, None);
            }
            PeerMessage::Stop(runs) => self.on_stop_peer_tasks(host, &runs),
            PeerMessage::HandOver(report, fencing_token) => {
                let verification = Verification::FormerToken(fencing_token);
                self.record_report(report, Some(verification));
            }
        }
    }

    fn on_status(&mut self, host: &HostId, status: PeerStatus) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let has_waiting_tasks = status.waiting > 0;
        for resources in &status.resources {
            self.known_capacities
                .add(&resources.service, resources.largest);
        }
        peer.status = status;
        if has_waiting_tasks {
            peer.schedule_status();
        }
    }

    /// Queues tasks that a peer returned because resources were not available.
    fn on_refused(&mut self, host: &HostId, runs: &[RunId]) {
        if let Some(peer) = self.peers.get_mut(host) {
            for resources in &mut peer.status.resources {
                resources.free.clear();
            }
        }
        for run in runs {
            if self.is_assigned_elsewhere(*run, host) {
                self.log_foreign_end(*run, host);
            } else {
                self.requeue_unstarted(*run);
            }
        }
    }

    /// Whether a run of this host is on a worker of its own or at a peer other than
    /// `host`.
    fn is_assigned_elsewhere(&self, run: RunId, host: &HostId) -> bool {
        let job = self.jobs.get(&run.job);
        let task = job.and_then(|job| job.tasks.get(run.task as usize));
        task.is_some_and(|task| {
            let is_elsewhere = match &task.state {
                TaskState::Local(_) => true,
                TaskState::Remote(peer) => peer != host,
                TaskState::Queued | TaskState::AwaitingExpiry(_) | TaskState::Done => false,
            };
            task.attempt == run.attempt && is_elsewhere
        })
    }

    fn log_foreign_end(&mut self, run: RunId, host: &HostId) {
        let message =
            format!("an end of run {run} from peer {host} is ignored: the run is not there");
        self.log(Event::StaleMessage, Subject::Run(run), message);
    }

    /// Handles a restart of a peer: its runs end when the leases of its previous
    /// process expire.
    fn peer_restarted(&mut self, host: &HostId) {
        self.log(
            Event::PeerFound,
            Subject::Peer(host.clone()),
            format!("peer {host} restarted"),
        );
        let ends_by = self.now + self.options.max_lease + self.options.max_stop_time;
        for run in self.runs_at(host) {
            self.hold_until_expiry(run, ends_by);
        }
        self.drop_peer_tasks_of(host);
        if let Some(peer) = self.peers.get_mut(host) {
            peer.extension = None;
            peer.free_paces.clear();
            peer.drop_unsent();
        }
    }

    /// Stops the runs of origins without recent contact, and
    /// queues the tasks sent to lost peers again.
    pub(crate) fn check_peers(&mut self) {
        self.end_orphaned_peer_tasks();
        self.select_neighbours();
        self.stop_unconfirmed_peer_tasks();
        let now = self.now;
        let is_newly_lost =
            |peer: &Peer| peer.heard_at.is_some() && !peer.is_lost && peer.has_timed_out(now);
        let lost: Vec<HostId> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_newly_lost(peer))
            .map(|(host, _)| host.clone())
            .collect();
        for host in lost {
            self.handle_lost_peer(&host);
        }
    }

    /// Stops the runs of origins without recent contact in both directions.
    fn stop_unconfirmed_peer_tasks(&mut self) {
        let now = self.now;
        let has_recent_contact = |origin: &HostId| {
            let peer = self.peers.get(origin);
            peer.is_some_and(|peer| peer.has_recent_contact(now))
        };
        let unconfirmed: Vec<RunId> = self
            .peer_tasks
            .iter()
            .filter(|(_, peer_task)| !has_recent_contact(&peer_task.origin))
            .map(|(run, _)| *run)
            .collect();
        for run in unconfirmed {
            self.stop_peer_task(run);
        }
    }

    fn handle_lost_peer(&mut self, host: &HostId) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        peer.is_lost = true;
        peer.extension = None;
        peer.free_paces.clear();
        peer.drop_unsent();
        let was_neighbour = peer.is_neighbour;
        let runs = self.runs_at(host);
        if runs.is_empty() && !was_neighbour {
            return;
        }
        self.log(
            Event::PeerLost,
            Subject::Peer(host.clone()),
            format!(
                "peer {host} timed out; {} runs sent to it are lost",
                runs.len()
            ),
        );
        for run in runs {
            self.task_ended(run, crate::io::RunEnd::Lost, None);
        }
    }

    fn runs_at(&self, host: &HostId) -> Vec<RunId> {
        let mut runs = Vec::new();
        for (key, job) in &self.jobs {
            for (index, task) in (0..).zip(&job.tasks) {
                if task.state == TaskState::Remote(host.clone()) {
                    runs.push(RunId {
                        job: *key,
                        task: index,
                        attempt: task.attempt,
                    });
                }
            }
        }
        runs
    }

    /// Sends all batches that are due.
    pub(crate) fn send_batches(&mut self) {
        let now = self.now;
        let has_waiting_tasks = self.waiting_tasks() > 0;
        // As soon as tasks start to wait here, peers are told, so that they
        // report their free resources.
        let starts_to_wait = has_waiting_tasks && !self.had_waiting_tasks;
        self.had_waiting_tasks = has_waiting_tasks;
        let resources_changed = std::mem::take(&mut self.resources_changed);
        let peer_tasks = &self.peer_tasks;
        let mut due: Vec<(HostId, bool)> = Vec::new();
        for (host, peer) in &mut self.peers {
            // Hosts whose tasks run here get heartbeats, so that they do not
            // count the tasks as lost.
            let is_origin = || {
                peer_tasks
                    .values()
                    .any(|peer_task| peer_task.origin == *host)
            };
            let sends_heartbeats = peer.is_neighbour
                || peer.exchanges_tasks(now)
                || (peer.is_heartbeat_due(now) && is_origin());
            if sends_heartbeats && starts_to_wait || (resources_changed && peer.status.waiting > 0)
            {
                peer.schedule_status();
            }
            if peer.is_batch_due(now, sends_heartbeats) {
                due.push((host.clone(), sends_heartbeats));
            }
        }
        if due.is_empty() {
            return;
        }
        let status = self.own_status();
        let extension = self.own_extension();
        let own = (&status, extension.as_ref());
        let sender = self.sender.clone();
        for (host, sends_heartbeats) in due {
            if let Some(peer) = self.peers.get_mut(&host)
                && let Some((batch, extension)) =
                    peer.next_batch(now, &sender, own, sends_heartbeats)
            {
                let send = FleetOutput::SendBatch(host, peer.address, batch, extension);
                self.outputs.push(send);
            }
        }
    }

    fn own_status(&self) -> PeerStatus {
        PeerStatus {
            resources: self.reported_resources(),
            waiting: self.waiting_tasks(),
            owned: u32::try_from(self.workers.len()).unwrap_or(u32::MAX),
            serving: self.serving_workers(),
            draining: self.drain_started.is_some(),
            config_version: self.queues.as_ref().map_or(0, |queues| queues.version),
        }
    }
}
