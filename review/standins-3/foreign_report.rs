//! A status report of another writer, whose minion has the id of one of ours.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::broken_channel::overlap;
use crate::net;
use crate::system::{Record, System, word};
use crate::worker::{Runs, Worker, report_body};

/// Service of the other writer, which no configuration here names.
const OTHER_SERVICE: &str = "billing-staging";
const TIME_BUDGET: Duration = Duration::from_millis(1500);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = System::new(3, 1, record);
    for zone in ["a", "b", "c", "a", "b"] {
        system.add(zone);
    }
    for index in 0..system.hosts.len() {
        system.start(index, true);
    }
    // The entry hosts have registered when the first minion reports.
    std::thread::sleep(Duration::from_secs(2));
    let runs = Runs::default();
    let mut workers = Vec::new();
    for index in 0..6 {
        let place = (["a", "b"][index % 2], system.worker_address(index));
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
    let entry = 3;
    // Nothing listens there; the other writer's minions are not ours to use.
    let elsewhere = system.worker_address(50);
    std::thread::scope(|scope| {
        for number in 0..4_u64 {
            let started = Instant::now();
            let system = &system;
            scope.spawn(move || submit(system, entry, number, record));
            if has_trouble {
                std::thread::sleep(Duration::from_millis(200));
                let found = runs.lock().expect("no holder panics").clone();
                let job = format!("{:016x}", 0xc000 + number);
                let run = found.iter().find(|run| run.task.starts_with(&job));
                let minion =
                    run.and_then(|run| workers.iter().find(|minion| minion.id == run.worker));
                if let Some(minion) = minion {
                    send_foreign(system, minion, elsewhere, number, record);
                }
            }
            std::thread::sleep(
                (started + Duration::from_secs(3)).saturating_duration_since(Instant::now()),
            );
        }
    });
    let found = runs.lock().expect("no holder panics").clone();
    match overlap(&found) {
        Some(what) => Verdict::Broken(what),
        None => Verdict::Held,
    }
}

/// Sends the status report of another writer to a control host, as a minion does.
fn send_foreign(
    system: &System,
    minion: &Worker,
    address: SocketAddr,
    number: u64,
    record: &Record,
) {
    let path = format!("/instances/{}/heartbeat", minion.id);
    let born = minion.born() + 1000;
    let body = report_body(
        OTHER_SERVICE,
        address,
        "a",
        "ready",
        (16000, 5000 + number),
        (1, born),
    );
    let to = system.operators(0);
    let answer = net::call(to, "POST", &path, "", &body, Duration::from_secs(1));
    let status = answer.as_ref().map_or(0, net::Message::status);
    record.write(&format!(
        "another writer reports {} of service {OTHER_SERVICE} to {to}: {}",
        minion.id,
        word(status)
    ));
}

/// Sends a job of round-plan's size: four tasks of 0.9 s on 6.8 cores.
fn submit(system: &System, to: usize, number: u64, record: &Record) {
    let path = format!("/orders/{:016x}", 0xc000 + number);
    let body = "{\"spec\":\"900\",\"bestEffort\":true,\"steps\":[{\"count\":2,\"cpu\":6800,\"memMb\":512,\"estimateMs\":900}]}";
    record.write(&format!("POST {path} to {}", system.hosts[to].name));
    let answer = net::call(
        system.callers(to),
        "POST",
        &path,
        "X-Deadline-Ms: 1500\r\n",
        body,
        TIME_BUDGET,
    );
    let status = answer.as_ref().map_or(0, net::Message::status);
    record.write(&format!("POST {path} answered: {}", word(status)));
}
