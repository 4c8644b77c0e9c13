//! Discovery of an entry's first peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::stream;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::FeedClient;
use crate::Node;
use crate::exchange_with;

/// Interval at which an entry checks whether it needs to search for peers.
const SEARCH_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of announced entries contacted per search; gossip finds the others.
const SEARCH_FAN_OUT: usize = 16;

/// Time that the first peer has to bring the configuration and some states in a large system, before others
/// are asked as well.
const FIRST_EXCHANGE_TIME: Duration = Duration::from_millis(300);

/// Maximum number of concurrent exchanges, as some entries may be gone and time out.
const MAX_CONCURRENT_EXCHANGES: usize = 8;

/// Announces this entry's address and contacts announced entries; repeats whenever no peer is live,
/// the announcement has not succeeded, or the store may have lost it with an earlier era. Runs
/// until the process ends.
pub async fn find_peers<E: FeedClient>(client: Arc<E>, node: Arc<Node>) {
    let settings = &node.settings;
    // Era of the store that has the announcement.
    let mut announced = None;
    loop {
        if announced != Some(client.store_era()) {
            let outcome = client.announce(&settings.name, settings.peer_address).await;
            if let Err(error) = &outcome {
                tracing::debug!(event = "announce_failed", %error);
            }
            announced = outcome.is_ok().then(|| client.store_era());
        }
        exchange_with_announced(&*client, &node).await;
        node.list_start.set_searched();
        loop {
            tokio::time::sleep(SEARCH_INTERVAL).await;
            let no_live_peers = node.members.lock().live(Instant::now()).count() == 0;
            if no_live_peers || announced != Some(client.store_era()) {
                break;
            }
        }
    }
}

async fn exchange_with_announced<E: FeedClient>(client: &E, node: &Arc<Node>) {
    let entries = match client.announced_entries().await {
        Ok(entries) => entries,
        Err(error) => {
            tracing::debug!(event = "announced_unread", %error);
            return;
        }
    };
    let others = entries
        .into_iter()
        .filter(|(name, _)| *name != node.settings.name);
    let others: Vec<_> = others.collect();
    node.list_start.set_announced(others.len());
    let contacted = others
        .into_iter()
        .choose_multiple(&mut rand::rng(), SEARCH_FAN_OUT);
    let mut addresses: Vec<SocketAddr> = contacted.into_iter().map(|(_, a)| a).collect();
    let Some(first) = addresses.pop() else {
        return;
    };
    let mut first = exchange_with(node, None, first).boxed();
    // Otherwise all replies bring the same configuration, which may be large.
    let is_answered = node.list_start.is_copying()
        && tokio::time::timeout(FIRST_EXCHANGE_TIME, &mut first)
            .await
            .is_ok();
    let others = addresses.into_iter();
    let others: Vec<_> = others
        .map(|address| exchange_with(node, None, address).boxed())
        .collect();
    let others = stream::iter(others).buffer_unordered(MAX_CONCURRENT_EXCHANGES);
    let others = others.count();
    if is_answered {
        others.await;
    } else {
        futures_util::future::join(first, others).await;
    }
}
