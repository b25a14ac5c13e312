//! Compares docs/METRICS.md with the metrics that the hosts export.

mod harness;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use harness::{System, TIMEOUT, job};
use hornbeam_node::Host;

/// Gets the names and types in the table under a heading of the page.
fn documented(heading: &str) -> BTreeSet<(String, String)> {
    let page = include_str!("../../../docs/METRICS.md");
    let (_, section) = page.split_once(heading).expect("the heading");
    let section = section.split("\n## ").next().expect("a section");
    let rows = section
        .lines()
        .filter_map(|line| line.strip_prefix("| `hornbeam_"));
    rows.map(|row| {
        let mut cells = row.split('|').map(str::trim);
        let name = cells.next().expect("a name").trim_end_matches('`');
        let kind = cells.next().expect("a type");
        let unit = cells.next().expect("a unit");
        let meaning = cells.nth(1).expect("a meaning");
        assert!(!unit.is_empty() && !meaning.is_empty(), "{name}");
        (format!("hornbeam_{name}"), kind.to_owned())
    })
    .collect()
}

/// Gets the names and types that a host exports.
async fn exported(system: &System, address: SocketAddr) -> BTreeSet<(String, String)> {
    let reply = system.client.get_text(address, "/metrics", TIMEOUT).await;
    let text = reply.expect("metrics").body;
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types
        .map(|line| {
            let (name, kind) = line.split_once(' ').expect("a name and a type");
            (name.to_owned(), kind.to_owned())
        })
        .collect()
}

/// Guards against documented metrics that do not exist, on which alerts may rely,
/// and against metrics that are not documented.
#[tokio::test(flavor = "multi_thread")]
async fn every_metric_is_documented() {
    let system = System::start(1, 1).await;
    let entry = &system.entries[0];
    let server = system.start_server("s1", entry).await;
    // Counters with labels appear with their first count.
    system.submit(entry, &job("counted", 1, 1)).await;
    let control_address = system.controls[0].http_address();
    let exports = exported(&system, entry.http_address()).await;
    assert_eq!(exports, documented("## Entry host"));
    let exports = exported(&system, control_address).await;
    assert_eq!(exports, documented("## Control host"));
    server.leave().await;
    system.stop().await;
}
