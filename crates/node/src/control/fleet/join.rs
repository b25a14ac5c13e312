//! Discovery of the group that a control host joins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use eyre::{Result, bail};
use hornbeam_control::DiskStorage;
use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use hornbeam_core::log_event;
use hornbeam_transport::Link;

use super::super::replicas::replica_id_for;
use super::super::{ControlOptions, FleetControlOptions};
use crate::fleet_links::link_options;
use crate::wire::{Request, RequestAnswer};

/// Timeout of the request for the voters.
const VOTERS_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the seeds are asked again.
const VOTERS_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Nonce in the ids of the initial voters. Later replicas of a host have random
/// nonces above it.
const INITIAL_NONCE: u32 = 0;

/// Chooses the replica id and the voters to join. On the first start of the
/// system the seeds are the initial voters. Later a host with an empty folder
/// joins without a vote, because it may have lost the votes that it cast.
///
/// A folder that a former version left without voters keeps its id. If that is the
/// id of an initial voter, the seeds are the initial voters again: other hosts can
/// have such ids only if they started with the same seeds. Any other replica joins as
/// one with an empty folder does (`docs/design.md`, section 8).
///
/// # Errors
/// If the address is not an IPv4 address or the folder is damaged.
pub(crate) async fn resolve_replica(
    options: &mut ControlOptions,
    fleet: &FleetControlOptions,
) -> Result<()> {
    let Some(own_address) = ipv4(options.link_listen) else {
        bail!("{} is not an IPv4 address", options.link_listen);
    };
    let folder = options.data_folder.clone();
    let identity = tokio::task::spawn_blocking(move || DiskStorage::identity(&folder)).await??;
    let is_seed = fleet.seeds.contains(&options.link_listen);
    let first_voters = fleet.seeds.iter().copied().filter_map(ipv4);
    let first_voters: Vec<ReplicaId> = first_voters
        .map(|at| replica_id_for(at, INITIAL_NONCE))
        .collect();
    let initial_id = replica_id_for(own_address, INITIAL_NONCE);
    match identity {
        Some(identity) => {
            options.replica.id = identity.replica_id;
            if !identity.knows_voters {
                let is_initial_voter = is_seed && identity.replica_id == initial_id;
                options.replica.initial_voters = if is_initial_voter {
                    first_voters
                } else {
                    let mut voters = discover_voters(options.link_listen, &fleet.seeds).await;
                    // Only the log tells a replica that it may vote.
                    voters.retain(|id| *id != identity.replica_id);
                    voters
                };
            }
        }
        None if options.new_group && is_seed => {
            options.replica.id = initial_id;
            options.replica.initial_voters = first_voters;
        }
        None => {
            options.replica.id = replica_id_for(
                own_address,
                rand::random_range(INITIAL_NONCE + 1..=u32::MAX),
            );
            options.replica.initial_voters = if options.new_group {
                first_voters
            } else {
                discover_voters(options.link_listen, &fleet.seeds).await
            };
            options.new_group = true;
        }
    }
    log_event!(
        Event::GroupRepair, host = options.host_id;
        "replica {:x} starts with voters {:x?}; data folder in use before: {}; voters known there: {}",
        options.replica.id,
        options.replica.initial_voters,
        identity.is_some(),
        identity.is_some_and(|identity| identity.knows_voters)
    );
    Ok(())
}

/// Asks the seeds for the voters until one knows them. The answers are merged,
/// because a seed that was partitioned may report former voters.
async fn discover_voters(own: SocketAddr, seeds: &[SocketAddr]) -> Vec<ReplicaId> {
    let others = seeds.iter().filter(|seed| **seed != own);
    let links: Vec<Link> = others
        .map(|seed| Link::new(*seed, link_options()))
        .collect();
    loop {
        let mut voters = Vec::new();
        for link in &links {
            let answer = link.call(&Request::Voters, VOTERS_TIMEOUT).await;
            if let Ok(RequestAnswer::Voters(known)) = answer {
                voters.extend(known);
            }
        }
        voters.sort_unstable();
        voters.dedup();
        if !voters.is_empty() {
            return voters;
        }
        tokio::time::sleep(VOTERS_RETRY_DELAY).await;
    }
}

fn ipv4(address: SocketAddr) -> Option<Ipv4Addr> {
    match address.ip() {
        IpAddr::V4(address) => Some(address),
        IpAddr::V6(_) => None,
    }
}
