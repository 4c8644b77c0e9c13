//! Rendezvous hashing: all processes that know the same nodes rank them in the same order for a
//! key.
//!
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.

use xxhash_rust::xxh3::xxh3_64;

use crate::NodeName;

/// Returns the nodes in descending order of their hash for a key.
pub fn rank_nodes<'a>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a NodeName>,
) -> Vec<&'a NodeName> {
    let mut ranked: Vec<(u64, &NodeName)> = nodes
        .into_iter()
        .map(|node| (xxh3_64(format!("{key}/{node}").as_bytes()), node))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}
