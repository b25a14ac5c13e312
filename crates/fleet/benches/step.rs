//! Benchmarks of a fleet entry host by the number of hosts of the site: the
//! steps of a job, and a second without work; and of a step by the number of
//! waiting jobs.

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use common::{Harness, OWN_HOST, run};
use criterion::{BenchmarkId, Criterion};
use hornbeam_fleet::{FleetInput, FleetOutput, PeerInfo, RunEnd};

/// Numbers of entry hosts, from the present site to four times as many.
const HOSTS: [u16; 3] = [30, 150, 600];

/// Numbers of jobs that wait for free resources.
const WAITING_JOBS: [u64; 3] = [0, 30, 300];

const DOMAINS: u16 = 6;
const WORKERS: u64 = 8;

fn site(hosts: u16) -> Vec<PeerInfo> {
    let info = |host: u16| {
        let [high, low] = host.to_be_bytes();
        PeerInfo {
            host_id: format!("entry-{host}"),
            address: SocketAddr::from(([10, 1, high, low], 7000)),
            failure_domain: format!("d{}", host % DOMAINS),
        }
    };
    (1..=hosts).map(info).collect()
}

/// `Bench` drives a host whose workers and peers answer at once.
struct Bench {
    harness: Harness,
    site: Vec<PeerInfo>,
    sequence: u64,
    next_job: u64,
}

impl Bench {
    fn new(hosts: u16) -> Self {
        let mut harness = Harness::in_domain(OWN_HOST, "d1");
        let site = site(hosts);
        harness.step(FleetInput::Peers(site.clone()));
        for worker in 0..WORKERS {
            harness.add_worker(&format!("w{worker}"));
        }
        let mut bench = Self {
            harness,
            site,
            sequence: 0,
            next_job: 0,
        };
        bench.run_idle_second();
        bench
    }

    /// Answers everything that is sent.
    fn answer_outputs(&mut self) {
        for output in std::mem::take(&mut self.harness.outputs) {
            match output {
                FleetOutput::SendBatch(host, _, _, _) => {
                    self.harness.step(FleetInput::BatchEnded(host, true));
                }
                FleetOutput::Start(request) => self.harness.accept_start(&request),
                output => {
                    black_box(output);
                }
            }
        }
    }

    /// Runs a job of one task.
    fn run_job(&mut self) {
        self.next_job += 1;
        self.harness.submit(self.next_job, 1);
        let request = self.harness.starts().remove(0);
        self.harness.accept_start(&request);
        self.harness.polls();
        self.sequence += 1;
        let ended = [(
            self.sequence,
            run(self.next_job, 0, request.run.attempt),
            RunEnd::Done,
        )];
        let worker = request.target.worker_key;
        self.harness.answer_poll(worker, &[], &ended);
        self.answer_outputs();
    }

    /// Lets a second pass in ticks of 10 ms, at the start of which the hosts are
    /// listed again.
    fn run_idle_second(&mut self) {
        let site = self.site.clone();
        self.harness.step(FleetInput::Peers(site));
        for _ in 0..100 {
            self.harness.advance_at_once(10);
            self.answer_outputs();
        }
    }
}

fn bench_hosts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("hosts");
    for hosts in HOSTS {
        let mut bench = Bench::new(hosts);
        group.bench_function(BenchmarkId::new("job", hosts), |bencher| {
            bencher.iter(|| bench.run_job());
        });
        let mut bench = Bench::new(hosts);
        group.bench_function(BenchmarkId::new("idle_second", hosts), |bencher| {
            bencher.iter(|| bench.run_idle_second());
        });
    }
    group.finish();
}

fn bench_waiting(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("waiting");
    for waiting in WAITING_JOBS {
        let mut bench = Bench::new(HOSTS[1]);
        for job in 0..2 * WORKERS + waiting {
            bench.harness.submit(1_000_000 + job, 1);
        }
        bench.answer_outputs();
        group.bench_function(BenchmarkId::new("tick", waiting), |bencher| {
            bencher.iter(|| {
                bench.harness.step(FleetInput::Tick);
                bench.harness.outputs.clear();
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(500))
        .configure_from_args();
    bench_hosts(&mut criterion);
    bench_waiting(&mut criterion);
    criterion.final_summary();
}
