//! Idle channels to a worker go silent. The stops of a run are lost on them, while
//! polls on a channel that works keep the run alive.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::clients::{Work, job_id, submit};
use crate::late_deregistration::judge;
use crate::record::Record;
use crate::system::{SERVICE, System};
use crate::worker::{Options, Worker};

const ZONES: [&str; 3] = ["almaty-a", "almaty-b", "almaty-c"];
const WORKERS: u8 = 6;
/// Jobs of eight short tasks, as `order-check`.
const SHORT: Work = Work {
    tasks: 8,
    work_ms: 60,
    cpu: 1_000,
};
/// A job of one long task, as the longest of `round-plan`.
const LONG: Work = Work {
    tasks: 1,
    work_ms: 3_500,
    cpu: 6_800,
};

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let mut system = System::start(&ZONES, &ZONES, record);
    if !system.publish(record) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|index| {
            let options = Options {
                id: format!("i-{index}"),
                service: SERVICE.into(),
                zone: ZONES[usize::from(index) % ZONES.len()].into(),
                cpu: 16_000,
                address: system.worker_address(index),
                controls: system.control_addresses(),
                cut_control: None,
            };
            Worker::start(options, record.clone(), None)
        })
        .collect();
    if !system.wait_ready() {
        return Verdict::NotRun("an entry host did not get ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let fronts = system.front_addresses();
    let names: Vec<String> = fronts.iter().map(|at| system.name_of(*at)).collect();
    let mut number = 0;
    for _ in 0..10 {
        // Short jobs at each entry host.
        for _ in 0..fronts.len() {
            number += 1;
            let (fronts, names, record) = (fronts.clone(), names.clone(), record.clone());
            thread::spawn(move || submit(&fronts, &names, number, SHORT, &record));
            thread::sleep(Duration::from_millis(30));
        }
        thread::sleep(Duration::from_millis(200));
    }
    let mut clients = Vec::new();
    let mut tasks = Vec::new();
    for _ in 0..fronts.len() {
        number += 1;
        tasks.push(format!("{}.0.0.0", job_id(number)));
        let (fronts, names, record) = (fronts.clone(), names.clone(), record.clone());
        clients.push(thread::spawn(move || {
            submit(&fronts, &names, number, LONG, &record)
        }));
    }
    thread::sleep(Duration::from_millis(300));
    if trouble {
        let busy = workers
            .iter()
            .find(|worker| tasks.iter().any(|task| worker.runs(task)));
        let Some(worker) = busy else {
            return Verdict::NotRun("no long task has started".into());
        };
        let all: usize = workers.iter().map(Worker::channels).sum();
        record.line(format!("silent {all} channels to all workers are open"));
        let (silent, working) = worker.silence_idle_channels();
        record.line(format!(
            "silent {silent} idle channels to {} go silent, {working} work",
            worker.id()
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    if !system.all_run() {
        return Verdict::NotRun("a process ended by itself".into());
    }
    judge(&record.runs())
}
