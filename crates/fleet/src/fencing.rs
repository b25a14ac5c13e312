//! Generations: numbers that rise with each owner of a worker.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Bits of a generation that name the host.
const HOST_BITS: u32 = 24;

/// Start of the count of seconds, 2024-01-01T00:00:00Z, so that generations
/// stay below the 2^53 that JSON numbers hold exactly.
const EPOCH_UNIX_S: u64 = 1_704_067_200;

/// `Generation` orders the owners of a worker; a worker obeys only the highest
/// one it has seen. No two hosts make the same one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Gets the largest generation of a second.
    pub(crate) const fn of_seconds(seconds: u64) -> Self {
        Self(seconds << HOST_BITS | ((1 << HOST_BITS) - 1))
    }

    /// Gets the seconds part.
    pub(crate) fn seconds(self) -> u64 {
        self.0 >> HOST_BITS
    }
}

/// `Generations` makes the generations of one host.
#[derive(Clone, Debug)]
pub(crate) struct FencingTokens {
    host: u64,
    last_seconds: u64,
}

impl FencingTokens {
    /// Creates the source of a host, told apart by its address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let host = match address {
            SocketAddr::V4(address) => u64::from(address.ip().to_bits()),
            SocketAddr::V6(address) => address.ip().to_bits() as u64,
        };
        Self {
            host: host & ((1 << HOST_BITS) - 1),
            last_seconds: 0,
        }
    }

    /// Makes a generation above all that this host has made, and above that of
    /// a former owner if it is known.
    pub(crate) fn next(&mut self, unix_ms: u64, above: Option<FencingToken>) -> FencingToken {
        let clock = (unix_ms / 1000).saturating_sub(EPOCH_UNIX_S);
        let former = above.map_or(0, |fencing_token| fencing_token.seconds() + 1);
        self.last_seconds = clock.max(self.last_seconds + 1).max(former);
        FencingToken(self.last_seconds << HOST_BITS | self.host)
    }
}
