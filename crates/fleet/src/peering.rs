//! The other entry hosts: batches, statuses, silence.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::{FailureDomainId, HostId};

use crate::fleet::Fleet;
use crate::io::{FleetOutput, PeerInfo, Subject};
use crate::job::{RunId, TaskState};
use crate::peer::{Peer, PeerBatch, PeerMessage, PeerStatus, SendingProcess};

impl Fleet {
    pub(crate) fn on_peers(&mut self, addresses: Vec<PeerInfo>) {
        let now = self.now;
        for address in addresses {
            if address.host_id == self.options.host_id {
                continue;
            }
            let peer = self.known_peer(address.host_id, address.address, address.failure_domain);
            peer.address = address.address;
            peer.listed_at = Some(now);
        }
    }

    /// Gets what is known of a host; one that is new may become a neighbour at
    /// once.
    fn known_peer(
        &mut self,
        host: HostId,
        address: SocketAddr,
        failure_domain: FailureDomainId,
    ) -> &mut Peer {
        let next_choice_at = &mut self.next_choice_at;
        self.peers.entry(host).or_insert_with(|| {
            *next_choice_at = Duration::ZERO;
            Peer::new(address, failure_domain)
        })
    }

    pub(crate) fn on_batch(&mut self, batch: PeerBatch) {
        let now = self.now;
        let host = batch.from.clone();
        let peer = self.known_peer(host.clone(), batch.address, batch.failure_domain);
        match peer.note_time(batch.time) {
            SendingProcess::Present => {}
            SendingProcess::Restarted => {
                peer.last_sequence = 0;
                self.peer_restarted(&host);
            }
            SendingProcess::Former => return,
        }
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        peer.address = batch.address;
        peer.heard_at = Some(now);
        let was_lost = std::mem::take(&mut peer.lost);
        let is_new = batch.sequence > peer.last_sequence;
        peer.last_sequence = peer.last_sequence.max(batch.sequence);
        if was_lost {
            self.log(
                Event::PeerFound,
                Subject::Peer(host.clone()),
                format!("host {host} is heard from again"),
            );
        }
        if is_new {
            let is_recent = self.sender.is_recent(batch.echo, now);
            for message in batch.messages {
                self.on_message(&host, message, is_recent);
            }
        }
    }

    fn on_message(&mut self, host: &HostId, message: PeerMessage, is_recent: bool) {
        match message {
            PeerMessage::Status(status) => self.on_status(host, status),
            PeerMessage::Run(chunk) => self.on_chunk(host, chunk, is_recent),
            PeerMessage::Refused(runs) => self.on_refused(host, &runs),
            PeerMessage::Ended(run, end, took_ms) => {
                if end == crate::io::RunEnd::Done
                    && let Some(job) = self.jobs.get(&run.job)
                {
                    let took = Duration::from_millis(took_ms);
                    self.estimates.learn(&job.queue, job.declared, took);
                }
                self.task_ended(run, end, None);
            }
            PeerMessage::Stop(runs) => self.on_stop_guests(&runs),
            PeerMessage::HandOver(report, fencing_token) => {
                self.take_report(report, Some(fencing_token));
            }
        }
    }

    fn on_status(&mut self, host: &HostId, status: PeerStatus) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let waits = status.waiting > 0;
        peer.status = status;
        if waits {
            peer.want_status();
        }
    }

    /// Queues tasks that a peer sent back for want of room.
    fn on_refused(&mut self, host: &HostId, runs: &[RunId]) {
        if let Some(peer) = self.peers.get_mut(host) {
            for rooms in &mut peer.status.rooms {
                rooms.free.clear();
            }
        }
        for run in runs {
            self.take_back(*run);
        }
    }

    /// A peer has started anew: its runs end with the leases that it granted.
    fn peer_restarted(&mut self, host: &HostId) {
        self.log(
            Event::PeerFound,
            Subject::Peer(host.clone()),
            format!("host {host} has started anew"),
        );
        let over_at = self.now + self.options.max_lease + self.options.max_stop_time;
        for run in self.runs_at(host) {
            self.linger(run, over_at);
        }
        self.drop_guests_of(host);
        if let Some(peer) = self.peers.get_mut(host) {
            peer.clear();
        }
    }

    /// Notes silence: of an origin, whose runs are stopped, and of a host that
    /// runs tasks of this one, which are over.
    pub(crate) fn watch_peers(&mut self) {
        self.end_orphaned_guests();
        self.choose_neighbours();
        let now = self.now;
        let hosts: Vec<HostId> = self.peers.keys().cloned().collect();
        for host in hosts {
            let Some(peer) = self.peers.get_mut(&host) else {
                continue;
            };
            if !peer.is_confirmed(now) {
                self.stop_guests_of(&host);
            }
            let Some(peer) = self.peers.get_mut(&host) else {
                continue;
            };
            if peer.heard_at.is_some() && !peer.lost && peer.is_silent(now) {
                peer.lost = true;
                peer.clear();
                let is_missed = peer.is_neighbour;
                let runs = self.runs_at(&host);
                if runs.is_empty() && !is_missed {
                    continue;
                }
                self.log(
                    Event::PeerLost,
                    Subject::Peer(host.clone()),
                    format!("host {host} is silent; {} runs there are over", runs.len()),
                );
                for run in runs {
                    self.task_ended(run, crate::io::RunEnd::Lost, None);
                }
            }
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

    /// Sends the batches that are due.
    pub(crate) fn send_batches(&mut self) {
        let status = self.own_status();
        let waits = status.waiting > 0;
        // Peers are told at once when tasks begin to wait here, so that they
        // say what room they have.
        let begins_to_wait = waits && !self.was_waiting;
        self.was_waiting = waits;
        let room_changed = std::mem::take(&mut self.room_changed);
        let now = self.now;
        let sender = self.sender.clone();
        let mut batches = Vec::new();
        let guests = &self.guests;
        for (host, peer) in &mut self.peers {
            // Hosts whose tasks run here must not give them up.
            let is_origin = || guests.values().any(|guest| guest.origin == *host);
            let beats = peer.is_neighbour || (peer.is_beat_due(now) && is_origin());
            if beats && begins_to_wait || (room_changed && peer.status.waiting > 0) {
                peer.want_status();
            }
            if let Some(batch) = peer.next_batch(now, &sender, &status, beats) {
                batches.push(FleetOutput::SendBatch(host.clone(), peer.address, batch));
            }
        }
        self.outputs.extend(batches);
    }

    fn own_status(&self) -> PeerStatus {
        PeerStatus {
            rooms: self.own_rooms(),
            waiting: self.waiting_tasks(),
            owned: u32::try_from(self.workers.len()).unwrap_or(u32::MAX),
            serving: self.serving_workers(),
            draining: self.drain_started.is_some(),
            config_version: self.queues.as_ref().map_or(0, |queues| queues.version),
        }
    }
}
