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

use hornbeam_core::ids::{FailureDomainId, HostId};
use siphasher::sip::SipHasher13;

use crate::fleet::Fleet;
use crate::peer::Peer;

/// Number of hosts that each host selects in its own failure domain.
const SELECTED_IN_OWN_DOMAIN: usize = 3;

/// Number of hosts that each host selects in other failure domains, spread
/// evenly over them; docs/platform.md has the measurement.
const SELECTED_IN_OTHER_DOMAINS: usize = 4;

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
    /// Selects the neighbours again if hosts have joined or left.
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
        let neighbours = neighbours_of(&own, &present);
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

/// Gets the hosts that a host selects, and those that select it.
fn neighbours_of(own: &HostLocation, present: &BTreeSet<HostLocation>) -> BTreeSet<HostId> {
    let mut domains: BTreeMap<&FailureDomainId, Vec<&HostLocation>> = BTreeMap::new();
    for location in present {
        domains.entry(&location.0).or_default().push(location);
    }
    let others = present.iter().filter(|location| *location != own);
    let is_linked =
        |other: &&HostLocation| selects(own, other, &domains) || selects(other, own, &domains);
    others
        .filter(is_linked)
        .map(|(_, host)| host.clone())
        .collect()
}

/// Whether a host selects another one: by rendezvous hashing, it ranks among
/// the first hosts of its failure domain, in an order that differs from host to
/// host.
fn selects(
    host: &HostLocation,
    other: &HostLocation,
    domains: &BTreeMap<&FailureDomainId, Vec<&HostLocation>>,
) -> bool {
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
