//! Stand-ins and scenarios of the review. `standins SCENARIO RECORD` plays one
//! scenario; `TROUBLE=0` plays it without the disruption. It exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run.

mod clients;
mod http;
mod late_deregistration;
mod late_report;
mod record;
mod silent_channels;
mod system;
mod worker;

use std::process::exit;

use record::Record;

/// `Verdict` is the result of a scenario.
pub enum Verdict {
    Held,
    Broken(Vec<String>),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(scenario), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standins SCENARIO RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.line(format!(
        "{scenario}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let verdict = match scenario.as_str() {
        "late-deregistration" => late_deregistration::play(trouble, &record),
        "silent-channels" => silent_channels::play(trouble, &record),
        "late-report" => late_report::play(trouble, &record),
        _ => Verdict::NotRun("no such scenario".to_owned()),
    };
    let (code, lines) = match verdict {
        Verdict::Held => (0, vec!["the rule held".to_owned()]),
        Verdict::Broken(lines) => (1, lines),
        Verdict::NotRun(reason) => (2, vec![format!("the case could not run: {reason}")]),
    };
    for line in lines {
        println!("{line}");
        record.line(format!("result {line}"));
    }
    exit(code);
}
