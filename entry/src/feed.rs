//! Follows what the platform lists: the operators' orders and the endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::Config;
use crate::EndpointEntry;
use crate::EndpointId;
use crate::EntryName;
use crate::Node;
use crate::RolloutOrder;
use crate::TableChange;

/// Time for which a read waits for the first update in a small system.
const WAIT_LEAST: Duration = Duration::from_secs(5);

/// Waiting time for each entry that reads, so that all together make few calls.
const WAIT_PER_ENTRY: Duration = Duration::from_millis(170);

/// Longest time for which a read waits: a connection may have gone silent meanwhile.
const WAIT_MOST: Duration = Duration::from_secs(15);

/// Pause after a read in a small system, so that updates are read in batches.
const BATCH_LEAST: Duration = Duration::from_millis(400);

/// Pause for each entry that reads, so that all together make few calls.
const BATCH_PER_ENTRY: Duration = Duration::from_millis(50);

/// Longest pause as a part of the time that endpoints which leave still serve.
const BATCH_SHARE: f64 = 0.55;

/// Pause after a failed call; doubles with each failure in a row.
const BACKOFF_LEAST: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const BACKOFF_MOST: Duration = Duration::from_millis(800);

/// One of the platform's lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feed {
    /// What operators order: the configuration and rollouts.
    Orders,
    /// Endpoints.
    Endpoints,
}

/// One thing that a feed tells.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration.
    Config(Box<Config>),
    /// An order to roll a version out.
    Rollout(RolloutOrder),
    /// An endpoint's newest entry.
    Endpoint(EndpointEntry),
    /// An endpoint that is no longer listed.
    Gone(EndpointId),
}

/// Updates in order.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    /// Updates; those that could not be read are left out.
    pub list: Vec<Update>,
    /// Position from which to read on.
    pub next: u64,
}

/// the feed could not be read: {0}
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub struct FeedError(pub String);

/// The edge towards the platform's lists.
pub trait FeedEdge: Send + Sync + 'static {
    /// Reads a whole list as it stands.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when it cannot be read.
    fn snapshot(&self, feed: Feed) -> impl Future<Output = Result<Updates, FeedError>> + Send;

    /// Reads on from a position, waiting for the first update for at most `wait`; returns
    /// `None` when what follows the position is no longer kept.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when nothing can be read.
    fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Updates>, FeedError>> + Send;

    /// Lists an entry's address for peers.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when it is not known to be listed.
    fn announce(
        &self,
        name: &EntryName,
        address: SocketAddr,
    ) -> impl Future<Output = Result<(), FeedError>> + Send;

    /// Reads the addresses that entries have announced.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when they cannot be read.
    fn announced(
        &self,
    ) -> impl Future<Output = Result<Vec<(EntryName, SocketAddr)>, FeedError>> + Send;
}

/// Follows a feed until the process ends.
pub async fn follow<E: FeedEdge>(edge: Arc<E>, node: Arc<Node>, feed: Feed) {
    let mut from = None;
    let mut backoff = BACKOFF_LEAST;
    let mut reachable = true;
    loop {
        match advance(&*edge, &node, feed, from).await {
            Ok(next) => {
                if !std::mem::replace(&mut reachable, true) {
                    tracing::info!(event = "dependency_regained", ?feed);
                }
                from = next;
                backoff = BACKOFF_LEAST;
            }
            Err(error) => {
                if std::mem::replace(&mut reachable, false) {
                    tracing::warn!(event = "dependency_lost", ?feed, %error);
                }
                if feed == Feed::Endpoints {
                    node.endpoints.lock().note_outage(Instant::now());
                }
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MOST);
            }
        }
    }
}

/// Reads on once and returns the position to read from next, `None` to start over.
async fn advance<E: FeedEdge>(
    edge: &E,
    node: &Node,
    feed: Feed,
    from: Option<u64>,
) -> Result<Option<u64>, FeedError> {
    let Some(from) = from else {
        let whole = edge.snapshot(feed).await?;
        replace(node, feed, whole.list);
        return Ok(Some(whole.next));
    };
    let Some(updates) = edge.read(feed, from, read_wait(node)).await? else {
        tracing::info!(event = "history_gone", ?feed, from);
        return Ok(None);
    };
    if updates.next < from {
        tracing::warn!(event = "foreign_offset", ?feed, from, next = updates.next);
        return Ok(None);
    }
    let any = updates.next > from;
    for update in updates.list {
        apply(node, update);
    }
    if any {
        tokio::time::sleep(batch_pause(node, feed)).await;
    }
    Ok(Some(updates.next))
}

/// Returns the time for which a read waits for the first update.
fn read_wait(node: &Node) -> Duration {
    let entries = u32::try_from(node.entry_count()).unwrap_or(u32::MAX);
    let wait = WAIT_PER_ENTRY.saturating_mul(entries);
    wait.clamp(WAIT_LEAST, WAIT_MOST)
}

/// Returns the pause after a read that brought updates.
fn batch_pause(node: &Node, feed: Feed) -> Duration {
    match feed {
        Feed::Orders => BATCH_LEAST,
        Feed::Endpoints => {
            let entries = u32::try_from(node.entry_count()).unwrap_or(u32::MAX);
            let pause = BATCH_PER_ENTRY.saturating_mul(entries);
            let most = node.settings.drain.mul_f64(BATCH_SHARE);
            pause.min(most).max(BATCH_LEAST)
        }
    }
}

/// Takes over a whole list.
fn replace(node: &Node, feed: Feed, updates: Vec<Update>) {
    match feed {
        Feed::Orders => {
            for update in updates {
                apply(node, update);
            }
        }
        Feed::Endpoints => {
            let endpoints = updates.into_iter().filter_map(|update| match update {
                Update::Endpoint(entry) => Some(entry),
                _ => None,
            });
            let endpoints: Vec<_> = endpoints.collect();
            tracing::info!(
                event = "endpoints",
                count = endpoints.len(),
                source = "store",
                "list of endpoints known"
            );
            node.endpoints.lock().replace(endpoints, Instant::now());
            node.freed.notify_waiters();
        }
    }
}

/// Takes over one update.
fn apply(node: &Node, update: Update) {
    match update {
        Update::Config(config) => {
            node.apply_config(*config, "store");
        }
        Update::Rollout(order) => node.note_rollout(order),
        Update::Endpoint(entry) => {
            let id = entry.id.clone();
            let change = change_endpoints(node, |table, _| table.apply(entry));
            log_change(&id, change);
        }
        Update::Gone(id) => {
            let change = change_endpoints(node, |table, now| table.remove(&id, now));
            log_change(&id, change);
        }
    }
}

fn change_endpoints(
    node: &Node,
    change: impl FnOnce(&mut crate::EndpointTable, Instant) -> TableChange,
) -> TableChange {
    let now = Instant::now();
    let mut endpoints = node.endpoints.lock();
    let change = change(&mut endpoints, now);
    endpoints.sweep(now);
    change
}

fn log_change(id: &EndpointId, change: TableChange) {
    match change {
        TableChange::None => {}
        TableChange::Joined => tracing::info!(event = "endpoint_joined", endpoint = %id),
        TableChange::Leaving => tracing::info!(event = "endpoint_leaving", endpoint = %id),
    }
}
