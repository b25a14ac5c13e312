//! Clients that run concurrent changes and reads and record their history.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hornbeam_control::{
    ChangeResult, ClaimCommand, ClaimResult, Command, CommandResult, ProposalOutcome, ReplicaInput,
};
use hornbeam_core::ids::ReplicaId;
use rand::Rng;
use todc_utils::linearizability::history::Action;
use todc_utils::specifications::Specification;

use super::change_command;
use super::cluster::{Answer, Cluster};

/// Number of attempts after which a client gives up with an unknown outcome.
const MAX_ATTEMPTS: u32 = 4;

/// Time after which a client sends a request again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// An operation of a history. `None` is an answer that is not known.
#[derive(Clone, Debug)]
pub enum Operation {
    Change {
        expected_version: u64,
        change_id: String,
        answer: Option<ChangeResult>,
    },
    /// Version that was read and the id of the change that created it.
    Read(Option<(u64, String)>),
}

/// Specification of the configuration: a register with compare-and-swap on its
/// version.
pub struct ConfigurationRegister;

impl Specification for ConfigurationRegister {
    type State = (u64, String);
    type Operation = Operation;

    fn init() -> Self::State {
        (0, String::new())
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        let (version, winner) = state;
        let unchanged = state.clone();
        match operation {
            Operation::Read(None) => (true, unchanged),
            Operation::Read(Some(seen)) => (seen == state, unchanged),
            Operation::Change {
                expected_version,
                change_id,
                answer,
            } => {
                let is_accepted = expected_version == version;
                let next = (version + 1, change_id.clone());
                match answer {
                    None if is_accepted => (true, next),
                    None => (true, unchanged),
                    Some(ChangeResult::Accepted(made)) if is_accepted && *made == next.0 => {
                        (true, next)
                    }
                    Some(ChangeResult::Conflict {
                        current_version,
                        winner_change_id,
                        ..
                    }) => {
                        let is_named = (current_version, winner_change_id) == (version, winner);
                        (!is_accepted && is_named, unchanged)
                    }
                    Some(ChangeResult::Accepted(_)) => (false, unchanged),
                }
            }
        }
    }
}

/// Gets the id of the change in force according to an answer.
fn reported_change(action: &(usize, Action<Operation>)) -> Option<String> {
    let Action::Response(operation) = &action.1 else {
        return None;
    };
    match operation {
        Operation::Read(Some((_, change_id))) => Some(change_id.clone()),
        Operation::Change { answer, .. } => match answer {
            Some(ChangeResult::Conflict {
                winner_change_id, ..
            }) => Some(winner_change_id.clone()),
            _ => None,
        },
        Operation::Read(None) => None,
    }
}

#[derive(Debug)]
struct Client {
    process: usize,
    seen_version: u64,
    pending: Option<Pending>,
}

#[derive(Debug)]
struct Pending {
    operation: Operation,
    request: u64,
    deadline: Duration,
    attempts: u32,
}

#[derive(Debug, Default)]
pub struct Clients {
    clients: Vec<Client>,
    processes: usize,
    requests: u64,
    changes: u64,
    /// Change id of each proposal, answered or not.
    proposals: BTreeMap<u64, String>,
    claims: BTreeMap<u64, (String, String)>,
    /// First observed result of each change.
    pub results: BTreeMap<String, ChangeResult>,
    /// Token that holds each claim.
    pub claimed: BTreeMap<String, String>,
    pub history: Vec<(usize, Action<Operation>)>,
    /// Operations with an unknown outcome, which end after all others.
    unknown: Vec<(usize, Operation)>,
    /// Number of answers to repeated changes.
    pub repeated: u64,
}

impl Clients {
    pub fn new(count: usize) -> Self {
        let clients = (0..count).map(|process| Client {
            process,
            seen_version: 0,
            pending: None,
        });
        Self {
            clients: clients.collect(),
            processes: count,
            ..Self::default()
        }
    }

    /// Processes answers, repeats requests that timed out and starts operations.
    pub fn drive(&mut self, cluster: &mut Cluster, lost_answers: f64) {
        for (host, answer) in std::mem::take(&mut cluster.answers) {
            let is_lost = cluster.rng.random_bool(lost_answers);
            match answer {
                Answer::Proposal(request, outcome) => self.on_proposal(request, outcome, is_lost),
                Answer::Read(request, true) if !is_lost => self.on_read(cluster, host, request),
                Answer::Read(..) => {}
            }
        }
        for position in 0..self.clients.len() {
            self.drive_client(position, cluster);
        }
    }

    /// Proposes a claim that competes with others for the same request.
    pub fn claim(&mut self, cluster: &mut Cluster) {
        self.requests += 1;
        let key = format!("r{}", self.requests / 3);
        let token = format!("job{}", self.requests);
        self.claims
            .insert(self.requests, (key.clone(), token.clone()));
        let command = Command::Claim(ClaimCommand {
            key,
            token,
            valid_until_unix_ms: u64::MAX / 2,
            now_unix_ms: cluster.now.as_millis() as u64,
        });
        let Some(leader) = cluster.leader() else {
            return;
        };
        let input = ReplicaInput::Propose(self.requests, command);
        cluster.step(leader, input);
    }

