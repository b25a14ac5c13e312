//! Messages between entry hosts, and what a host knows of another.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::ids::{ConfigVersion, FailureDomainId, HostId, ServiceId, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::fencing::FencingToken;
use crate::io::RunEnd;
use crate::job::{JobKey, RunId};
use crate::report::WorkerReport;
use crate::room::{Resources, ServiceResources};

/// Longest time between two batches to a peer.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(200);

/// Time without a batch taken by the origin of tasks after which a host stops
/// what it runs for it: three heartbeats.
pub(crate) const STOP_GUESTS_AFTER: Duration = Duration::from_millis(600);

/// Silence after which the tasks at a peer are over: the peer stops them after
/// [`STOP_GUESTS_AFTER`], and the rest covers the stop and a batch under way.
pub(crate) const TASKS_OVER_AFTER: Duration = Duration::from_millis(1200);

/// Silence after which a peer gets no new tasks.
pub(crate) const QUIET_AFTER: Duration = Duration::from_millis(500);

/// Messages that a batch may hold; more wait for the next one.
const MAX_BATCH_MESSAGES: usize = 256;

/// `BatchTime` is when a process sent a batch, by its own clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BatchTime {
    /// Start of the process.
    pub incarnation: u64,
    /// Monotonic time of the process, in ms.
    pub sent_ms: u64,
}

/// `PeerBatch` is a group of messages that arrives as a whole or not at all.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerBatch {
    /// Host that sends it.
    pub from: HostId,
    /// Link address of that host.
    pub address: SocketAddr,
    /// Failure domain of that host.
    pub failure_domain: FailureDomainId,
    /// When it was sent.
    pub time: BatchTime,
    /// Time of the newest batch that the sender has from the receiver, which
    /// bounds how long this one was on its way.
    pub echo: Option<BatchTime>,
    /// Number of the batch from that process to this peer, from 1. A batch
    /// that got no answer is sent again under its number.
    pub sequence: u64,
    /// Messages, oldest first.
    pub messages: Vec<PeerMessage>,
}

/// `PeerMessage` is a message from one entry host to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// What the host has.
    Status(PeerStatus),
    /// Run these tasks.
    Run(TaskChunk),
    /// These runs were not started for want of room.
    Refused(Vec<RunId>),
    /// A run ended; with the time it took, in ms.
    Ended(RunId, RunEnd, u64),
    /// Stop these runs.
    Stop(Vec<RunId>),
    /// Take this worker over from a former owner.
    HandOver(WorkerReport, FencingToken),
}

/// `PeerStatus` is what a host tells the others about itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerStatus {
    /// Free room by service.
    pub rooms: Vec<ServiceResources>,
    /// Tasks that wait for room.
    pub waiting: u32,
    /// Workers owned.
    pub owned: u32,
    /// Those of them that take tasks now.
    pub serving: u32,
    /// Whether the host is about to end.
    pub draining: bool,
    /// Version of the configuration in force there.
    pub config_version: ConfigVersion,
}

/// `TaskChunk` is a group of tasks of one job for a peer to run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskChunk {
    /// The job.
    pub job: JobKey,
    /// Service whose workers run the tasks.
    pub service: ServiceId,
    /// What the tasks run.
    pub spec: Arc<str>,
    /// What each task needs.
    pub need: Resources,
    /// Expected run time of a task, in ms.
    pub expected_ms: u64,
    /// Time by which the tasks go before others that must start at the same
    /// time, in ms.
    pub lead_ms: u64,
    /// Time for which the tasks may wait for room, in ms.
    pub start_within_ms: u64,
    /// The tasks.
    pub tasks: Vec<ChunkTask>,
}

/// `ChunkTask` is a task of a chunk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChunkTask {
    /// The task.
    pub task: TaskIndex,
    /// Number of its start.
    pub attempt: u32,
}

