//! Messages that the entry hosts counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::{Error, Result};
use hornbeam_http::HttpClient;

/// Time that an entry host has to show its metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Counter of the messages of an entry host, with a label for the kind.
const COUNTER: &str = "hornbeam_messages_total{";

/// Kinds that are counted per task. An entry host counts a chunk only when it
/// sends it, so that each is counted once.
const TASK_KINDS: [&str; 4] = [
    "task_request",
    "task_answer",
    "chunk_request",
    "chunk_answer",
];

/// `Counts` are numbers of messages by kind.
pub(crate) type Counts = BTreeMap<String, u64>;

/// Reads the counts of each entry host that can be reached.
pub(crate) async fn read(
    client: &HttpClient,
    hosts: &[SocketAddr],
) -> BTreeMap<SocketAddr, Counts> {
    let mut by_host = BTreeMap::new();
    for host in hosts {
        if let Ok(counts) = read_host(client, *host).await {
            by_host.insert(*host, counts);
        }
    }
    by_host
}

async fn read_host(client: &HttpClient, host: SocketAddr) -> Result<Counts> {
    let reply = client.get_text(host, "/metrics", METRICS_TIMEOUT).await?;
    if reply.status != 200 {
        return Err(Error::io(format!("/metrics has status {}", reply.status)));
    }
    Ok(counts(&reply.body))
}

/// Picks the counter's lines, such as
/// `hornbeam_messages_total{kind="task_request"} 12`.
fn counts(metrics: &str) -> Counts {
    let mut counts = Counts::new();
    for line in metrics.lines() {
        let Some((labels, value)) = line
            .strip_prefix(COUNTER)
            .and_then(|rest| rest.split_once('}'))
        else {
            continue;
        };
        let kind = labels
            .split(',')
            .find_map(|label| label.strip_prefix("kind=\"")?.strip_suffix('"'));
        if let (Some(kind), Ok(value)) = (kind, value.trim().parse::<u64>()) {
            *counts.entry(kind.to_owned()).or_default() += value;
        }
    }
    counts
}

/// Sums what was counted between two readings, over the hosts in both.
pub(crate) fn between(
    before: &BTreeMap<SocketAddr, Counts>,
    after: &BTreeMap<SocketAddr, Counts>,
) -> Counts {
    let mut sums = Counts::new();
    for (host, after) in after {
        let Some(before) = before.get(host) else {
            continue;
        };
        for (kind, value) in after {
            let earlier = before.get(kind).copied().unwrap_or(0);
            *sums.entry(kind.clone()).or_default() += value.saturating_sub(earlier);
        }
    }
    sums
}

/// Sums the messages that are counted per task.
pub(crate) fn of_tasks(counts: &Counts) -> u64 {
    TASK_KINDS.iter().filter_map(|kind| counts.get(*kind)).sum()
}
