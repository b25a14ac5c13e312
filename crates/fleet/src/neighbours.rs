//! The neighbours of a host: the peers with which it exchanges statuses.
//!
//! Statuses between all pairs of hosts would cost each host more with every
//! host that is added. Neighbours are chosen from the list of hosts alone, and
//! by both hosts of a pair alike, so that they need no agreement.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

use hornbeam_core::ids::{FailureDomainId, HostId};
use siphasher::sip::SipHasher13;

use crate::fleet::Fleet;

/// Hosts of its own failure domain that each host chooses.
const CHOSEN_NEAR: usize = 3;

/// Hosts of other failure domains that each host chooses, spread evenly over
/// the domains: see docs/platform.md for the measurement.
const CHOSEN_FAR: usize = 4;

/// Time for which a host counts as present after a control host has listed it,
/// or it was heard from. Control hosts list what they have heard from in the
/// last 2 s.
const PRESENT_FOR: Duration = Duration::from_secs(3);

/// Time between two choices of neighbours. A new host waits for one before it
/// gives tasks to others and gets theirs.
const CHOICE_PERIOD: Duration = Duration::from_millis(200);

/// A host as far as the choice is concerned.
type Place = (FailureDomainId, HostId);

impl Fleet {
    /// Chooses the neighbours anew if hosts have come or gone.
    pub(crate) fn choose_neighbours(&mut self) {
        let now = self.now;
        if now < self.next_choice_at {
            return;
        }
        self.next_choice_at = now + CHOICE_PERIOD;
        let is_present = |at: Duration| now <= at + PRESENT_FOR;
        let own = (
            self.options.failure_domain.clone(),
            self.options.host_id.clone(),
        );
        let known = self.peers.iter();
        let known = known.filter(|(_, peer)| {
            let seen_at = peer.listed_at.max(peer.heard_at);
            seen_at.is_some_and(is_present)
        });
        let mut present: BTreeSet<Place> = known
            .map(|(host, peer)| (peer.failure_domain.clone(), host.clone()))
            .collect();
        present.insert(own.clone());
        if present == self.present {
            return;
        }
        let neighbours = neighbours_of(&own, &present);
        for (host, peer) in &mut self.peers {
            peer.is_neighbour = neighbours.contains(host);
        }
        self.present = present;
    }
}

/// Gets the hosts that a host has chosen, and those that have chosen it.
fn neighbours_of(own: &Place, present: &BTreeSet<Place>) -> BTreeSet<HostId> {
    let mut domains: BTreeMap<&FailureDomainId, Vec<&Place>> = BTreeMap::new();
    for place in present {
        domains.entry(&place.0).or_default().push(place);
    }
    let others = present.iter().filter(|place| *place != own);
    let is_linked = |other: &&Place| chooses(own, other, &domains) || chooses(other, own, &domains);
    others
        .filter(is_linked)
        .map(|(_, host)| host.clone())
        .collect()
}

/// Whether a host chooses another one: it is among the first of its failure
/// domain in an order that differs from host to host.
fn chooses(host: &Place, other: &Place, domains: &BTreeMap<&FailureDomainId, Vec<&Place>>) -> bool {
    let chosen = if host.0 == other.0 {
        CHOSEN_NEAR
    } else {
        CHOSEN_FAR.div_ceil(domains.len() - 1)
    };
    let Some(domain) = domains.get(&other.0) else {
        return false;
    };
    let rank = rank(host, other);
    let before = domain
        .iter()
        .filter(|place| **place != host && self::rank(host, place) < rank);
    before.take(chosen).count() < chosen
}

fn rank(host: &Place, other: &Place) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(host.1.as_bytes());
    hasher.write_u8(0);
    hasher.write(other.1.as_bytes());
    hasher.finish()
}
