//! A control host that is killed while it starts with an empty disk.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::system::{Record, System};

const HOSTS: usize = 5;
const LOSSES_BORNE: u32 = 2;
/// `catchUpS`, `recoveryS` and `contactMs` of the deployment.
const CATCH_UP: Duration = Duration::from_secs(6);
const RECOVERY: Duration = Duration::from_secs(15);
const CONTACT: Duration = Duration::from_secs(4);
/// Time for which a host without power is down.
const DOWN: Duration = Duration::from_secs(1);
/// Host that loses its disk first.
const FIRST: usize = 4;
/// Disk losses of the first host, each followed by its catch-up time.
const MAX_TRIES: usize = 5;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = System::new(HOSTS, LOSSES_BORNE, record);
    for index in 0..HOSTS {
        system.add(&format!("zone-{index}"));
    }
    for index in 0..HOSTS {
        system.start(index, true);
    }
    if !system.publish(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the first configuration was not acknowledged".into());
    }
    std::thread::sleep(CATCH_UP);
    let mut was_hit = false;
    for _ in 0..MAX_TRIES {
        system.kill(FIRST);
        system.wipe(FIRST);
        std::thread::sleep(DOWN);
        system.start(FIRST, false);
        if has_trouble {
            was_hit = kill_at_first_writes(&mut system, record);
        }
        std::thread::sleep(CATCH_UP);
        if was_hit || !has_trouble {
            break;
        }
    }
    if has_trouble && !was_hit {
        return Verdict::CouldNotRun("no kill fell between the first writes".into());
    }
    for line in system.log_lines(FIRST, "starts with voters") {
        record.write(&line);
    }
    // The system has had its catch-up time: it may lose two hosts again.
    if !system.publish(2, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("version 2 was not acknowledged".into());
    }
    record.write("version 2 is acknowledged; two hosts lose their disks");
    for index in [0, 1] {
        system.kill(index);
        system.wipe(index);
    }
    std::thread::sleep(DOWN);
    for index in [0, 1] {
        system.start(index, false);
    }
    record.write("all hosts are back");
    let back = Instant::now();
    let mut answers = Vec::new();
    while back.elapsed() < RECOVERY + CONTACT {
        std::thread::sleep(Duration::from_secs(1));
        if back.elapsed() < RECOVERY {
            continue;
        }
        answers.extend((0..HOSTS).map(|index| system.read(index)));
    }
    // One answer with the newest version from a host that is sure is enough.
    if answers
        .iter()
        .any(|(status, version)| *status == 200 && *version >= Some(2))
    {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "version 2 was acknowledged, two of the {HOSTS} control hosts lost their disks, and {} s after all were back no host gives the configuration ({} reads)",
        RECOVERY.as_secs(),
        answers.len()
    ))
}

/// Kills the first host as soon as its folder has an identity, and starts it again.
/// Returns whether the folder had no snapshot then.
fn kill_at_first_writes(system: &mut System, record: &Record) -> bool {
    let folder = system.data_folder(FIRST);
    let (identity, snapshot) = (folder.join("identity"), folder.join("snapshot"));
    let until = Instant::now() + Duration::from_secs(5);
    while !identity.exists() && Instant::now() < until {
        std::hint::spin_loop();
    }
    system.kill(FIRST);
    let was_hit = identity.exists() && !snapshot.exists();
    record.write(&format!(
        "files of the folder: {:?}; between the first writes: {was_hit}",
        names(&folder)
    ));
    std::thread::sleep(Duration::from_millis(500));
    system.start(FIRST, false);
    was_hit
}

fn names(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries
        .map(|entry| entry.file_name().to_string_lossy().into_owned())
        .collect()
}
