//! The entry hosts that the control hosts list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::ids::HostId;
use hornbeam_fleet::PeerInfo;
use indexmap::IndexMap;

use crate::wire::{Membership, MembershipUpdate, MembershipVersion};

/// Time for which the list of a control host that no longer answers is used:
/// three registrations at the slow rate.
const LIST_TTL: Duration = Duration::from_secs(3);

/// `MemberLists` holds the list of each control host. They differ for a while
/// after a change, and while hosts are partitioned.
#[derive(Debug, Default)]
pub(crate) struct MemberLists {
    lists: HashMap<SocketAddr, MemberList>,
}

#[derive(Debug)]
struct MemberList {
    /// Version of the list; `None` if its control host only sends whole lists.
    version: Option<MembershipVersion>,
    hosts: IndexMap<HostId, PeerInfo>,
    updated_at: Duration,
}

impl MemberLists {
    /// Gets the version of the list of a control host.
    pub(crate) fn version(&self, control_host: SocketAddr) -> Option<MembershipVersion> {
        self.lists.get(&control_host)?.version
    }

    /// Applies an update from a control host. Returns whether its list has
    /// changed.
    pub(crate) fn update(
        &mut self,
        control_host: SocketAddr,
        update: &MembershipUpdate,
        now: Duration,
    ) -> bool {
        let list = self.list(control_host, now);
        if update.is_whole {
            list.hosts.clear();
        }
        for host_id in &update.left {
            list.hosts.swap_remove(host_id);
        }
        for host in &update.joined {
            list.hosts.insert(host.host_id.clone(), host.clone());
        }
        list.version = Some(update.version);
        update.is_whole || !update.joined.is_empty() || !update.left.is_empty()
    }

    /// Replaces the list of a control host that sends whole lists only.
    pub(crate) fn replace(
        &mut self,
        control_host: SocketAddr,
        membership: &Membership,
        now: Duration,
    ) {
        let hosts = membership.entry_hosts.iter();
        let list = self.list(control_host, now);
        list.version = None;
        list.hosts = hosts
            .map(|host| (host.host_id.clone(), host.clone()))
            .collect();
    }

    /// Gets the list of a control host, which has just answered.
    fn list(&mut self, control_host: SocketAddr, now: Duration) -> &mut MemberList {
        let list = self.lists.entry(control_host).or_insert(MemberList {
            version: None,
            hosts: IndexMap::new(),
            updated_at: now,
        });
        list.updated_at = now;
        list
    }

    /// Removes the lists of control hosts that have not answered recently.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.lists
            .retain(|_, list| now <= list.updated_at + LIST_TTL);
    }

    /// Gets the hosts of all lists.
    pub(crate) fn hosts(&self) -> Vec<PeerInfo> {
        let mut hosts: IndexMap<&HostId, &PeerInfo> = IndexMap::new();
        for list in self.lists.values() {
            hosts.extend(&list.hosts);
        }
        hosts.into_values().cloned().collect()
    }
}