/// `Peer` is what this host knows of another one.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: FailureDomainId,
    /// When a control host has last listed it.
    pub(crate) listed_at: Option<Duration>,
    /// Whether it gets a batch at least every [`HEARTBEAT`].
    pub(crate) is_neighbour: bool,
    /// Time of its newest batch, which tells the process that sent it.
    pub(crate) newest: Option<BatchTime>,
    /// Its former processes, the last one first.
    former: VecDeque<u64>,
    /// When it was last heard from.
    pub(crate) heard_at: Option<Duration>,
    /// When the last batch that it took was sent.
    pub(crate) confirmed_at: Option<Duration>,
    /// Last batch taken from it.
    pub(crate) last_sequence: u64,
    /// Its last status, less what was sent there since.
    pub(crate) status: PeerStatus,
    /// Whether the silence has been noted.
    pub(crate) lost: bool,
    outbox: VecDeque<PeerMessage>,
    under_way: Option<UnderWay>,
    sequence: u64,
    next_batch_at: Duration,
    status_due: bool,
    last_status_at: Option<Duration>,
}

/// `UnderWay` is a batch without an answer.
#[derive(Debug)]
struct UnderWay {
    batch: PeerBatch,
    sent_at: Duration,
    is_sending: bool,
}

/// Former processes of a peer that are remembered: more than it can start while
/// a batch is on its way.
const MAX_FORMER: usize = 16;

/// `SendingProcess` tells which process of a peer has sent a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendingProcess {
    /// The first one heard of, or the one before.
    Present,
    /// A new one; the one before has ended.
    Restarted,
    /// One that has ended; the batch is late.
    Former,
}

/// Shortest time between two statuses to one peer, so that statuses do not
/// outnumber the tasks.
const STATUS_PAUSE: Duration = Duration::from_millis(10);

/// Pause before a batch that was not taken is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(30);

/// `Sender` names the host that sends batches.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) host_id: HostId,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: FailureDomainId,
    pub(crate) incarnation: u64,
}

