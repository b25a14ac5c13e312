//! A partition holds up the first status report of a worker, which arrives after
//! the worker's drain has been acknowledged.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::clients::{Load, Work};
use crate::record::Record;
use crate::system::{SERVICE, System};
use crate::worker::{CutControl, Options, Worker};

const CONTROL_ZONES: [&str; 4] = ["almaty-a", "almaty-b", "almaty-c", "almaty-d"];
const ENTRY_ZONES: [&str; 6] = [
    "almaty-a", "almaty-a", "almaty-b", "almaty-b", "almaty-c", "almaty-c",
];
const WORKERS: u8 = 6;
/// Length of the cut of the new worker's path to one control host.
const CUT: Duration = Duration::from_millis(4200);
/// Time from the end of the cut until TCP sends the held bytes again.
const RETRANSMISSION: Duration = Duration::from_millis(300);
/// Time after which the new worker is to leave.
const LEAVES_AFTER: Duration = Duration::from_millis(2300);
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time that the worker serves on after the ack: `drainMs` and some seconds.
const SERVES_ON: Duration = Duration::from_millis(7500);

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let mut system = System::start(&CONTROL_ZONES, &ENTRY_ZONES, record);
    if !system.publish(record) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    let controls = system.control_addresses();
    let options = |index: u8| Options {
        id: format!("i-{index}"),
        service: SERVICE.into(),
        zone: ["almaty-a", "almaty-b", "almaty-c"][usize::from(index) % 3].into(),
        cpu: 16_000,
        address: system.worker_address(index),
        controls: controls.clone(),
        cut_control: None,
    };
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|index| {
            thread::sleep(Duration::from_millis(300));
            Worker::start(options(index), record.clone(), None)
        })
        .collect();
    if !system.wait_ready() {
        return Verdict::NotRun("an entry host did not get ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let work = Work {
        tasks: 4,
        work_ms: 300,
        cpu: 6_800,
    };
    let mut load = Load::start(&system, record, work, Duration::from_millis(120));
    thread::sleep(Duration::from_secs(3));

    // Planned work: a worker is added, and later leaves.
    let cut_until = Instant::now() + CUT;
    let mut added = options(WORKERS);
    if trouble {
        let control = added.controls[0];
        record.line(format!(
            "cut    the path from i-6 to {} is cut for 4.2 s",
            system.name_of(control)
        ));
        added.cut_control = Some(CutControl {
            address: control,
            until: cut_until,
            late_by: RETRANSMISSION,
        });
    }
    let added = Worker::start(added, record.clone(), None);
    thread::sleep(LEAVES_AFTER);
    added.drain();
    let asked = Instant::now();
    while added.drain_acked().is_none() && asked.elapsed() < Duration::from_secs(8) {
        thread::sleep(Duration::from_millis(5));
    }
    let Some(acked) = added.drain_acked() else {
        return Verdict::NotRun("the drain was not acknowledged".into());
    };
    let acked_at = record.now() - acked.elapsed();
    record.line(format!(
        "drain  of i-6 was acknowledged at {:.3}",
        acked_at.as_secs_f64()
    ));
    thread::sleep((acked + SERVES_ON).saturating_duration_since(Instant::now()));
    let _ = added.deregister(false);
    added.end();
    load.stop();
    drop(workers);
    if !system.all_run() {
        return Verdict::NotRun("a process ended by itself".into());
    }
    if load.served.load(std::sync::atomic::Ordering::SeqCst) < 20 {
        return Verdict::NotRun("hardly any job was served".into());
    }
    let late = |at: Duration| at > acked_at + DRAIN;
    let runs = record.runs();
    let broken: Vec<String> = runs
        .iter()
        .filter(|run| run.worker == "i-6" && late(run.started))
        .map(|run| {
            format!(
                "DRAIN: {} (attempt {}) starts on i-6 at {:.3} s, {:.3} s after the ack",
                run.task,
                run.attempt,
                run.started.as_secs_f64(),
                (run.started - acked_at).as_secs_f64()
            )
        })
        .collect();
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(broken)
    }
}
