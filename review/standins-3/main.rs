//! The cases of review/ that are scripts. `review-3 CASE FOLDER` plays one and writes
//! FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With TROUBLE=0 the disruption is left out.

mod broken_channel;
mod draining;
mod empty_disk;
mod foreign_report;
mod late_end;
mod net;
mod system;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use system::Record;

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(116);

/// `Verdict` is the result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::new(&PathBuf::from(folder).join("record.txt"));
    // A case that hangs could not run; its processes end with this program.
    let clock = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        clock.write("the case could not run: it took too long");
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match case.as_str() {
        "empty-disk" => empty_disk::play(&record, has_trouble),
        "broken-channel" => broken_channel::play(&record, has_trouble),
        "draining" => draining::play(&record, has_trouble),
        "late-end" => late_end::play(&record, has_trouble),
        "foreign-report" => foreign_report::play(&record, has_trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(what) => (format!("RULE BROKEN: {what}"), 1),
        Verdict::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.write(&text);
    println!("{text}");
    ExitCode::from(code)
}
