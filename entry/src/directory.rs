//! Directory of the entries to which callers may connect.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::Node;

/// Time for which callers may cache a response.
const RESPONSE_TTL: Duration = Duration::from_secs(2);

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Response to a caller that asks for entries to connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryResponse {
    /// Addresses of entries that accept callers.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may cache the response.
    pub ttl: Duration,
}

impl DirectoryResponse {
    /// Lists the entries that accept callers; returns `None` if none is known.
    pub fn for_node(node: &Node, now: Instant) -> Option<Self> {
        let addresses = node.caller_addresses(now, MAX_ADDRESSES);
        (!addresses.is_empty()).then_some(Self {
            addresses,
            ttl: RESPONSE_TTL,
        })
    }
}
