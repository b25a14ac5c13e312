//! State that a host keeps about another entry host.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::ids::{FailureDomainId, HostId};

use crate::extension::BatchExtension;
use crate::lease::RUN_END_LIMIT;
use crate::pace::FreePaces;
use crate::peer_messages::{BatchTime, PeerBatch, PeerMessage, PeerStatus, has_tasks, is_stop};

/// Longest time between two batches to a peer with which tasks are exchanged.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time between two batches to a neighbour without exchanged tasks.
const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time after the last exchange of tasks for which a peer gets heartbeats at the
/// shorter interval. Few runs take longer.
const EXCHANGE_RETENTION: Duration = Duration::from_secs(5);

/// Time without a batch accepted by the origin host after which its tasks are
/// stopped here: three heartbeats at the shorter interval.
pub(crate) const STOP_PEER_TASKS_AFTER: Duration = Duration::from_millis(600);

/// Silence after which the tasks sent to a peer count as lost. The peer stops
/// them after [`STOP_PEER_TASKS_AFTER`]. If the stop is not answered within
/// [`STOP_TIMEOUT`](crate::worker::STOP_TIMEOUT), they end with a lease of 1 s on
/// a clock that may be 2 % slow; the rest covers delays of the peer's process.
pub(crate) const REMOTE_TASKS_LOST_AFTER: Duration = Duration::from_millis(1850);

/// Silence after which a peer gets no new tasks, as a multiple of its heartbeat
/// interval in percent.
const UNRESPONSIVE_AFTER_PERCENT: u32 = 250;

/// Largest number of messages in a batch; further ones wait for the next batch.
const MAX_BATCH_MESSAGES: usize = 256;

/// `Peer` is the state that this host keeps about another entry host.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: FailureDomainId,
    /// Whether the peer gets heartbeats although no tasks are exchanged with it.
    pub(crate) is_neighbour: bool,
    /// Time of the newest batch from the peer; it also identifies the process
    /// that sent it.
    pub(crate) newest_batch: Option<BatchTime>,
    /// Previous incarnations of the peer, the latest first.
    past_incarnations: VecDeque<u64>,
    /// Arrival time of the newest batch from the peer.
    newest_batch_at: Duration,
    /// Arrival time of the first batch of the process that sent the newest one.
    incarnation_heard_at: Duration,
    /// Last echo that was sent to the peer.
    last_echo: Option<BatchTime>,
    /// Latest time at which the peer is known to have wanted the tasks that this host
    /// runs for it, other than those that it has asked to stop.
    wanted_at: Option<Duration>,
    /// Time at which the last batch from the peer arrived.
    pub(crate) heard_at: Option<Duration>,
    /// Send time of the last batch that the peer accepted.
    pub(crate) acked_at: Option<Duration>,
    /// Arrival time of the last batch from the peer that was not long in transit.
    confirmed_at: Option<Duration>,
    /// Sequence number of the last batch from the peer.
    pub(crate) last_sequence: u64,
    /// Last status from the peer, less the tasks sent there since.
    pub(crate) status: PeerStatus,
    /// Extension that came with the last status, if there was one.
    pub(crate) extension: Option<BatchExtension>,
    /// Paces of the workers with free resources, in the order of the status;
    /// empty if the peer does not report them.
    pub(crate) free_paces: Vec<FreePaces>,
    /// Time of the last log line about an ignored entry of an extension.
    pub(crate) ignored_entry_logged_at: Option<Duration>,
    /// Time until which the peer counts as one with which tasks are exchanged.
    exchanges_until: Duration,
    /// Whether the last batch to the peer failed, and nothing has arrived from
    /// it since.
    is_unreachable: bool,
    /// Whether the loss of the peer has been handled.
    pub(crate) is_lost: bool,
    outbox: VecDeque<PeerMessage>,
    in_flight: Option<InFlightBatch>,
    sequence: u64,
    next_batch_at: Duration,
    status_due: bool,
    last_status_at: Option<Duration>,
}

/// `InFlightBatch` is a batch that the peer has not accepted yet.
#[derive(Debug)]
struct InFlightBatch {
    batch: PeerBatch,
    extension: Option<BatchExtension>,
    sent_at: Duration,
    is_sending: bool,
}

/// Previous incarnations of a peer to remember: more than it can start while a
/// batch is in transit.
const MAX_PAST_INCARNATIONS: usize = 16;

/// `SenderIncarnation` classifies the process of a peer that sent a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SenderIncarnation {
    /// The first known process, or the same one as before.
    Current,
    /// A new process; the previous one has ended.
    New,
    /// A process that has ended; the batch is late.
    Past,
}

