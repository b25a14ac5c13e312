//! Selection of the neighbours of a host: the peers with which it exchanges
//! statuses.
//!
//! If all pairs of hosts exchanged statuses, the cost of each host would grow
//! with the number of hosts. Neighbours follow from the list of hosts alone,
//! and both hosts of a pair come to the same result, so no negotiation is
//! needed.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::ids::{FailureDomainId, HostId};
use siphasher::sip::SipHasher13;

use crate::fleet::Fleet;
use crate::peer::Peer;

/// Number of hosts that each host selects in its own failure domain.
const SELECTED_IN_OWN_DOMAIN: usize = 3;

/// Number of hosts that each host selects in other failure domains, spread
/// evenly over them; docs/platform.md has the measurement.
const SELECTED_IN_OTHER_DOMAINS: usize = 4;

/// Largest mean number of hosts in evacuated failure domains that select a host
/// elsewhere. Without a bound, the cost of statuses at the remaining hosts would
/// grow with the number of evacuated ones.
const MAX_SELECTED_BY_EVACUATED: usize = 7;

/// Smallest number of hosts that a host in an evacuated failure domain selects,
/// even if that exceeds [`MAX_SELECTED_BY_EVACUATED`]. With a single one all of
/// its tasks would depend on one other host.
const MIN_SELECTED_IF_EVACUATED: usize = 2;

/// Time for which a host counts as present after a control host listed it or it
/// was heard from. It outlasts the second between two lists.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two selections. A new host exchanges tasks with others only
/// after the next one.
const SELECTION_INTERVAL: Duration = Duration::from_millis(200);

/// `ListedHost` is an entry host that a control host listed.
#[derive(Clone, Debug)]
pub(crate) struct ListedHost {
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: FailureDomainId,
    /// Time at which a control host last listed it.
    pub(crate) listed_at: Duration,
}

/// Failure domain and id of a host.
type HostLocation = (FailureDomainId, HostId);

impl Fleet {
    /// Selects the neighbours again if hosts have joined or left, or failure domains
    /// were evacuated or returned to service.
    pub(crate) fn select_neighbours(&mut self) {
        let now = self.now;
        if now < self.next_selection_at {
            return;
        }
        self.next_selection_at = now + SELECTION_INTERVAL;
        let is_present = |at: Duration| now <= at + PRESENCE_TIMEOUT;
        let own = (
            self.options.failure_domain.clone(),
            self.options.host_id.clone(),
        );
        self.listed_hosts
            .retain(|_, listed| is_present(listed.listed_at));
        let listed = self.listed_hosts.iter();
        let listed = listed.map(|(host, listed)| (listed.failure_domain.clone(), host.clone()));
        let is_heard = |(_, peer): &(&HostId, &Peer)| peer.heard_at.is_some_and(is_present);
        let heard = self.peers.iter().filter(is_heard);
        let heard = heard.map(|(host, peer)| (peer.failure_domain.clone(), host.clone()));
        let mut present: BTreeSet<HostLocation> = listed.chain(heard).collect();
        present.insert(own.clone());
        if present == self.present_hosts {
            return;
        }
        let neighbours = neighbours_of(&own, &present, &self.evacuations);
        for host in &neighbours {
            if let Some(listed) = self.listed_hosts.get(host).cloned() {
                self.get_or_insert_peer(host.clone(), listed.address, listed.failure_domain);
            }
        }
        for (host, peer) in &mut self.peers {
            peer.is_neighbour = neighbours.contains(host);
        }
        self.present_hosts = present;
    }
}

/// Hosts by failure domain.
type HostsByDomain<'a> = BTreeMap<&'a FailureDomainId, Vec<&'a HostLocation>>;

