//! Fencing tokens, which increase with each owner of a worker.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Bits of a fencing token that identify the host.
const HOST_BITS: u32 = 24;

/// Epoch of the seconds part, 2024-01-01T00:00:00Z. It keeps tokens below 2^53,
/// the range in which JSON numbers are exact.
const EPOCH_UNIX_S: u64 = 1_704_067_200;

/// `FencingToken` orders the owners of a worker. A worker obeys only the
/// highest token it has seen, and no two hosts create the same one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Gets the largest token of a second.
    pub(crate) const fn of_seconds(seconds: u64) -> Self {
        Self(seconds << HOST_BITS | ((1 << HOST_BITS) - 1))
    }

    /// Gets the seconds since the token epoch.
    pub(crate) fn seconds(self) -> u64 {
        self.0 >> HOST_BITS
    }
}

/// `FencingTokens` creates the tokens of one host.
#[derive(Clone, Debug)]
pub(crate) struct FencingTokens {
    host: u64,
    last_seconds: u64,
}

impl FencingTokens {
    /// Creates the token source of a host, which its address identifies.
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

    /// Creates a token above all earlier ones of this host, and above that of
    /// the former owner if it is known.
    pub(crate) fn next(&mut self, unix_ms: u64, above: Option<FencingToken>) -> FencingToken {
        let clock = (unix_ms / 1000).saturating_sub(EPOCH_UNIX_S);
        let former = above.map_or(0, |token| token.seconds() + 1);
        self.last_seconds = clock.max(self.last_seconds + 1).max(former);
        FencingToken(self.last_seconds << HOST_BITS | self.host)
    }
}