/// Shortest time between two statuses to one peer, so that statuses do not
/// outnumber the tasks.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(10);

/// Delay before a batch that was not accepted is retransmitted.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(30);

/// `BatchSender` identifies this host as the sender of batches.
#[derive(Clone, Debug)]
pub(crate) struct BatchSender {
    pub(crate) host_id: HostId,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: FailureDomainId,
    pub(crate) incarnation: u64,
    /// Whether inputs from a pause of the process may not be handled yet.
    pub(crate) has_pending_inputs: bool,
}

impl BatchSender {
    /// Gets the timestamp of a batch sent now.
    fn time(&self, now: Duration) -> BatchTime {
        BatchTime {
            incarnation: self.incarnation,
            sent_ms: millis(now),
        }
    }

    /// Whether a batch with this echo was sent within [`STOP_PEER_TASKS_AFTER`].
    pub(crate) fn is_recent(&self, echo: Option<BatchTime>, now: Duration) -> bool {
        let sent_at = self.time_of_echo(echo);
        sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) <= STOP_PEER_TASKS_AFTER)
    }

    /// Gets the time at or after which a batch with this echo was sent; `None` if its
    /// sender has received no batch from this process.
    pub(crate) fn time_of_echo(&self, echo: Option<BatchTime>) -> Option<Duration> {
        let echo = echo.filter(|echo| echo.incarnation == self.incarnation)?;
        Some(Duration::from_millis(echo.sent_ms))
    }

    /// Whether a batch with this echo is meant for this process. A sender clears its
    /// messages when it first hears a new process, so none of a batch for this one
    /// is about runs of a former one.
    pub(crate) fn is_meant_for(&self, echo: Option<BatchTime>) -> bool {
        echo.is_some_and(|echo| echo.incarnation == self.incarnation)
    }
}

impl Peer {
    pub(crate) fn new(address: SocketAddr, failure_domain: FailureDomainId) -> Self {
        Self {
            address,
            failure_domain,
            is_neighbour: false,
            newest_batch: None,
            past_incarnations: VecDeque::new(),
            newest_batch_at: Duration::ZERO,
            incarnation_heard_at: Duration::ZERO,
            last_echo: None,
            wanted_at: None,
            heard_at: None,
            acked_at: None,
            confirmed_at: None,
            last_sequence: 0,
            status: PeerStatus::default(),
            extension: None,
            free_paces: Vec::new(),
            ignored_entry_logged_at: None,
            exchanges_until: Duration::ZERO,
            is_unreachable: false,
            is_lost: false,
            outbox: VecDeque::new(),
            in_flight: None,
            sequence: 0,
            next_batch_at: Duration::ZERO,
            status_due: false,
            last_status_at: None,
        }
    }

    /// Whether the peer was heard from recently enough to get tasks.
    pub(crate) fn is_responsive(&self, now: Duration) -> bool {
        let limit = self.heartbeat_interval(now) * UNRESPONSIVE_AFTER_PERCENT / 100;
        !self.is_unreachable && is_within(self.heard_at, now, limit)
    }

    fn heartbeat_interval(&self, now: Duration) -> Duration {
        if self.exchanges_tasks(now) {
            HEARTBEAT_INTERVAL
        } else {
            IDLE_HEARTBEAT_INTERVAL
        }
    }

    /// Records that a batch arrived.
    pub(crate) fn record_arrival(&mut self, messages: &[PeerMessage], now: Duration) {
        self.heard_at = Some(now);
        self.is_unreachable = false;
        if has_tasks(messages) {
            if now >= self.exchanges_until {
                // The peer counts its tasks as lost unless it is told soon that
                // this host accepts them.
                self.next_batch_at = self.next_batch_at.min(now);
            }
            self.exchanges_until = now + EXCHANGE_RETENTION;
        }
    }

