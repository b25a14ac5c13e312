//! Keeps a number of claims in flight at one control host and prints how many
//! were recorded, as a line of JSON.
//!
//! Run with `claims <link address> <credential file> <in flight> <seconds>`;
//! `tools/measure-capacity claims` does so against a group of three.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::{Result, WrapErr, eyre};
use hornbeam_control::ClaimCommand;
use hornbeam_dispatch::ClaimOutcome;
use hornbeam_node::{Request, RequestAnswer};
use hornbeam_transport::{Link, LinkOptions};
use serde::Serialize;
use tokio::task::JoinSet;

/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Validity of a claim, in ms.
const VALID_MS: u64 = 60_000;

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// `Counts` holds the number of claims by outcome.
#[derive(Default, Serialize)]
struct Counts {
    recorded: u64,
    unavailable: u64,
}

/// Sends claims one after the other and counts their outcomes.
async fn claim_until(link: Link, caller: usize, end: Instant) -> Result<Counts> {
    let mut counts = Counts::default();
    while Instant::now() < end {
        let now_ms = unix_ms();
        let id = format!("request-{caller}-{}-{now_ms}", counts.recorded);
        let request = Request::Claim(ClaimCommand {
            token: format!("job-{id}"),
            key: id,
            valid_until_unix_ms: now_ms + VALID_MS,
            now_unix_ms: 0,
        });
        match link.call(&request, CLAIM_TIMEOUT).await? {
            RequestAnswer::Claim(ClaimOutcome::Recorded) => counts.recorded += 1,
            RequestAnswer::Claim(ClaimOutcome::Unavailable) => counts.unavailable += 1,
            answer => return Err(eyre!("a claim got {answer:?}")),
        }
    }
    Ok(counts)
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [address, credential, in_flight, seconds] = arguments.as_slice() else {
        return Err(eyre!("give address, credential file, in flight, seconds"));
    };
    let address: SocketAddr = address.parse()?;
    let credential = std::fs::read_to_string(credential).wrap_err("credential file")?;
    let options = LinkOptions {
        credential: Some(credential.trim().to_owned()),
        ..LinkOptions::default()
    };
    let link = Link::new(address, options);
    let started = Instant::now();
    let end = started + Duration::from_secs(seconds.parse()?);
    let mut callers = JoinSet::new();
    for caller in 0..in_flight.parse()? {
        callers.spawn(claim_until(link.clone(), caller, end));
    }
    let mut total = Counts::default();
    while let Some(counts) = callers.join_next().await {
        let counts = counts??;
        total.recorded += counts.recorded;
        total.unavailable += counts.unavailable;
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let line = serde_json::json!({
        "recorded": total.recorded,
        "unavailable": total.unavailable,
        "elapsed_s": elapsed_s,
    });
    println!("{line}");
    Ok(())
}
