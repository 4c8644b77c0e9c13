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
        let addresses = caller_addresses(node, now);
        (!addresses.is_empty()).then_some(Self {
            addresses,
            ttl: RESPONSE_TTL,
        })
    }
}

/// Returns the addresses of at most [`MAX_ADDRESSES`] ready entries, this one first.
///
/// Entries that do not reach endpoints are left out as long as most do: requests to them take a
/// detour, but a few entries do not have room for all callers.
fn caller_addresses(node: &Node, now: Instant) -> Vec<SocketAddr> {
    let members = node.members.lock();
    let peers = members.live(now).map(|p| &p.state).filter(|s| s.ready);
    let peers = peers.map(|s| (s.front_address, s.reaches_endpoints));
    let own = (node.settings.front_address, node.reaches_endpoints());
    let own = node.is_ready().then_some(own);
    let ready: Vec<(SocketAddr, bool)> = own.into_iter().chain(peers).collect();
    let reaching = ready.iter().filter(|(_, reaches)| *reaches).count();
    let with_all = reaching * 2 <= ready.len();
    let listed = ready
        .into_iter()
        .filter(|(_, reaches)| *reaches || with_all);
    listed
        .map(|(address, _)| address)
        .take(MAX_ADDRESSES)
        .collect()
}
