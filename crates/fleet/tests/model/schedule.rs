//! Schedules: the faults of one run of the model.

use proptest::collection::vec;
use proptest::prelude::*;

use super::Millis;
use super::network::MessageKind;

/// Delays of messages that are held up: less than a timeout, between timeouts,
/// and longer than a worker takes to leave and to start again.
const DELAYS_MS: [Millis; 7] = [120, 400, 1100, 2300, 3600, 5200, 8000];

/// Time in which faults begin.
pub const FAULTS_UNTIL_MS: Millis = 9000;

/// `Fate` is what happens to a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It arrives this much later. Its sender may have given it up.
    Held(Millis),
    /// It is lost.
    Lost,
    /// It arrives, and once more this much later.
    Repeated(Millis),
}

/// `MessageFault` is a fault of some messages of one kind to or from one worker
/// or host.
#[derive(Clone, Copy, Debug)]
pub struct MessageFault {
    /// Kind of the messages.
    pub kind: MessageKind,
    /// Index of the worker, or of the host if no worker takes part.
    pub node: usize,
    /// Time from which messages are affected.
    pub from_ms: Millis,
    /// Number of messages that are affected.
    pub count: u32,
    /// What happens to them.
    pub fate: Fate,
}

/// `NodeFault` is a fault of a worker or an entry host.
#[derive(Clone, Copy, Debug)]
pub enum NodeFault {
    /// The worker drains, leaves, and starts again under its id after a time.
    Leave { worker: usize, down_ms: Millis },
    /// The worker crashes, and starts again under its id after a time.
    Crash { worker: usize, down_ms: Millis },
    /// The worker has another capacity from now on, in percent.
    Resize { worker: usize, percent: u32 },
    /// The host is killed, and starts again after a time.
    Kill { host: usize, down_ms: Millis },
    /// The host stands still.
    Freeze { host: usize, for_ms: Millis },
    /// The host drains and then starts again.
    Restart { host: usize },
    /// The connections of the host's callers are reset.
    ResetCallers { host: usize },
}

/// `Schedule` is the input of one run of the model.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed of the load and of the usual delays.
    pub seed: u64,
    /// Faults of messages.
    pub messages: Vec<MessageFault>,
    /// Faults of nodes, with their times.
    pub nodes: Vec<(Millis, NodeFault)>,
}

impl Schedule {
    /// Whether a fault disturbs an entry host or the path between two, so that
    /// rules that hold for undisturbed hosts only are not checked.
    pub fn disturbs_hosts(&self) -> bool {
        let node = |(_, fault): &(Millis, NodeFault)| {
            matches!(
                fault,
                NodeFault::Kill { .. }
                    | NodeFault::Freeze { .. }
                    | NodeFault::ResetCallers { .. }
                    | NodeFault::Restart { .. }
            )
        };
        let message =
            |fault: &MessageFault| matches!(fault.kind, MessageKind::Batch | MessageKind::Relayed);
        self.nodes.iter().any(node) || self.messages.iter().any(message)
    }
}

fn delay() -> impl Strategy<Value = Millis> {
    prop::sample::select(DELAYS_MS.to_vec())
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => delay().prop_map(Fate::Held),
        2 => Just(Fate::Lost),
        1 => delay().prop_map(Fate::Repeated),
    ]
}

fn message_fault() -> impl Strategy<Value = MessageFault> {
    let kind = prop::sample::select(MessageKind::ALL.to_vec());
    let parts = (kind, 0..4_usize, 0..FAULTS_UNTIL_MS, 1..12_u32, fate());
    parts.prop_map(|(kind, node, from_ms, count, fate)| MessageFault {
        kind,
        node,
        from_ms,
        count,
        fate,
    })
}

fn node_fault() -> impl Strategy<Value = NodeFault> {
    let down = 300..4000_u64;
    prop_oneof![
        4 => (0..4_usize, down.clone())
            .prop_map(|(worker, down_ms)| NodeFault::Leave { worker, down_ms }),
        2 => (0..4_usize, down.clone())
            .prop_map(|(worker, down_ms)| NodeFault::Crash { worker, down_ms }),
        1 => (0..4_usize, 45..100_u32)
            .prop_map(|(worker, percent)| NodeFault::Resize { worker, percent }),
        1 => (0..3_usize, down).prop_map(|(host, down_ms)| NodeFault::Kill { host, down_ms }),
        1 => (0..3_usize, 200..4000_u64)
            .prop_map(|(host, for_ms)| NodeFault::Freeze { host, for_ms }),
        1 => (0..3_usize).prop_map(|host| NodeFault::Restart { host }),
    ]
}

/// Generates schedules. Shrinking removes faults and moves them to the start.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    let messages = vec(message_fault(), 0..5);
    let nodes = vec((0..FAULTS_UNTIL_MS, node_fault()), 0..3);
    (any::<u64>(), messages, nodes).prop_map(|(seed, messages, nodes)| Schedule {
        seed,
        messages,
        nodes,
    })
}

/// Generates schedules in which hosts stand still and the connections of their callers
/// are reset. Most hosts run again shortly after these callers have sent their jobs to
/// another one.
pub fn schedules_with_resets() -> impl Strategy<Value = Schedule> {
    let wakes_after = prop_oneof![3 => 1300..1500_u64, 1 => 100..2500_u64];
    let parts = (0..3_usize, 0..FAULTS_UNTIL_MS, 0..400_u64, wakes_after);
    let reset = parts.prop_map(|(host, at, reset_after, wakes_after)| {
        let for_ms = reset_after + wakes_after;
        let freeze = (at, NodeFault::Freeze { host, for_ms });
        let reset = (at + reset_after, NodeFault::ResetCallers { host });
        [freeze, reset]
    });
    (schedules(), vec(reset, 1..4)).prop_map(|(mut schedule, resets)| {
        schedule.nodes.extend(resets.into_iter().flatten());
        schedule
    })
}
