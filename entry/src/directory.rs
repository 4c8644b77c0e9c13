//! Which entries callers are sent to.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::Node;

/// Time for which callers keep an answer.
const KEEP_FOR: Duration = Duration::from_secs(2);

/// Addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// An answer to callers that ask where to connect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory {
    /// Addresses of entries that take callers.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the answer may be kept.
    pub keep_for: Duration,
}

impl Directory {
    /// Lists the entries that take callers; `None` if none is known to.
    pub fn of(node: &Node, now: Instant) -> Option<Self> {
        let addresses = node.caller_addresses(now, MAX_ADDRESSES);
        (!addresses.is_empty()).then_some(Self {
            addresses,
            keep_for: KEEP_FOR,
        })
    }
}
