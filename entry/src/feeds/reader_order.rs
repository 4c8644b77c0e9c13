//! Order of the entries of a failure domain in which they read feeds for the others.

use std::cmp::Reverse;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::EntryName;
use crate::Node;

/// Number of readers in each failure domain, so that one may fail.
pub(crate) const READERS_PER_DOMAIN: usize = 2;

/// Key by which the entries of a domain are ordered.
///
/// Those with the fastest links are first, as a reader receives every heartbeat of thousands of endpoints
/// and sends what it reads to the whole domain; a hash orders those with equal links.
pub(crate) type ReaderKey = (Reverse<u32>, u64);

/// Returns the key of an entry.
pub(crate) fn reader_key(link_mbps: u32, name: &EntryName) -> ReaderKey {
    let hash = xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes());
    (Reverse(link_mbps), hash)
}

/// Returns the key of this entry.
pub(crate) fn own_key(node: &Node) -> ReaderKey {
    let settings = &node.settings;
    reader_key(settings.resources.link_mbps, &settings.name)
}

/// Live entries of this entry's failure domain without itself, in order.
#[derive(Debug)]
pub(crate) struct DomainOrder {
    /// Addresses for peers.
    pub(crate) peers: Vec<SocketAddr>,
    /// Number of them before this entry.
    pub(crate) rank: usize,
}

/// Returns the order of the live entries of this entry's failure domain.
pub(crate) fn domain_order(node: &Node) -> DomainOrder {
    let own = own_key(node);
    let members = node.members.lock();
    let live = members.live(Instant::now()).map(|p| &p.state);
    let domain = live.filter(|s| s.domain == node.settings.domain);
    let keyed = domain.map(|s| (reader_key(s.link_mbps, &s.name), s.peer_address));
    let mut keyed: Vec<_> = keyed.collect();
    drop(members);
    keyed.sort_unstable();
    let rank = keyed.partition_point(|(key, _)| *key < own);
    DomainOrder {
        peers: keyed.into_iter().map(|(_, address)| address).collect(),
        rank,
    }
}