impl Sender {
    /// Gets the time to put on a batch.
    fn time(&self, now: Duration) -> BatchTime {
        BatchTime {
            incarnation: self.incarnation,
            sent_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Whether a batch with this echo was sent lately: its sender had by then
    /// a batch that this process has sent within [`STOP_GUESTS_AFTER`].
    pub(crate) fn is_recent(&self, echo: Option<BatchTime>, now: Duration) -> bool {
        echo.is_some_and(|echo| {
            let sent_at = Duration::from_millis(echo.sent_ms);
            echo.incarnation == self.incarnation && now.saturating_sub(sent_at) <= STOP_GUESTS_AFTER
        })
    }
}

impl Peer {
    pub(crate) fn new(address: SocketAddr, failure_domain: FailureDomainId) -> Self {
        Self {
            address,
            failure_domain,
            listed_at: None,
            is_neighbour: false,
            newest: None,
            former: VecDeque::new(),
            heard_at: None,
            confirmed_at: None,
            last_sequence: 0,
            status: PeerStatus::default(),
            lost: false,
            outbox: VecDeque::new(),
            under_way: None,
            sequence: 0,
            next_batch_at: Duration::ZERO,
            status_due: false,
            last_status_at: None,
        }
    }

    /// Whether it was heard from lately enough to get tasks.
    pub(crate) fn is_lively(&self, now: Duration) -> bool {
        is_within(self.heard_at, now, QUIET_AFTER)
    }

    /// Whether it has lately taken a batch, so that it has not given up the
    /// tasks that this host runs for it.
    pub(crate) fn is_confirmed(&self, now: Duration) -> bool {
        is_within(self.confirmed_at, now, STOP_GUESTS_AFTER)
    }

    /// Whether the tasks there are over because of its silence.
    pub(crate) fn is_silent(&self, now: Duration) -> bool {
        !is_within(self.heard_at, now, TASKS_OVER_AFTER)
    }

    /// Adds a message to the next batch.
    pub(crate) fn push(&mut self, message: PeerMessage) {
        self.outbox.push_back(message);
    }

    /// Asks for a status in the next batch.
    pub(crate) fn want_status(&mut self) {
        self.status_due = true;
    }

    /// Takes note of the time of a batch, and tells which process sent it.
    pub(crate) fn note_time(&mut self, time: BatchTime) -> SendingProcess {
        if self.former.contains(&time.incarnation) {
            return SendingProcess::Former;
        }
        match &mut self.newest {
            Some(newest) if newest.incarnation == time.incarnation => {
                newest.sent_ms = newest.sent_ms.max(time.sent_ms);
                SendingProcess::Present
            }
            newest => {
                let Some(former) = newest.replace(time) else {
                    return SendingProcess::Present;
                };
                self.former.truncate(MAX_FORMER - 1);
                self.former.push_front(former.incarnation);
                SendingProcess::Restarted
            }
        }
    }

    /// Drops what was not sent, because the tasks it is about are over.
    pub(crate) fn clear(&mut self) {
        self.outbox.clear();
        if let Some(under_way) = &mut self.under_way {
            under_way.batch.messages.clear();
        }
    }

    /// Notes the end of the batch under way.
    pub(crate) fn batch_ended(&mut self, taken: bool, now: Duration) {
        let Some(mut under_way) = self.under_way.take() else {
            return;
        };
        if taken {
            self.confirmed_at = Some(under_way.sent_at);
            return;
        }
        under_way.is_sending = false;
        self.under_way = Some(under_way);
        self.next_batch_at = now + RESEND_PAUSE;
    }

    /// Whether a heartbeat is due if this peer gets any.
    pub(crate) fn is_beat_due(&self, now: Duration) -> bool {
        now >= self.next_batch_at
    }

    /// Gets when the next batch may be due.
    pub(crate) fn wakeup(&self, now: Duration) -> Duration {
        let next_beat_at = if self.is_neighbour {
            self.next_batch_at
        } else {
            Duration::MAX
        };
        match &self.under_way {
            Some(under_way) if under_way.is_sending => now + HEARTBEAT,
            Some(_) => self.next_batch_at,
            None if !self.outbox.is_empty() => now,
            None if self.status_due => self.status_at().min(next_beat_at),
            None => next_beat_at,
        }
    }

    fn status_at(&self) -> Duration {
        self.last_status_at
            .map_or(Duration::ZERO, |at| at + STATUS_PAUSE)
    }

    /// Gets the batch to send now, if one is due and none is under way.
    pub(crate) fn next_batch(
        &mut self,
        now: Duration,
        from: &Sender,
        status: &PeerStatus,
        beats: bool,
    ) -> Option<PeerBatch> {
        if let Some(under_way) = &mut self.under_way {
            if under_way.is_sending || now < self.next_batch_at {
                return None;
            }
            under_way.is_sending = true;
            under_way.sent_at = now;
            under_way.batch.time = from.time(now);
            under_way.batch.echo = self.newest;
            return Some(under_way.batch.clone());
        }
        let is_beat = beats && self.is_beat_due(now);
        let has_status = is_beat || (self.status_due && now >= self.status_at());
        if self.outbox.is_empty() && !has_status {
            return None;
        }
        let batch = self.fill_batch(now, from, has_status.then_some(status));
        if has_status {
            self.status_due = false;
            self.last_status_at = Some(now);
        }
        self.next_batch_at = now + HEARTBEAT;
        self.under_way = Some(UnderWay {
            batch: batch.clone(),
            sent_at: now,
            is_sending: true,
        });
        Some(batch)
    }

    fn fill_batch(
        &mut self,
        now: Duration,
        from: &Sender,
        status: Option<&PeerStatus>,
    ) -> PeerBatch {
        self.sequence += 1;
        let count = self.outbox.len().min(MAX_BATCH_MESSAGES);
        let mut messages: Vec<PeerMessage> = self.outbox.drain(..count).collect();
        messages.extend(status.cloned().map(PeerMessage::Status));
        PeerBatch {
            from: from.host_id.clone(),
            address: from.address,
            failure_domain: from.failure_domain.clone(),
            time: from.time(now),
            echo: self.newest,
            sequence: self.sequence,
            messages,
        }
    }
}

fn is_within(at: Option<Duration>, now: Duration, limit: Duration) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) <= limit)
}