    /// Records that a batch arrived which was not long in transit.
    pub(crate) fn confirm(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Whether the peer accepted a batch recently, so that it does not yet count
    /// the tasks that this host runs for it as lost.
    pub(crate) fn has_recent_ack(&self, now: Duration) -> bool {
        is_within(self.acked_at, now, STOP_PEER_TASKS_AFTER)
    }

    /// Whether the peer may still want the tasks that this host runs for it. It
    /// must have accepted a batch and have sent one recently: if only its batches
    /// are lost, so are its requests to stop tasks.
    pub(crate) fn has_recent_contact(&self, now: Duration) -> bool {
        self.has_recent_ack(now) && is_within(self.confirmed_at, now, STOP_PEER_TASKS_AFTER)
    }

    /// Records that the peer wanted its tasks at a time.
    pub(crate) fn record_wanted(&mut self, at: Duration) {
        self.wanted_at = self.wanted_at.max(Some(at));
    }

    /// Gets the time by which the runs for the peer must have ended unless more is
    /// heard from it.
    pub(crate) fn run_limit(&self) -> Option<Duration> {
        self.wanted_at.map(|at| at + RUN_END_LIMIT)
    }

    /// Whether tasks were exchanged with the peer recently, and may still run.
    pub(crate) fn exchanges_tasks(&self, now: Duration) -> bool {
        now < self.exchanges_until
    }

    /// Gets the time at which the tasks that this host runs for the peer are to be
    /// stopped, unless the peer accepts and sends another batch before.
    pub(crate) fn stop_tasks_at(&self) -> Option<Duration> {
        let contact_at = self.acked_at?.min(self.confirmed_at?);
        Some(contact_at + STOP_PEER_TASKS_AFTER + Duration::from_millis(1))
    }

    /// Whether the peer has been silent for so long that the tasks sent there
    /// have ended.
    pub(crate) fn has_timed_out(&self, now: Duration) -> bool {
        !is_within(self.heard_at, now, REMOTE_TASKS_LOST_AFTER)
    }

    /// Adds a message to the next batch.
    pub(crate) fn push(&mut self, message: PeerMessage) {
        self.outbox.push_back(message);
    }

    /// Includes a status in the next batch.
    pub(crate) fn schedule_status(&mut self) {
        self.status_due = true;
    }

    /// Records the time of a batch, and classifies the process that sent it. The
    /// process was alive at `alive_at`, if that is known.
    ///
    /// The first batch of a process can be so late that its successor is heard
    /// before it. The successor then counts as past until it shows that it is alive:
    /// two processes of a host do not run at the same time, so the one that sent a
    /// batch after the first batch of the other had arrived is the later one.
    pub(crate) fn record_timestamp(
        &mut self,
        time: BatchTime,
        alive_at: Option<Duration>,
        now: Duration,
    ) -> SenderIncarnation {
        let mut past = self.past_incarnations.iter();
        if let Some(index) = past.position(|incarnation| *incarnation == time.incarnation) {
            if alive_at.is_none_or(|alive_at| alive_at <= self.incarnation_heard_at) {
                return SenderIncarnation::Past;
            }
            self.past_incarnations.remove(index);
        }
        match &mut self.newest_batch {
            Some(newest) if newest.incarnation == time.incarnation => {
                if time.sent_ms > newest.sent_ms {
                    newest.sent_ms = time.sent_ms;
                    self.newest_batch_at = now;
                }
                SenderIncarnation::Current
            }
            newest => {
                self.newest_batch_at = now;
                self.incarnation_heard_at = now;
                let Some(previous) = newest.replace(time) else {
                    return SenderIncarnation::Current;
                };
                self.past_incarnations.truncate(MAX_PAST_INCARNATIONS - 1);
                self.past_incarnations.push_front(previous.incarnation);
                SenderIncarnation::New
            }
        }
    }

    /// Drops messages that the peer has not accepted, because the tasks that
    /// they refer to have ended.
    pub(crate) fn drop_unsent(&mut self) {
        self.outbox.clear();
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.batch.messages.clear();
            in_flight.extension = None;
        }
    }

    /// Handles the end of the batch in flight.
    pub(crate) fn batch_ended(&mut self, accepted: bool, now: Duration) {
        let Some(mut in_flight) = self.in_flight.take() else {
            return;
        };
        self.is_unreachable = !accepted;
        if accepted {
            self.acked_at = Some(in_flight.sent_at);
            return;
        }
        in_flight.is_sending = false;
        self.in_flight = Some(in_flight);
        self.next_batch_at = now + RETRANSMIT_DELAY;
    }

    /// Whether a heartbeat is due, provided that this peer gets heartbeats.
    pub(crate) fn is_heartbeat_due(&self, now: Duration) -> bool {
        now >= self.next_batch_at
    }

