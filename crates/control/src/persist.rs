//! What waits for the disk.

use std::collections::VecDeque;

use hornbeam_core::ids::ReplicaId;

use crate::io::{HardState, Message, PersistId, PersistRequest, SnapshotData};
use crate::log::Log;

/// `Deferred` is an action that must not happen before a sync.
#[derive(Debug)]
pub(crate) enum Deferred {
    /// Send a message.
    Send(ReplicaId, Message),
    /// Count the own vote of this term and ask the others.
    OwnVote(u64),
}

/// `PersistQueue` numbers persist requests and holds back what depends on them.
#[derive(Debug)]
pub(crate) struct PersistQueue {
    last_id: PersistId,
    hard_state: Option<HardState>,
    snapshot: Option<SnapshotData>,
    issued_index: u64,
    durable_index: u64,
    outstanding: VecDeque<Outstanding>,
    unsent: Vec<Deferred>,
    deferred: VecDeque<(PersistId, Deferred)>,
}

#[derive(Debug)]
struct Outstanding {
    id: PersistId,
    last_index: u64,
}

impl PersistQueue {
    /// Creates a queue for a log whose entries are all on disk.
    pub(crate) fn new(durable_index: u64) -> Self {
        Self {
            last_id: 0,
            hard_state: None,
            snapshot: None,
            issued_index: durable_index,
            durable_index,
            outstanding: VecDeque::new(),
            unsent: Vec::new(),
            deferred: VecDeque::new(),
        }
    }

    /// Gets the last index that is synced to disk.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Whether term, vote or snapshot wait to be requested.
    pub(crate) fn is_pending(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some()
    }

    /// Requests term and vote.
    pub(crate) fn put_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = Some(hard_state);
    }

    /// Requests a snapshot that replaces the log up to its index.
    pub(crate) fn put_snapshot(&mut self, snapshot: SnapshotData) {
        self.snapshot = Some(snapshot);
    }

    /// Notes that the log was reset to a snapshot.
    pub(crate) fn reset_to(&mut self, index: u64) {
        self.truncate_from(index + 1);
        self.issued_index = index;
    }

    /// Notes that entries from this index on were replaced in memory.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let last_index = index.saturating_sub(1);
        self.issued_index = self.issued_index.min(last_index);
        self.durable_index = self.durable_index.min(last_index);
        for request in &mut self.outstanding {
            request.last_index = request.last_index.min(last_index);
        }
    }

    /// Holds an action back until everything requested so far is synced.
    pub(crate) fn defer(&mut self, action: Deferred) {
        self.unsent.push(action);
    }

    /// Makes the next request, if anything is to be written. With `gather`,
    /// entries wait while a request is outstanding, so that one sync covers
    /// all proposals that arrive meanwhile.
    pub(crate) fn next_request(&mut self, log: &Log, gather: bool) -> Option<PersistRequest> {
        let held_back = gather && !self.outstanding.is_empty();
        let has_entries = log.last_index() > self.issued_index && !held_back;
        if !self.is_pending() && !has_entries {
            return None;
        }
        let snapshot = self.snapshot.take();
        if let Some(snapshot) = &snapshot {
            self.issued_index = self.issued_index.max(snapshot.index);
        }
        let entries = log.batch(self.issued_index + 1, u64::MAX);
        self.issued_index = log.last_index();
        self.last_id += 1;
        self.outstanding.push_back(Outstanding {
            id: self.last_id,
            last_index: self.issued_index,
        });
        Some(PersistRequest {
            id: self.last_id,
            hard_state: self.hard_state.take(),
            snapshot,
            entries,
        })
    }

    /// Gets the actions of this step that need not wait, and keeps the others.
    pub(crate) fn release_unsent(&mut self) -> Vec<Deferred> {
        let unsent = std::mem::take(&mut self.unsent);
        let Some(last) = self.outstanding.back() else {
            return unsent;
        };
        let gated = unsent.into_iter().map(|action| (last.id, action));
        self.deferred.extend(gated);
        Vec::new()
    }

    /// Notes that all requests up to `id` are synced and gets what waited.
    pub(crate) fn synced(&mut self, id: PersistId) -> Vec<Deferred> {
        while let Some(request) = self.outstanding.pop_front_if(|request| request.id <= id) {
            self.durable_index = self.durable_index.max(request.last_index);
        }
        let mut released = Vec::new();
        while let Some((_, action)) = self.deferred.pop_front_if(|(gate, _)| *gate <= id) {
            released.push(action);
        }
        released
    }
}
