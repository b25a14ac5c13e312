//! The end of a run that was meant for a former process of an entry host.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::broken_channel::overlap;
use crate::net::{self, SIGCONT, SIGSTOP};
use crate::system::{Record, System, word};
use crate::worker::{Run, Runs, Worker, holder, low_bits};

/// Time budget of the client (`X-Deadline-Ms`).
const TIME_BUDGET: Duration = Duration::from_millis(1500);
/// Time after which a client sends a job again (`retransmitMs`).
const RETRANSMIT: Duration = Duration::from_millis(1300);
/// Time after which one of the two tasks fails, by its own fault.
const FAILURE: Duration = Duration::from_millis(300);
/// Time after the request at which the host that took it is killed.
const KILL: Duration = Duration::from_millis(285);
/// Time after the kill at which the other host stands still.
const FREEZE_AFTER: Duration = Duration::from_millis(150);
/// Time after its end at which a killed process is started again.
const RESTART_AFTER: Duration = Duration::from_millis(900);
/// Time after the second request at which the frozen host wakes.
const WAKE_AFTER: Duration = Duration::from_millis(100);
const ROUNDS: u64 = 6;
const PAUSE: Duration = Duration::from_secs(6);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = System::new(3, 1, record);
    // One of ten entry hosts is killed, and one stands still.
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
    for (index, zone) in ["a", "b", "c", "b", "c", "b"].into_iter().enumerate() {
        let place = (zone, system.worker_address(index));
        workers.push(Worker::start(
            index,
            place,
            (16000, 6800),
            system.all_operators(),
            &runs,
            record,
        ));
    }
    if !system.publish(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the configuration was not acknowledged".into());
    }
    std::thread::sleep(Duration::from_secs(4));
    for round in 1..=ROUNDS {
        let Some((taker, helper)) = hosts_of_zone_a(&system, &workers[0]) else {
            return Verdict::CouldNotRun("no entry host of zone a holds its minion".into());
        };
        let job = format!("{:016x}", 0xd000 + round);
        if has_trouble {
            lose_host(&mut system, (taker, helper), &job, &workers[0], record);
        } else {
            submit(&system, taker, &job, record);
        }
        std::thread::sleep(PAUSE);
        if let Some(what) = overlap(&all(&runs)) {
            return Verdict::Broken(what);
        }
    }
    Verdict::Held
}

/// Gets the entry host of zone a without minions, and the one that holds the minion.
fn hosts_of_zone_a(system: &System, minion: &Arc<Worker>) -> Option<(usize, usize)> {
    let bits = holder(minion.fence());
    let helper = [3, 4]
        .into_iter()
        .find(|host| low_bits(&system.hosts[*host].ip) == bits)?;
    Some((7 - helper, helper))
}

fn all(runs: &Runs) -> Vec<Run> {
    runs.lock().expect("no holder panics").clone()
}

/// Kills the host that took a job, and starts it again, while the host that ran its
/// tasks stands still.
fn lose_host(
    system: &mut System,
    (taker, helper): (usize, usize),
    job: &str,
    minion: &Worker,
    record: &Record,
) {
    std::thread::scope(|scope| {
        let to = system.callers(taker);
        let name = system.hosts[taker].name.clone();
        minion.fail_next_after(FAILURE);
        let sent_at = Instant::now();
        // The client sends its job once more, to the same host.
        let client = scope.spawn(move || {
            if post(to, &name, job, record) == 0 {
                sleep_until(Instant::now() + RETRANSMIT);
                post(to, &name, job, record);
            }
        });
        sleep_until(sent_at + KILL);
        system.kill(taker);
        let killed_at = Instant::now();
        sleep_until(killed_at + FREEZE_AFTER);
        system.signal(helper, SIGSTOP);
        record.write(&format!("{} stands still", system.hosts[helper].name));
        sleep_until(killed_at + RESTART_AFTER);
        system.start(taker, false);
        sleep_until(killed_at + RETRANSMIT + WAKE_AFTER);
        record.write(&format!("{} wakes", system.hosts[helper].name));
        system.signal(helper, SIGCONT);
        let _ = client.join();
    });
}

fn submit(system: &System, to: usize, job: &str, record: &Record) -> u16 {
    post(system.callers(to), &system.hosts[to].name, job, record)
}

/// Sends a job of two tasks of 0.9 s on 6.8 cores, as those of round-plan are.
fn post(to: std::net::SocketAddr, name: &str, job: &str, record: &Record) -> u16 {
    let path = format!("/orders/{job}");
    let body = "{\"spec\":\"900\",\"bestEffort\":true,\"steps\":[{\"count\":2,\"cpu\":6800,\"memMb\":512,\"estimateMs\":900}]}";
    record.write(&format!("POST {path} to {name}"));
    let headers = format!("X-Deadline-Ms: {}\r\n", TIME_BUDGET.as_millis());
    let answer = net::call(to, "POST", &path, &headers, body, TIME_BUDGET);
    let status = answer.as_ref().map_or(0, net::Message::status);
    record.write(&format!("POST {path} answered by {name}: {}", word(status)));
    status
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