    /// Ends the history. An operation without an answer stays concurrent with all
    /// later ones, unless it is a read or a change that no answer mentions.
    ///
    /// A client only expects versions whose change id it received, so nothing can
    /// depend on a change that no answer mentions. Leaving such a change out loses
    /// nothing and keeps the search short.
    pub fn finish(mut self) -> Vec<(usize, Action<Operation>)> {
        for client in &mut self.clients {
            if let Some(pending) = client.pending.take() {
                self.unknown.push((client.process, pending.operation));
            }
        }
        let reported: BTreeSet<String> = self.history.iter().filter_map(reported_change).collect();
        for (process, operation) in std::mem::take(&mut self.unknown) {
            match &operation {
                Operation::Change { change_id, .. } if reported.contains(change_id) => {
                    self.history.push((process, Action::Response(operation)));
                }
                _ => {
                    let call = self.history.iter().rposition(|(by, _)| *by == process);
                    self.history.remove(call.expect("it was called"));
                }
            }
        }
        self.history
    }

    fn on_proposal(&mut self, request: u64, outcome: ProposalOutcome, is_lost: bool) {
        let ProposalOutcome::Applied(result) = outcome else {
            return;
        };
        match result {
            CommandResult::Change(result) => self.on_result(request, result, is_lost),
            CommandResult::Claim(ClaimResult::Recorded) => {
                let (id, token) = self.claims[&request].clone();
                let holder = self.claimed.entry(id).or_insert_with(|| token.clone());
                assert_eq!(*holder, token, "two jobs hold a claim");
            }
            _ => {}
        }
    }

    fn on_result(&mut self, request: u64, result: ChangeResult, is_lost: bool) {
        let change_id = self.proposals[&request].clone();
        if let Some(first) = self.results.get(&change_id) {
            assert_eq!(*first, result, "a repeated change got a different answer");
            self.repeated += 1;
        }
        self.results.insert(change_id, result.clone());
        let Some(client) = self.client_waiting_for(request).filter(|_| !is_lost) else {
            return;
        };
        client.seen_version = match &result {
            ChangeResult::Accepted(version) => *version,
            ChangeResult::Conflict {
                current_version, ..
            } => *current_version,
        };
        let process = client.process;
        let Some(mut pending) = client.pending.take() else {
            return;
        };
        if let Operation::Change { answer, .. } = &mut pending.operation {
            *answer = Some(result);
        }
        self.history
            .push((process, Action::Response(pending.operation)));
    }

    fn on_read(&mut self, cluster: &Cluster, host: ReplicaId, request: u64) {
        let Some(state) = cluster.replica(host).map(|replica| replica.state().clone()) else {
            return;
        };
        let Some(client) = self.client_waiting_for(request) else {
            return;
        };
        client.seen_version = state.version();
        client.pending = None;
        let seen = (state.version(), state.configuration().site.clone());
        let response = (
            client.process,
            Action::Response(Operation::Read(Some(seen))),
        );
        self.history.push(response);
    }

    fn client_waiting_for(&mut self, request: u64) -> Option<&mut Client> {
        let is_waiting = |client: &&mut Client| {
            client
                .pending
                .as_ref()
                .is_some_and(|p| p.request == request)
        };
        self.clients.iter_mut().find(is_waiting)
    }

    fn drive_client(&mut self, position: usize, cluster: &mut Cluster) {
        let now = cluster.now;
        match &mut self.clients[position].pending {
            None if cluster.rng.random_bool(0.2) => self.start(position, cluster),
            Some(pending) if pending.deadline <= now && pending.attempts < MAX_ATTEMPTS => {
                pending.attempts += 1;
                self.send(position, cluster);
            }
            Some(pending) if pending.deadline <= now => self.give_up(position),
            _ => {}
        }
    }

    fn start(&mut self, position: usize, cluster: &mut Cluster) {
        let client = &mut self.clients[position];
        let operation = if cluster.rng.random_bool(0.5) {
            Operation::Read(None)
        } else {
            self.changes += 1;
            Operation::Change {
                expected_version: client.seen_version,
                change_id: format!("c{}", self.changes),
                answer: None,
            }
        };
        self.history
            .push((client.process, Action::Call(operation.clone())));
        client.pending = Some(Pending {
            operation,
            request: 0,
            deadline: Duration::ZERO,
            attempts: 1,
        });
        self.send(position, cluster);
    }

    fn send(&mut self, position: usize, cluster: &mut Cluster) {
        self.requests += 1;
        let request = self.requests;
        let pending = self.clients[position]
            .pending
            .as_mut()
            .expect("a sending client has a pending operation");
        pending.request = request;
        pending.deadline = cluster.now + REQUEST_TIMEOUT;
        let input = match &pending.operation {
            Operation::Read(_) => ReplicaInput::Read(request),
            Operation::Change {
                expected_version,
                change_id,
                ..
            } => {
                self.proposals.insert(request, change_id.clone());
                ReplicaInput::Propose(request, change_command(*expected_version, change_id, "op"))
            }
        };
        let any = cluster.random_host();
        let target = match cluster.leader() {
            Some(leader) if cluster.rng.random_bool(0.7) => leader,
            _ => any,
        };
        cluster.send_request(target, input);
    }

    fn give_up(&mut self, position: usize) {
        let client = &mut self.clients[position];
        if let Some(pending) = client.pending.take() {
            self.unknown.push((client.process, pending.operation));
            client.process = self.processes;
            self.processes += 1;
        }
    }
}
