//! Property test of borrowing unused quota between entry hosts.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{Host, announcement, batches, configuration, finished, request};
use hornbeam_dispatch::{
    DispatchInput, DispatchOptions, DispatchOutput, ExchangeOutcome, PeerStatus,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 5;
const STATUS_INTERVAL_MS: u64 = 250;
const PEER_TIMEOUT_MS: u64 = 1_000;
const LONGEST_TASK_MS: u64 = 400;
/// Timeout of jobs; below [`SETTLE_MS`], so that no job outlives that phase.
const JOB_TIMEOUT_MS: u64 = 1_500;
/// Time after which every status has arrived, lost peers no longer count and
/// running tasks have ended.
const SETTLE_MS: u64 = 2 * PEER_TIMEOUT_MS + STATUS_INTERVAL_MS + LONGEST_TASK_MS;

/// `ReceivedStatus` is the team's part of a peer's last status, and its arrival
/// time.
#[derive(Clone, Copy, Debug, Default)]
struct ReceivedStatus {
    sequence: u64,
    slots: u32,
    at_ms: Option<u64>,
}

/// `Cluster` simulates several hosts with one team. Status messages may be lost,
/// delayed or duplicated, and hosts may be partitioned or stopped.
struct Cluster {
    now_ms: u64,
    quota_slots: u32,
    hosts: Vec<Host>,
    rng: ChaCha8Rng,
    faults_per_mille: u32,
    /// Hosts on one side of a network partition. Hosts on the same side reach
    /// each other.
    partition: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
    used: Vec<u32>,
    /// Maximum slots that a host used in the last phase.
    peak: u32,
    /// Slots that each host reserves according to its own last status.
    reserved: Vec<u32>,
    received: Vec<Vec<ReceivedStatus>>,
    statuses: BTreeMap<(u64, u64), (usize, PeerStatus)>,
    ends: BTreeMap<(u64, u64), (usize, DispatchInput)>,
    sequence: u64,
}

impl Cluster {
    fn new(hosts: usize, quota_slots: u32, faults_per_mille: u32, seed: u64) -> Self {
        let host = |index| Self::host(index, hosts, quota_slots);
        Self {
            now_ms: 0,
            quota_slots,
            hosts: (0..hosts).map(host).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults_per_mille,
            partition: BTreeSet::new(),
            stopped: BTreeSet::new(),
            used: vec![0; hosts],
            peak: 0,
            reserved: vec![Self::share(hosts, quota_slots).div_ceil(2); hosts],
            received: vec![vec![ReceivedStatus::default(); hosts]; hosts],
            statuses: BTreeMap::new(),
            ends: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn host(index: usize, hosts: usize, quota_slots: u32) -> Host {
        let mut configuration = configuration();
        configuration.entry_hosts = u32::try_from(hosts).unwrap();
        let institution = configuration.institutions.get_mut("dala").unwrap();
        institution.max_queue_ms = 60_000;
        institution.teams.get_mut("feeding").unwrap().quota_slots = quota_slots;
        let options = DispatchOptions {
            host_id: format!("e{index}"),
            lease: Duration::from_secs(1_000),
            ..DispatchOptions::default()
        };
        let mut host = Host::new(options, configuration);
        let mut server = announcement(&format!("s{index}"));
        server.slots = 1_000;
        server.max_connections = 1_000;
        server.cpu_milli = u32::MAX;
        server.memory_mib = u32::MAX;
        host.announce(server);
        host
    }

    fn share(hosts: usize, quota_slots: u32) -> u32 {
        quota_slots.div_ceil(u32::try_from(hosts).unwrap())
    }

    /// Gets the maximum limit of one host among `live` hosts that reach each
    /// other.
    fn max_slots(&self, live: usize) -> u32 {
        let share = Self::share(self.hosts.len(), self.quota_slots);
        let live = u32::try_from(live).unwrap();
        live * share - (live - 1) * share.div_ceil(2)
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        let up = |host| !self.stopped.contains(&host);
        up(a) && up(b) && self.partition.contains(&a) == self.partition.contains(&b)
    }

    fn chance(&mut self) -> bool {
        self.rng.random_range(0..1_000) < self.faults_per_mille
    }

    fn step(&mut self, host: usize, input: DispatchInput) {
        self.hosts[host].now_ms = self.now_ms;
        let outputs = self.hosts[host].step(input);
        let server_id = format!("s{host}");
        for sent in batches(&outputs) {
            self.used[host] += u32::try_from(sent.batch.tasks.len()).unwrap();
            self.sequence += 1;
            let run_ms = self.rng.random_range(50..=LONGEST_TASK_MS);
            let outcome = ExchangeOutcome::Answered(finished(&server_id, &sent.batch));
            let input = DispatchInput::ExchangeEnded(sent.exchange, outcome);
            self.ends
                .insert((self.now_ms + run_ms, self.sequence), (host, input));
        }
        self.peak = self.peak.max(self.used[host]);
        let reserved = self.reserved[host];
        if outputs.contains(&DispatchOutput::SendStatus) {
            self.send_status(host);
        }
        if self.reserved[host] > reserved {
            self.check_raise(host);
        }
        assert!(
            self.used[host] <= self.reserved[host],
            "e{host} exceeds its limit"
        );
    }

    fn send_status(&mut self, from: usize) {
        let now = Duration::from_millis(self.now_ms);
        let status = self.hosts[from].dispatcher.peer_status(now);
        self.reserved[from] = self.slots_of(&status);
        for to in 0..self.hosts.len() {
            let copies = match (self.chance(), self.chance()) {
                (true, _) => 0,
                (_, true) => 2,
                _ => 1,
            };
            for _ in 0..copies {
                let late = self.chance();
                let delay_ms = self.rng.random_range(1..if late { 700 } else { 4 });
                self.sequence += 1;
                let key = (self.now_ms + delay_ms, self.sequence);
                if from != to && self.connected(from, to) {
                    self.statuses.insert(key, (to, status.clone()));
                }
            }
        }
    }

    fn slots_of(&self, status: &PeerStatus) -> u32 {
        let limit = status
            .team_limits
            .iter()
            .find(|limit| limit.team == "feeding");
        let half = Self::share(self.hosts.len(), self.quota_slots).div_ceil(2);
        limit.map_or(half, |limit| limit.limit_slots)
    }

    fn deliver(&mut self, to: usize, status: PeerStatus) {
        let from: usize = status.host_id[1..].parse().unwrap();
        if !self.connected(from, to) {
            return;
        }
        let slots = self.slots_of(&status);
        let live = self.is_live(to, from);
        let received = &mut self.received[to][from];
        if !live || received.sequence < status.sequence {
            *received = ReceivedStatus {
                sequence: status.sequence,
                slots,
                at_ms: Some(self.now_ms),
            };
        }
        self.step(to, DispatchInput::PeerStatusReceived(status));
    }

    fn is_live(&self, host: usize, peer: usize) -> bool {
        let at_ms = self.received[host][peer].at_ms;
        at_ms.is_some_and(|at_ms| self.now_ms < at_ms + PEER_TIMEOUT_MS)
    }

    /// Checks the bounds of a raise. Together, this host and its live peers
    /// reserve at most their shares plus what the peers have raised since their
    /// last statuses that arrived here. The host itself reserves at most the
    /// shares minus the slots that the others never lend.
    fn check_raise(&self, host: usize) {
        let peers = (0..self.hosts.len()).filter(|peer| *peer != host);
        let live: Vec<usize> = peers.filter(|peer| self.is_live(host, *peer)).collect();
        let unreceived = |peer: &usize| {
            let slots = self.received[host][*peer].slots;
            self.reserved[*peer].saturating_sub(slots)
        };
        let share = Self::share(self.hosts.len(), self.quota_slots);
        let shares = share * u32::try_from(live.len() + 1).unwrap();
        let reserved: u32 = live.iter().map(|peer| self.reserved[*peer]).sum();
        let unreceived: u32 = live.iter().map(unreceived).sum();
        assert!(
            self.reserved[host] + reserved <= shares + unreceived,
            "{} ms: e{host} raised to {}, peers {reserved} of {shares}, unreceived {unreceived}",
            self.now_ms,
            self.reserved[host],
        );
        assert!(self.reserved[host] <= self.max_slots(live.len() + 1));
    }

    /// Runs with jobs at a single host until the limits have settled, and then
    /// measures how many slots that host gets.
    fn run_single_demand(&mut self, host: usize) {
        self.run(SETTLE_MS, &[host], 60);
        self.peak = 0;
        self.run(LONGEST_TASK_MS, &[host], 60);
    }

    /// Runs for some time while the hosts in `demand` submit jobs.
    fn run(&mut self, for_ms: u64, demand: &[usize], tasks: usize) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            while let Some(entry) = self.ends.first_entry().filter(|e| e.key().0 <= self.now_ms) {
                let (host, input) = entry.remove();
                self.used[host] -= 1;
                if !self.stopped.contains(&host) {
                    self.step(host, input);
                }
            }
            while let Some(entry) = self
                .statuses
                .first_entry()
                .filter(|e| e.key().0 <= self.now_ms)
            {
                let (to, status) = entry.remove();
                self.deliver(to, status);
            }
            for host in 0..self.hosts.len() {
                if self.stopped.contains(&host) {
                    continue;
                }
                self.step(host, DispatchInput::Tick);
                if self.now_ms % STATUS_INTERVAL_MS == (host as u64 * 30) / STEP_MS * STEP_MS {
                    self.send_status(host);
                }
                if demand.contains(&host) && self.rng.random_range(0..10) < 3 {
                    self.submit(host, tasks);
                }
            }
        }
    }

    fn submit(&mut self, host: usize, tasks: usize) {
        self.sequence += 1;
        let id = format!("j{}", self.sequence);
        let mut request = request(&id, self.rng.random_range(1..=tasks));
        request.timeout_ms = JOB_TIMEOUT_MS;
        self.step(host, DispatchInput::Submitted(id, request.into()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against exceeding a quota by more than the raises that peers have
    /// not received yet, while statuses are lost, late or duplicated, hosts stop
    /// and a partition lasts. Also guards against borrowing across a partition,
    /// and against idle quota that a single busy host cannot use.
    #[test]
    fn borrowed_quota_is_bounded(
        hosts in 2_usize..9,
        quota_slots in 8_u32..400,
        faults_per_mille in prop_oneof![Just(0_u32), 1_u32..400],
        partition_size in 1_usize..8,
        seed: u64,
    ) {
        let partition_size = partition_size.min(hosts - 1);
        let everyone: Vec<usize> = (0..hosts).collect();
        let mut cluster = Cluster::new(hosts, quota_slots, faults_per_mille, seed);
        cluster.run(1_500, &everyone, 20);
        cluster.partition = (0..partition_size).collect();
        cluster.run(1_500, &everyone, 20);
        cluster.faults_per_mille = 0;
        cluster.run_single_demand(0);
        prop_assert_eq!(cluster.peak, cluster.max_slots(partition_size));
        cluster.partition.clear();
        cluster.run_single_demand(0);
        prop_assert_eq!(cluster.peak, cluster.max_slots(hosts));
        let reserved: u32 = cluster.reserved.iter().sum();
        prop_assert!(reserved <= Cluster::share(hosts, quota_slots) * u32::try_from(hosts).unwrap());
        cluster.stopped.insert(0);
        cluster.run_single_demand(1);
        prop_assert_eq!(cluster.peak, cluster.max_slots(hosts - 1));
    }
}
