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

/// Maximum time from the end of a window to the first attempt; attempts of all entries are spread
/// up to it.
const MAX_DELIVERY_DELAY: Duration = Duration::from_millis(1200);

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
        let delay = rand::rng().random_range(MIN_DELIVERY_DELAY..MAX_DELIVERY_DELAY);
        tokio::time::sleep(time_to_window_end(&node) + delay).await;
        for _ in 0..MAX_ATTEMPTS {
            if deliver_once(&node).await {
                break;
            }
            tokio::time::sleep(ATTEMPT_INTERVAL).await;
        }
    }
}

/// Sends the newest windows to the holder; returns whether nothing is left to send.
async fn deliver_once(node: &Node) -> bool {
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
