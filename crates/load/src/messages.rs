//! Message counters of the entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::{Error, Result};
use hornbeam_http::HttpClient;

/// Timeout of a metrics request to an entry host.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Name of the message counter, which has a label for the kind.
const COUNTER: &str = "hornbeam_messages_total{";

/// Kinds of messages that run tasks. An entry host counts a chunk only when it
/// sends it, so each chunk is counted once.
const TASK_KINDS: [&str; 4] = [
    "task_request",
    "task_answer",
    "chunk_request",
    "chunk_answer",
];

/// `MessageCounts` are the numbers of messages by kind.
pub(crate) type MessageCounts = BTreeMap<String, u64>;

/// Reads the counts of each reachable entry host.
pub(crate) async fn read_counts(
    client: &HttpClient,
    hosts: &[SocketAddr],
) -> BTreeMap<SocketAddr, MessageCounts> {
    let mut by_host = BTreeMap::new();
    for host in hosts {
        if let Ok(counts) = read_host(client, *host).await {
            by_host.insert(*host, counts);
        }
    }
    by_host
}

async fn read_host(client: &HttpClient, host: SocketAddr) -> Result<MessageCounts> {
    let reply = client.get_text(host, "/metrics", METRICS_TIMEOUT).await?;
    if reply.status != 200 {
        return Err(Error::io(format!(
            "/metrics answered with status {}",
            reply.status
        )));
    }
    Ok(counts(&reply.body))
}

/// Extracts the samples of the counter, such as
/// `hornbeam_messages_total{kind="task_request"} 12`.
fn counts(metrics: &str) -> MessageCounts {
    let mut counts = MessageCounts::new();
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

/// Sums the increase between two readings, over the hosts present in both.
pub(crate) fn increase(
    before: &BTreeMap<SocketAddr, MessageCounts>,
    after: &BTreeMap<SocketAddr, MessageCounts>,
) -> MessageCounts {
    let mut sums = MessageCounts::new();
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

/// Sums the messages of the kinds in [`TASK_KINDS`].
pub(crate) fn sum_task_messages(counts: &MessageCounts) -> u64 {
    TASK_KINDS.iter().filter_map(|kind| counts.get(*kind)).sum()
}