/// Gets the hosts that a host selects, and those that select it.
///
/// Hosts outside the evacuated failure domains select each other as if there were
/// no others. Hosts inside have few or no workers that accept runs, so they are
/// attached to the hosts outside. If all failure domains are evacuated, there is
/// nothing to prefer, and hosts are selected as without an evacuation.
fn neighbours_of(
    own: &HostLocation,
    present: &BTreeSet<HostLocation>,
    evacuations: &EvacuationList,
) -> BTreeSet<HostId> {
    let (evacuated, remaining): (Vec<&HostLocation>, Vec<&HostLocation>) = present
        .iter()
        .partition(|(domain, _)| evacuations.contains(domain));
    if remaining.is_empty() {
        return linked_hosts(own, &hosts_by_domain(present.iter()));
    }
    let domains = hosts_by_domain(remaining.into_iter());
    let attached = attach_evacuated(&evacuated, &domains);
    if evacuations.contains(&own.0) {
        let selected = attached.get(own).into_iter().flatten();
        return selected.map(|(_, host)| host.clone()).collect();
    }
    let selecting = attached.iter();
    let selecting = selecting.filter(|(_, selected)| selected.contains(&own));
    let selecting = selecting.map(|((_, host), _)| host.clone());
    linked_hosts(own, &domains)
        .into_iter()
        .chain(selecting)
        .collect()
}

fn hosts_by_domain<'a>(hosts: impl Iterator<Item = &'a HostLocation>) -> HostsByDomain<'a> {
    let mut domains = HostsByDomain::new();
    for location in hosts {
        domains.entry(&location.0).or_default().push(location);
    }
    domains
}

/// Gets the hosts of these failure domains that a host selects, and those that
/// select it.
fn linked_hosts(own: &HostLocation, domains: &HostsByDomain<'_>) -> BTreeSet<HostId> {
    let others = domains.values().flatten();
    let others = others.filter(|location| **location != own);
    let is_linked =
        |other: &&&HostLocation| selects(own, other, domains) || selects(other, own, domains);
    others
        .filter(is_linked)
        .map(|(_, host)| host.clone())
        .collect()
}

/// Selects hosts for each host in an evacuated failure domain, spread evenly over
/// the remaining failure domains. A host that has been selected as often as the
/// mean is selected again only if too few others are left, because the tasks of a
/// whole failure domain move to these hosts. Otherwise the order of rendezvous
/// hashing holds, so that few selections change when hosts join or leave.
fn attach_evacuated<'a>(
    evacuated: &[&'a HostLocation],
    domains: &HostsByDomain<'a>,
) -> BTreeMap<&'a HostLocation, Vec<&'a HostLocation>> {
    let remaining: usize = domains.values().map(Vec::len).sum();
    let affordable = MAX_SELECTED_BY_EVACUATED * remaining / evacuated.len().max(1);
    let selected = affordable.clamp(
        MIN_SELECTED_IF_EVACUATED,
        SELECTED_IN_OWN_DOMAIN + SELECTED_IN_OTHER_DOMAINS,
    );
    let selected_per_domain = selected.div_ceil(domains.len());
    let mut attached: BTreeMap<&HostLocation, Vec<&HostLocation>> = BTreeMap::new();
    for hosts in domains.values() {
        let even_share = (evacuated.len() * selected_per_domain).div_ceil(hosts.len());
        let mut times_selected = vec![0; hosts.len()];
        for host in evacuated {
            let mut ranked: Vec<(bool, u64, usize)> = (hosts.iter().zip(&times_selected))
                .enumerate()
                .map(|(index, (other, times))| {
                    (*times >= even_share, selection_rank(host, other), index)
                })
                .collect();
            ranked.sort_unstable();
            for (_, _, index) in ranked.into_iter().take(selected_per_domain) {
                times_selected[index] += 1;
                attached.entry(host).or_default().push(hosts[index]);
            }
        }
    }
    attached
}

/// Whether a host selects another one: by rendezvous hashing, it ranks among
/// the first hosts of its failure domain, in an order that differs from host to
/// host.
fn selects(host: &HostLocation, other: &HostLocation, domains: &HostsByDomain<'_>) -> bool {
    let selected = if host.0 == other.0 {
        SELECTED_IN_OWN_DOMAIN
    } else {
        SELECTED_IN_OTHER_DOMAINS.div_ceil(domains.len() - 1)
    };
    let Some(domain) = domains.get(&other.0) else {
        return false;
    };
    let rank = selection_rank(host, other);
    let before = domain
        .iter()
        .filter(|location| **location != host && selection_rank(host, location) < rank);
    before.take(selected).count() < selected
}

fn selection_rank(host: &HostLocation, other: &HostLocation) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(host.1.as_bytes());
    hasher.write_u8(0);
    hasher.write(other.1.as_bytes());
    hasher.finish()
}
