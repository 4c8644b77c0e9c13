//! Order of the live entries, in which they take turns.

use tokio::time::Instant;

use crate::EntryName;
use crate::Node;

/// Returns the number of live entries before this one, in an order by hash that is the same everywhere.
pub(crate) fn live_rank(node: &Node) -> usize {
    let hash = |name: &EntryName| xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes());
    let own = hash(&node.settings.name);
    let members = node.members.lock();
    let live = members.live(Instant::now());
    live.filter(|p| hash(&p.state.name) < own).count()
}
