//! Messages and events of the model, in the order of time.

use std::collections::BTreeMap;

use hornbeam_fleet::{
    BatchExtension, CallId, JobOutcome, PeerBatch, PollOutcome, PollRequest, ReportAnswer, RunId,
    StartOutcome, StartRequest, StopOutcome, StopRequest, WorkerKey, WorkerReport,
};

use super::Millis;
use super::schedule::{Fate, MessageFault};

/// `MessageKind` is the kind of a message that a fault can affect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MessageKind {
    /// Status report to a control host or an entry host.
    Report,
    /// Answer to a status report.
    ReportAnswer,
    /// Status report from a control host to an entry host.
    Relayed,
    /// Deregistration.
    Deregistration,
    Start,
    StartAnswer,
    Stop,
    StopAnswer,
    Poll,
    PollAnswer,
    /// Batch between entry hosts.
    Batch,
    /// Job from a caller.
    Submission,
}

impl MessageKind {
    pub const ALL: [Self; 12] = [
        Self::Report,
        Self::ReportAnswer,
        Self::Relayed,
        Self::Deregistration,
        Self::Start,
        Self::StartAnswer,
        Self::Stop,
        Self::StopAnswer,
        Self::Poll,
        Self::PollAnswer,
        Self::Batch,
        Self::Submission,
    ];
}

/// `HostLife` identifies one process of an entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostLife {
    pub host: usize,
    pub life: u32,
}

/// `WorkerLife` identifies one incarnation of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerLife {
    pub worker: usize,
    pub life: u32,
}

/// `Destination` is where a worker sends its reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Destination {
    Control(usize),
    Host(usize),
}

/// `WorkerRequest` is a request of an entry host to a worker.
#[derive(Clone, Debug)]
pub enum WorkerRequest {
    Start(StartRequest),
    Stop(StopRequest),
    Poll {
        request: PollRequest,
        is_probe: bool,
    },
}

/// `RequestResult` is the outcome of a request to a worker.
#[derive(Clone, Debug)]
pub enum RequestResult {
    Start(WorkerKey, RunId, StartOutcome),
    Stop(WorkerKey, RunId, StopOutcome),
    Poll(WorkerKey, PollOutcome, bool),
}

/// `SentReport` is a status report on its way.
#[derive(Clone, Debug)]
pub struct SentReport {
    pub from: WorkerLife,
    pub report: WorkerReport,
    pub clock_ms: u64,
}

/// `Event` is what happens at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A host's timer.
    Tick(HostLife),
    /// A request arrives at a worker.
    AtWorker(usize, HostLife, u64, WorkerRequest),
    /// A poll has waited long enough at a worker.
    PollDue(WorkerLife, u64),
    /// The answer to a request arrives at its host, or its timeout passes.
    RequestEnded(HostLife, u64, RequestResult),
    /// A report arrives at a control host or an entry host.
    ReportArrives(Destination, SentReport),
    /// A control host passes a report on.
    RelayedArrives(usize, usize, SentReport),
    /// The answer of an entry host to a relayed report, at the control host.
    RelayAnswered(usize, usize, SentReport, ReportAnswer),
    /// The answer to a report arrives; the address for the next reports.
    ReportAnswered(WorkerLife, u64, Option<Destination>),
    /// A worker reports.
    ReportDue(WorkerLife, u64),
    /// A worker gives up waiting for the answer to a report.
    ReportTimeout(WorkerLife, u64),
    /// A deregistration arrives.
    DeregistrationArrives(Destination, usize),
    /// A worker that drains sends its deregistration.
    Leaves(WorkerLife),
    /// A worker's process ends.
    Ends(WorkerLife),
    /// A worker starts again.
    WorkerStarts(usize),
    /// A run ends by itself.
    RunDone(WorkerLife, RunId),
    /// A run that is stopped has ended.
    RunStopped(WorkerLife, RunId),
    /// The lease of a worker may have expired.
    LeaseCheck(WorkerLife),
    /// A batch arrives at a host, with its extension.
    BatchArrives(HostLife, usize, (PeerBatch, Option<BatchExtension>), u64),
    /// The answer to a batch arrives at its sender, or its timeout passes.
    BatchEnded(HostLife, usize, u64, bool),
    /// A host starts after it has ended.
    HostStarts(usize),
    /// A job arrives at a host.
    JobArrives(usize, CallId),
    /// An answer arrives at a caller.
    JobAnswered(CallId, JobOutcome),
    /// A caller sends its job, for the first time or again.
    CallerSends(usize),
    /// A host that stood still sees that a caller has closed its connection.
    CallerGone(usize, CallId),
    /// A host has read all connections after a pause.
    InputsRead(HostLife, u64),
    /// A caller stops waiting.
    CallerTimeout(CallId),
    /// Control hosts list the entry hosts.
    HostsListed,
    /// A fault of a node.
    NodeFault(super::schedule::NodeFault),
}

/// `Network` holds the events to come and decides the fate of messages.
#[derive(Debug)]
pub struct Network {
    queue: BTreeMap<(Millis, u64), Event>,
    sequence: u64,
    seed: u64,
    faults: Vec<MessageFault>,
}

impl Network {
    pub fn new(seed: u64, faults: Vec<MessageFault>) -> Self {
        Self {
            queue: BTreeMap::new(),
            sequence: 0,
            seed,
            faults,
        }
    }

    /// Adds an event at a time.
    pub fn at(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Takes the next event.
    pub fn next(&mut self) -> Option<(Millis, Event)> {
        let ((at, _), event) = self.queue.pop_first()?;
        Some((at, event))
    }

    /// Sends a message of a kind to or from a node. Returns whether it is on its
    /// way.
    pub fn send(&mut self, now: Millis, kind: MessageKind, node: usize, event: Event) {
        let delay = 1 + self.draw(2);
        let matching = |fault: &&mut MessageFault| {
            fault.kind == kind && fault.node == node && fault.from_ms <= now && fault.count > 0
        };
        let fate = self.faults.iter_mut().find(matching).map(|fault| {
            fault.count -= 1;
            fault.fate
        });
        match fate {
            None => self.at(now + delay, event),
            // A connection delivers a call once.
            Some(Fate::Repeated(_)) if kind == MessageKind::Submission => {
                self.at(now + delay, event);
            }
            Some(Fate::Lost) => {}
            Some(Fate::Held(extra)) => self.at(now + delay + extra, event),
            Some(Fate::Repeated(extra)) => {
                self.at(now + delay, event.clone());
                self.at(now + delay + extra, event);
            }
        }
    }

    /// Draws a number below `limit`, which depends on the seed only.
    pub fn draw(&mut self, limit: u64) -> u64 {
        // SplitMix64.
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}
