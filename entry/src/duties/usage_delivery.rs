//! Delivers this entry's counts of each usage window directly to the lease holder.
//!
//! Gossip brings the counts too, but in a large system later than the report is due.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::EntryName;
use crate::Node;
use crate::Usage;

/// Minimum time from the end of a window to the delivery, in which responses are still counted
/// towards it.
const MIN_DELIVERY_DELAY: Duration = Duration::from_millis(200);

/// Time per entry over which the first attempts of all entries are spread, so that the rate at
/// which the holder receives them does not grow with the number of entries.
const SPREAD_PER_ENTRY: Duration = Duration::from_millis(7);

/// Maximum time over which they are spread; the holder sums up the counts 5 s after the window.
const MAX_SPREAD: Duration = Duration::from_millis(2300);

/// Number of attempts, each of which goes to the holder known then.
const MAX_ATTEMPTS: usize = 3;

/// Pause between two attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of newest windows in a delivery, so that one lost delivery loses no counts.
const DELIVERED_WINDOWS: usize = 2;

/// Usage of an entry, sent to the lease holder.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UsageDelivery {
    /// Entry that counted.
    pub entry: EntryName,
    /// Start of the entry's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Counts of the newest windows.
    pub usage: Usage,
}

/// Delivers the counts of each window after its end until the process ends.
pub async fn deliver_usage(node: Arc<Node>) {
    loop {
        let entries = u32::try_from(node.entry_count()).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_ENTRY.saturating_mul(entries).min(MAX_SPREAD);
        let delay = MIN_DELIVERY_DELAY + spread.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(time_to_window_end(&node) + delay).await;
        for _ in 0..MAX_ATTEMPTS {
            if deliver_newest(&node).await {
                break;
            }
            tokio::time::sleep(ATTEMPT_INTERVAL).await;
        }
    }
}

/// Sends the newest windows to the lease holder once; returns whether nothing is left to send.
pub async fn deliver_newest(node: &Node) -> bool {
    let usage = node.usage.lock().newest(DELIVERED_WINDOWS);
    let holder = node.lease.lock().holder();
    if usage.is_empty() || holder.as_ref() == Some(&node.settings.name) {
        return true;
    }
    let Some(address) = holder.and_then(|name| peer_address(node, &name)) else {
        return false;
    };
    let delivery = UsageDelivery {
        entry: node.settings.name.clone(),
        incarnation: node.incarnation(),
        usage,
    };
    node.peers.deliver_usage(address, delivery).await
}

fn peer_address(node: &Node, name: &EntryName) -> Option<SocketAddr> {
    let members = node.members.lock();
    let mut peers = members.iter();
    let peer = peers.find(|p| p.state.name == *name)?;
    Some(peer.state.peer_address)
}

fn time_to_window_end(node: &Node) -> Duration {
    let length = crate::millis(node.settings.usage_window).max(1);
    Duration::from_millis(length - node.synchronized_millis() % length)
}
