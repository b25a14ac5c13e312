//! What entry hosts tell each other about queues that slow each other down.

use std::hash::Hasher;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Largest number of pairs of a summary. Encoded it has at most 512 bytes: a pair
/// takes up to 16 with integers of variable length and 12 with fixed ones.
pub const MAX_SUMMARY_PAIRS: usize = 30;

/// `PairSummary` is the factor of an ordered pair of queues.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PairSummary {
    /// Hash of the name of the queue that is slowed down. Ids differ between hosts,
    /// and names would not fit.
    pub victim: u32,
    /// Hash of the name of the queue that slows it down.
    pub aggressor: u32,
    /// Factor on the run time of the victim, in thousandths.
    pub factor_milli: u16,
    /// Number of runs with full overlap that the factor is worth.
    pub runs: u16,
}

/// `InterferenceSummary` holds the pairs with the most certain effects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InterferenceSummary {
    /// The pairs, the most certain first.
    pub pairs: Vec<PairSummary>,
}

impl InterferenceSummary {
    /// Creates a summary of the most certain of the pairs.
    pub fn new(mut pairs: Vec<PairSummary>) -> Self {
        pairs.sort_by_key(|pair| std::cmp::Reverse(certainty(pair)));
        pairs.truncate(MAX_SUMMARY_PAIRS);
        Self { pairs }
    }

    /// Combines this summary with that of another host. The factors of a pair
    /// are weighted by their runs.
    pub fn merge(&self, other: &Self) -> Self {
        let mut merged: IndexMap<(u32, u32), PairSummary> = IndexMap::new();
        for pair in self.pairs.iter().chain(&other.pairs) {
            let entry = merged.entry((pair.victim, pair.aggressor));
            entry
                .and_modify(|known| *known = combine(known, pair))
                .or_insert(*pair);
        }
        Self::new(merged.into_values().collect())
    }
}

/// Gets the hash of the name of a queue, which is the same on all hosts.
pub(crate) fn hash_of(queue: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(queue.as_bytes());
    (hasher.finish() & u64::from(u32::MAX)) as u32
}

fn combine(a: &PairSummary, b: &PairSummary) -> PairSummary {
    let (a_runs, b_runs) = (u32::from(a.runs), u32::from(b.runs));
    let runs = a_runs + b_runs;
    let weighted = u32::from(a.factor_milli) * a_runs + u32::from(b.factor_milli) * b_runs;
    let factor = weighted.checked_div(runs);
    let factor = factor.unwrap_or(u32::from(a.factor_milli));
    PairSummary {
        factor_milli: u16::try_from(factor).unwrap_or(u16::MAX),
        runs: u16::try_from(runs).unwrap_or(u16::MAX),
        ..*a
    }
}

/// Orders pairs by how much is known about how large an effect.
fn certainty(pair: &PairSummary) -> u32 {
    let effect = u32::from(pair.factor_milli.abs_diff(1000));
    effect.saturating_mul(u32::from(pair.runs))
}
