//! A minion that says that it drains to a host which cannot reach it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{self, SIGCONT, SIGSTOP};
use crate::system::{Record, System, word};
use crate::worker::{Runs, Worker, holder, low_bits};

/// `drainMs` and `contactMs` of the deployment.
const DRAIN_MS: u64 = 2000;
const CONTACT_MS: u64 = 3000;
/// Length of the freeze of one entry host.
const FREEZE: Duration = Duration::from_millis(1300);
/// The cut of the minion from one entry host, from the start of the freeze.
const CUT_AFTER: Duration = Duration::from_millis(900);
const CUT: Duration = Duration::from_millis(5000);
const JOB_INTERVAL: Duration = Duration::from_millis(40);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = System::new(3, 1, record);
    // One of ten entry hosts stands still, and another one is cut from a minion.
    for zone in [
        "a", "b", "c", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c",
    ] {
        system.add(zone);
    }
    for index in 0..system.hosts.len() {
        system.start(index, true);
    }
    // The entry hosts have registered when the first minion reports.
    std::thread::sleep(Duration::from_secs(2));
    let runs = Runs::default();
    let mut workers = Vec::new();
    // One of twelve minions leaves.
    for index in 0..12 {
        let zone = if index < 7 { "a" } else { "b" };
        let place = (zone, system.worker_address(index));
        workers.push(Worker::start(
            index,
            place,
            (16000, 6800),
            system.all_operators(),
            &runs,
            record,
        ));
        std::thread::sleep(Duration::from_millis(300));
    }
    if !system.publish(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the configuration was not acknowledged".into());
    }
    std::thread::sleep(Duration::from_secs(4));
    let Some((owner, other, minion)) = choose(&system, &workers) else {
        return Verdict::CouldNotRun(
            "no entry host of zone a has more minions than the other".into(),
        );
    };
    let owner_bits = low_bits(&system.hosts[owner].ip);
    record.write(&format!(
        "{} is held by {}",
        minion.id, system.hosts[owner].name
    ));
    let jobs = AtomicU64::new(0);
    let start = Instant::now();
    let mut woke_ms = 0;
    std::thread::scope(|scope| {
        if has_trouble {
            minion.report_after(Duration::from_millis(60));
            system.signal(owner, SIGSTOP);
            record.write(&format!("{} stands still", system.hosts[owner].name));
            sleep_until(start + CUT_AFTER);
            minion.cut_from(&[system.hosts[other].ip.clone()]);
            record.write(&format!(
                "{} is cut from {}",
                minion.id, system.hosts[other].name
            ));
            sleep_until(start + FREEZE);
            system.signal(owner, SIGCONT);
            woke_ms = record.ms();
            record.write(&format!("{} wakes", system.hosts[owner].name));
        }
        sleep_until(start + FREEZE + Duration::from_millis(100));
        minion.drain();
        record.write(&format!("{} begins to drain", minion.id));
        while start.elapsed() < CUT_AFTER + CUT {
            scope.spawn(|| submit(&system, owner, jobs.fetch_add(1, Ordering::Relaxed), record));
            std::thread::sleep(JOB_INTERVAL);
        }
        minion.cut_from(&[]);
        record.write("the cut is over");
    });
    std::thread::sleep(Duration::from_secs(1));
    let acks = minion.drain_acks.lock().expect("no holder panics").clone();
    let Some(acked_ms) = acks.first().copied() else {
        return Verdict::CouldNotRun("the drain was not acknowledged".into());
    };
    let first_ms = (acked_ms + DRAIN_MS).max(woke_ms + CONTACT_MS);
    let found = runs.lock().expect("no holder panics").clone();
    let late = found.iter().filter(|run| {
        run.worker == minion.id && run.started_ms > first_ms && holder(run.fence) == owner_bits
    });
    let late: Vec<_> = late.collect();
    match late.first() {
        None => Verdict::Held,
        Some(run) => Verdict::Broken(format!(
            "{} said that it drains, which was acknowledged at {acked_ms} ms; {} of {} started {} there at {} ms, and {} tasks in all later than {first_ms} ms",
            minion.id,
            run.task,
            system.hosts[owner].name,
            run.attempt,
            run.started_ms,
            late.len()
        )),
    }
}

/// Chooses the entry host of zone a with the most minions, the other one, and a minion
/// of the first.
fn choose(system: &System, workers: &[Arc<Worker>]) -> Option<(usize, usize, Arc<Worker>)> {
    let held = |host: usize| -> Vec<Arc<Worker>> {
        let bits = low_bits(&system.hosts[host].ip);
        let held = workers
            .iter()
            .filter(|worker| holder(worker.fence()) == bits);
        held.cloned().collect()
    };
    let (one, two) = (held(3), held(4));
    match one.len().cmp(&two.len()) {
        std::cmp::Ordering::Greater => Some((3, 4, one.first()?.clone())),
        std::cmp::Ordering::Less => Some((4, 3, two.first()?.clone())),
        std::cmp::Ordering::Equal => None,
    }
}

/// Sends a job of price-quote's size: two tasks of 0.2 s on 6.8 cores.
fn submit(system: &System, to: usize, number: u64, record: &Record) {
    let path = format!("/orders/{:016x}", 0xb000 + number);
    let body = "{\"spec\":\"200\",\"bestEffort\":true,\"steps\":[{\"count\":2,\"cpu\":6800,\"memMb\":512,\"estimateMs\":200}]}";
    record.write(&format!("POST {path} to {}", system.hosts[to].name));
    let budget = Duration::from_millis(1500);
    let answer = net::call(
        system.callers(to),
        "POST",
        &path,
        "X-Deadline-Ms: 1500\r\n",
        body,
        budget,
    );
    let status = answer.as_ref().map_or(0, net::Message::status);
    record.write(&format!("POST {path} answered: {}", word(status)));
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
