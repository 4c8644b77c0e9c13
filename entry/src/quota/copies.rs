//! Sends copies of the buckets that this entry owns to the entries that take over if it fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::CustomerName;
use crate::EntryName;
use crate::Node;
use crate::QuotaCopy;
use crate::quota::owner::ready_peers;
use crate::quota::route::quota_standbys;

/// Minimum time between copies. At the reference systems' rates it bounds what an entry that takes
/// over admits a second time to a tenth of a second's quota.
const COPY_INTERVAL: Duration = Duration::from_millis(100);

/// Copies that the standbys have confirmed.
#[derive(Debug, Default)]
pub(crate) struct QuotaCopies {
    changed: Notify,
    /// Time as of which each standby has a customer's bucket.
    confirmed: Mutex<IndexMap<(CustomerName, EntryName), Instant>>,
}

impl QuotaCopies {
    /// Has copies sent if a bucket that this entry owns has changed.
    pub(crate) fn notify_change(&self) {
        self.changed.notify_one();
    }
}

type Batches = IndexMap<(EntryName, SocketAddr), Vec<QuotaCopy>>;

/// Sends copies of the owned buckets that have changed until the process ends.
pub async fn send_quota_copies(node: &Arc<Node>) {
    loop {
        node.quota_copies.changed.notified().await;
        let now = Instant::now();
        for ((peer, address), copies) in take_copies(node, now) {
            let node = Arc::clone(node);
            tokio::spawn(async move { send(&node, peer, address, copies, now).await });
        }
        tokio::time::sleep(COPY_INTERVAL).await;
    }
}

async fn send(
    node: &Node,
    peer: EntryName,
    address: SocketAddr,
    copies: Vec<QuotaCopy>,
    as_of: Instant,
) {
    let customers: Vec<_> = copies.iter().map(|c| c.customer.clone()).collect();
    if node
        .peers
        .send_quota_copies(address, copies)
        .await
        .is_none()
    {
        return;
    }
    let mut confirmed = node.quota_copies.confirmed.lock();
    for customer in customers {
        confirmed.insert((customer, peer.clone()), as_of);
    }
}

/// Returns the copies to send at `now`, by receiver.
fn take_copies(node: &Node, now: Instant) -> Batches {
    let mut batches = Batches::new();
    let Some(config) = node.config() else {
        return batches;
    };
    for customer in config.customers.iter().filter(|c| c.quota.rate > 0.0) {
        let Some(decided) = node.quotas.lock().last_decision(&customer.name) else {
            continue;
        };
        let standbys = find_standbys(node, &customer.name, now);
        let mut confirmed = node.quota_copies.confirmed.lock();
        // An entry that becomes a standby again gets all charges.
        confirmed.retain(|(name, peer), _| {
            *name != customer.name || standbys.iter().any(|(standby, _)| standby == peer)
        });
        for (standby, address) in standbys {
            let key = (customer.name.clone(), standby);
            let since = confirmed.get(&key).copied();
            if since.is_some_and(|since| decided < since) {
                continue;
            }
            let own = (&node.settings.name, node.incarnation());
            let mut quotas = node.quotas.lock();
            let copy = quotas.copy(&customer.name, customer.quota, own, since, now);
            batches.entry((key.1, address)).or_default().push(copy);
        }
    }
    batches
}

fn find_standbys(
    node: &Node,
    customer: &CustomerName,
    now: Instant,
) -> Vec<(EntryName, SocketAddr)> {
    let silent = node.silent_owners.lock();
    let members = node.members.lock();
    let answers = |peer: &EntryName| silent.answers(peer, now);
    let peers = ready_peers(&members, now);
    quota_standbys(customer.as_str(), &node.settings.name, peers, answers)
}

/// Applies copies of buckets that their owner has sent.
pub(crate) fn apply_copies(node: &Node, copies: &[QuotaCopy]) {
    let Some(config) = node.config() else {
        return;
    };
    let now = Instant::now();
    let mut quotas = node.quotas.lock();
    for copy in copies {
        let customer = config.customers.iter().find(|c| c.name == copy.customer);
        if let Some(customer) = customer {
            quotas.apply_copy(copy, customer.quota, &node.settings.name, now);
        }
    }
}
