//! Persist requests in flight and the actions that wait for them.

use std::collections::VecDeque;

use hornbeam_core::ids::ReplicaId;

use crate::io::{HardState, Message, PersistId, PersistRequest, SnapshotData};
use crate::log::Log;

/// `DeferredAction` is an action that must wait for a sync.
#[derive(Debug)]
pub(crate) enum DeferredAction {
    /// Send a message.
    Send(ReplicaId, Message),
    /// Count this replica's own vote in the term and request the other votes.
    OwnVote(u64),
}

/// `PersistQueue` numbers persist requests and defers the actions that depend
/// on them.
#[derive(Debug)]
pub(crate) struct PersistQueue {
    last_id: PersistId,
    hard_state: Option<HardState>,
    snapshot: Option<SnapshotData>,
    requested_index: u64,
    durable_index: u64,
    outstanding: VecDeque<OutstandingRequest>,
    new_actions: Vec<DeferredAction>,
    deferred: VecDeque<(PersistId, DeferredAction)>,
}

#[derive(Debug)]
struct OutstandingRequest {
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
            requested_index: durable_index,
            durable_index,
            outstanding: VecDeque::new(),
            new_actions: Vec::new(),
            deferred: VecDeque::new(),
        }
    }

    /// Gets the last index that is synced to disk.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Whether a hard state or snapshot waits for the next request.
    pub(crate) fn is_pending(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some()
    }

    /// Whether a request is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        !self.outstanding.is_empty()
    }

    /// Adds a hard state to the next request.
    pub(crate) fn put_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = Some(hard_state);
    }

    /// Adds a snapshot, which replaces the log up to its index, to the next request.
    pub(crate) fn put_snapshot(&mut self, snapshot: SnapshotData) {
        self.snapshot = Some(snapshot);
    }

    /// Records that the log was replaced by a snapshot up to an index.
    pub(crate) fn reset_to(&mut self, index: u64) {
        self.truncate_from(index + 1);
        self.requested_index = index;
    }

    /// Records that the entries from this index on were replaced in memory.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let last_index = index.saturating_sub(1);
        self.requested_index = self.requested_index.min(last_index);
        self.durable_index = self.durable_index.min(last_index);
        for request in &mut self.outstanding {
            request.last_index = request.last_index.min(last_index);
        }
    }

    /// Defers an action until all requests, including that of this step, are
    /// synced.
    pub(crate) fn defer(&mut self, action: DeferredAction) {
        self.new_actions.push(action);
    }

    /// Creates the next request if there is something to write. With
    /// `group_commit`, entries wait while a request is in flight, so that one
    /// sync covers all proposals that arrive in the meantime.
    pub(crate) fn next_request(&mut self, log: &Log, group_commit: bool) -> Option<PersistRequest> {
        let held_back = group_commit && !self.outstanding.is_empty();
        let has_entries = log.last_index() > self.requested_index && !held_back;
        if !self.is_pending() && !has_entries {
            return None;
        }
        let snapshot = self.snapshot.take();
        if let Some(snapshot) = &snapshot {
            self.requested_index = self.requested_index.max(snapshot.index);
        }
        let entries = log.entries_from(self.requested_index + 1, u64::MAX);
        self.requested_index = log.last_index();
        self.last_id += 1;
        self.outstanding.push_back(OutstandingRequest {
            id: self.last_id,
            last_index: self.requested_index,
        });
        Some(PersistRequest {
            id: self.last_id,
            hard_state: self.hard_state.take(),
            snapshot,
            entries,
        })
    }

    /// Gets the actions of this step if no request is in flight, else defers them
    /// until the last request is synced.
    pub(crate) fn release_new_actions(&mut self) -> Vec<DeferredAction> {
        let new_actions = std::mem::take(&mut self.new_actions);
        let Some(last) = self.outstanding.back() else {
            return new_actions;
        };
        let waiting = new_actions.into_iter().map(|action| (last.id, action));
        self.deferred.extend(waiting);
        Vec::new()
    }

    /// Records that all requests up to `id` are synced and gets the actions that
    /// waited for them.
    pub(crate) fn mark_synced(&mut self, id: PersistId) -> Vec<DeferredAction> {
        while let Some(request) = self.outstanding.pop_front_if(|request| request.id <= id) {
            self.durable_index = self.durable_index.max(request.last_index);
        }
        let mut released = Vec::new();
        while let Some((_, action)) = self
            .deferred
            .pop_front_if(|(request_id, _)| *request_id <= id)
        {
            released.push(action);
        }
        released
    }
}