    /// Gets the time at which the next batch may be due.
    pub(crate) fn next_wakeup(&self, now: Duration) -> Duration {
        let next_heartbeat_at = if self.is_neighbour || self.exchanges_tasks(now) {
            self.next_batch_at
        } else {
            Duration::MAX
        };
        let stop_tasks_at = self.stop_tasks_at().filter(|at| *at > now);
        let next_batch_at = match &self.in_flight {
            Some(in_flight) if in_flight.is_sending => now + self.heartbeat_interval(now),
            Some(_) => self.next_batch_at,
            None if !self.outbox.is_empty() => now,
            None if self.status_due => self.next_status_at().min(next_heartbeat_at),
            None => next_heartbeat_at,
        };
        stop_tasks_at.map_or(next_batch_at, |at| at.min(next_batch_at))
    }

    fn next_status_at(&self) -> Duration {
        self.last_status_at
            .map_or(Duration::ZERO, |at| at + MIN_STATUS_INTERVAL)
    }

    /// Whether a batch is to be sent now.
    pub(crate) fn is_batch_due(&self, now: Duration, sends_heartbeats: bool) -> bool {
        match &self.in_flight {
            Some(in_flight) => !in_flight.is_sending && now >= self.next_batch_at,
            None => !self.outbox.is_empty() || self.is_status_due(now, sends_heartbeats),
        }
    }

    fn is_status_due(&self, now: Duration, sends_heartbeats: bool) -> bool {
        let is_heartbeat = sends_heartbeats && self.is_heartbeat_due(now);
        is_heartbeat || (self.status_due && now >= self.next_status_at())
    }

    /// Gets the batch to send now, if one is due and none is in flight. The
    /// extension accompanies the status.
    pub(crate) fn next_batch(
        &mut self,
        now: Duration,
        from: &BatchSender,
        (status, extension): (&PeerStatus, Option<&BatchExtension>),
        sends_heartbeats: bool,
    ) -> Option<(PeerBatch, Option<BatchExtension>)> {
        let echo = self.next_echo(now, from);
        if let Some(in_flight) = &mut self.in_flight {
            if in_flight.is_sending || now < self.next_batch_at {
                return None;
            }
            in_flight.is_sending = true;
            in_flight.sent_at = now;
            in_flight.batch.time = from.time(now);
            if !self.outbox.iter().any(is_stop) {
                in_flight.batch.echo = echo;
            }
            return Some((in_flight.batch.clone(), in_flight.extension.clone()));
        }
        let has_status = self.is_status_due(now, sends_heartbeats);
        if self.outbox.is_empty() && !has_status {
            return None;
        }
        let batch = self.fill_batch((now, echo), from, has_status.then_some(status));
        let extension = extension.filter(|_| has_status).cloned();
        if has_tasks(&batch.messages) {
            self.exchanges_until = now + EXCHANGE_RETENTION;
        }
        if has_status {
            self.status_due = false;
            self.last_status_at = Some(now);
        }
        self.next_batch_at = now + self.heartbeat_interval(now);
        self.in_flight = Some(InFlightBatch {
            batch: batch.clone(),
            extension: extension.clone(),
            sent_at: now,
            is_sending: true,
        });
        Some((batch, extension))
    }

    /// Gets the echo of a batch that is composed now. After a pause of the process
    /// its time stays, because callers may have left whose jobs have not ended yet.
    fn next_echo(&mut self, now: Duration, from: &BatchSender) -> Option<BatchTime> {
        let newest = self.newest_batch?;
        if !from.has_pending_inputs {
            let since_arrival = millis(now.saturating_sub(self.newest_batch_at));
            self.last_echo = Some(BatchTime {
                sent_ms: newest.sent_ms.saturating_add(since_arrival),
                ..newest
            });
        } else if self.last_echo.map(|echo| echo.incarnation) != Some(newest.incarnation) {
            // The messages are meant for the process that was heard last.
            self.last_echo = Some(newest);
        }
        self.last_echo
    }

    fn fill_batch(
        &mut self,
        (now, echo): (Duration, Option<BatchTime>),
        from: &BatchSender,
        status: Option<&PeerStatus>,
    ) -> PeerBatch {
        self.sequence += 1;
        // All stops are included: the echo says that none is left.
        let stops = self.outbox.iter().rposition(is_stop);
        let least = stops.map_or(0, |last| last + 1);
        let count = self.outbox.len().min(MAX_BATCH_MESSAGES.max(least));
        let mut messages: Vec<PeerMessage> = self.outbox.drain(..count).collect();
        messages.extend(status.cloned().map(PeerMessage::Status));
        PeerBatch {
            from: from.host_id.clone(),
            address: from.address,
            failure_domain: from.failure_domain.clone(),
            time: from.time(now),
            echo,
            sequence: self.sequence,
            messages,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn is_within(at: Option<Duration>, now: Duration, limit: Duration) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) <= limit)
}
