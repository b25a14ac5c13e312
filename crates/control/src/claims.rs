//! Claims of requests that are not repeatable.

use std::collections::{BTreeMap, BTreeSet};

use hornbeam_core::ids::{ClaimKey, JobId};
use serde::{Deserialize, Serialize};

use crate::command::{ClaimCommand, ClaimResult};

/// Time for which a claim is kept after the validity of its request, in ms. It
/// covers the clock skew between entry hosts and leaders.
pub const CLAIM_CLOCK_SKEW_MARGIN_MS: u64 = 30_000;

/// `Claims` holds the claims that have not expired.
///
/// Expiry uses the largest leader wall clock in the log, so that it is the same on
/// all replicas and a leader with a slow clock cannot revive an expired claim.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) struct Claims {
    clock_unix_ms: u64,
    by_key: BTreeMap<ClaimKey, Claim>,
    by_validity: BTreeSet<(u64, ClaimKey)>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct Claim {
    token: JobId,
    valid_until_unix_ms: u64,
}

impl Claims {
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Applies a claim command.
    pub(crate) fn apply(&mut self, command: &ClaimCommand) -> ClaimResult {
        self.clock_unix_ms = self.clock_unix_ms.max(command.now_unix_ms);
        self.remove_expired();
        if command.valid_until_unix_ms <= self.clock_unix_ms {
            return ClaimResult::Expired;
        }
        match self.by_key.get(&command.key) {
            Some(held) if held.token != command.token => ClaimResult::AlreadyClaimed,
            Some(held) => {
                let held_until = held.valid_until_unix_ms;
                self.record_claim(command, held_until)
            }
            None => self.record_claim(command, 0),
        }
    }

    /// Records a claim with the later of the two validities.
    fn record_claim(&mut self, command: &ClaimCommand, held_until_unix_ms: u64) -> ClaimResult {
        let valid_until_unix_ms = command.valid_until_unix_ms.max(held_until_unix_ms);
        let key = &command.key;
        self.by_validity.remove(&(held_until_unix_ms, key.clone()));
        self.by_validity.insert((valid_until_unix_ms, key.clone()));
        let claim = Claim {
            token: command.token.clone(),
            valid_until_unix_ms,
        };
        self.by_key.insert(key.clone(), claim);
        ClaimResult::Recorded
    }

    fn remove_expired(&mut self) {
        while let Some((valid_until_unix_ms, _)) = self.by_validity.first() {
            if valid_until_unix_ms.saturating_add(CLAIM_CLOCK_SKEW_MARGIN_MS) > self.clock_unix_ms {
                return;
            }
            if let Some((_, key)) = self.by_validity.pop_first() {
                self.by_key.remove(&key);
            }
        }
    }
}
