//! How a control host finds its group.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use eyre::{Result, bail};
use hornbeam_control::DiskStorage;
use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use hornbeam_core::log_event;
use hornbeam_transport::{Link, LinkOptions};

use super::super::replicas::id_at;
use super::super::{ControlOptions, FleetControlOptions};
use crate::wire::{Request, RequestAnswer};

/// Time within which a control host must name the voters.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before the seeds are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Number that tells apart the replicas of a host, for one that is among the
/// first voters. Later ones are random and above it.
const FIRST_REPLICA: u32 = 0;

/// Chooses the replica id and the voters to join. The first start of the
/// system makes the seeds the first voters. A host with an empty folder joins
/// without a vote, because it may have lost what it had voted for.
///
/// # Errors
/// If the address is not one of IPv4 or the folder is damaged.
pub(crate) async fn prepare(
    options: &mut ControlOptions,
    fleet: &FleetControlOptions,
) -> Result<()> {
    let Some(own_address) = ipv4(options.link_listen) else {
        bail!("{} is no IPv4 address", options.link_listen);
    };
    let folder = options.data_folder.clone();
    let identity = tokio::task::spawn_blocking(move || DiskStorage::identity(&folder)).await??;
    let is_seed = fleet.seeds.contains(&options.link_listen);
    let first_voters = fleet.seeds.iter().copied().filter_map(ipv4);
    let first_voters: Vec<ReplicaId> = first_voters.map(|at| id_at(at, FIRST_REPLICA)).collect();
    if let Some(id) = identity {
        options.replica.id = id;
    } else if options.new_group && is_seed {
        options.replica.id = id_at(own_address, FIRST_REPLICA);
        options.replica.initial_voters = first_voters;
    } else {
        options.replica.id = id_at(
            own_address,
            rand::random_range(FIRST_REPLICA + 1..=u32::MAX),
        );
        options.replica.initial_voters = if options.new_group {
            first_voters
        } else {
            find_voters(options.link_listen, &fleet.seeds).await
        };
        options.new_group = true;
    }
    log_event!(
        Event::GroupRepair, host = options.host_id;
        "replica {:x} with voters {:x?} at the start, folder used before: {}",
        options.replica.id, options.replica.initial_voters, identity.is_some()
    );
    Ok(())
}

/// Asks the seeds for the voters until one knows some. What several know is
/// joined, because one that was cut off may name former voters.
async fn find_voters(own: SocketAddr, seeds: &[SocketAddr]) -> Vec<ReplicaId> {
    let others = seeds.iter().filter(|seed| **seed != own);
    let links: Vec<Link> = others
        .map(|seed| Link::new(*seed, LinkOptions::default()))
        .collect();
    loop {
        let mut voters = Vec::new();
        for link in &links {
            let answer = link.call(&Request::Voters, ASK_TIMEOUT).await;
            if let Ok(RequestAnswer::Voters(known)) = answer {
                voters.extend(known);
            }
        }
        voters.sort_unstable();
        voters.dedup();
        if !voters.is_empty() {
            return voters;
        }
        tokio::time::sleep(ASK_AGAIN).await;
    }
}

fn ipv4(address: SocketAddr) -> Option<Ipv4Addr> {
    match address.ip() {
        IpAddr::V4(address) => Some(address),
        IpAddr::V6(_) => None,
    }
}
