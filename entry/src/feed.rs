//! Follows the platform's feeds of operators' orders and endpoints by long polling.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::Config;
use crate::EndpointId;
use crate::EndpointPage;
use crate::EndpointRecord;
use crate::EntryName;
use crate::ListRole;
use crate::Node;
use crate::RolloutOrder;
use crate::StoreEra;
use crate::TableChange;
use crate::endpoint_relay::Position;
use crate::endpoint_relay::pass_on;
use crate::is_list_supplied;
use crate::list_role;

/// Minimum time that a read waits for the first update.
const MIN_POLL_WAIT: Duration = Duration::from_secs(5);

/// Poll wait per entry, which bounds the total rate of reads by all entries.
const POLL_WAIT_PER_ENTRY: Duration = Duration::from_millis(170);

/// Maximum time that a read waits, so that a dead connection is noticed.
const MAX_POLL_WAIT: Duration = Duration::from_secs(15);

/// Minimum delay after a read that returned updates, so that updates are read in batches.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(400);

/// Batch delay per entry, which bounds the total rate of reads by all entries.
const BATCH_DELAY_PER_ENTRY: Duration = Duration::from_millis(50);

/// Divisor of the batch delay that gives the poll wait and the delay of an entry that reads for its
/// failure domain, so that the others know its updates within the batch delay.
const READER_DIVISOR: u32 = 4;

/// Interval at which an entry checks whether it has to read the endpoint list itself.
const SUPPLY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum batch delay as a fraction of the drain period, so that a draining endpoint is known
/// before it stops serving.
const MAX_BATCH_DELAY_FRACTION: f64 = 0.55;

/// Delay after the first failed call; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum size of a page of operators' orders, in KiB: about one large configuration.
const ORDERS_PAGE_KIB: u64 = 256;

/// Maximum delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// A feed of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feed {
    /// Operators' orders: the configuration and rollouts.
    Orders,
    /// Endpoints of all services.
    Endpoints,
}

impl Feed {
    /// Returns the maximum size of a page of updates, in KiB; `None` for the store's own maximum.
    pub const fn max_page_kib(self) -> Option<u64> {
        match self {
            Self::Orders => Some(ORDERS_PAGE_KIB),
            Self::Endpoints => None,
        }
    }
}

/// One update of a feed.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new configuration.
    Config(Box<Config>),
    /// An order to roll out a version.
    Rollout(RolloutOrder),
    /// The current state of an endpoint.
    Endpoint(EndpointRecord),
    /// An endpoint that was removed from the list.
    Removed(EndpointId),
}

/// Result of reading a feed.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    /// Updates in order; records that could not be parsed are skipped.
    pub updates: Vec<Update>,
    /// Position of the next read.
    pub next_position: u64,
    /// Whether there are further updates, which did not fit into the response.
    pub has_more: bool,
}

/// request to the platform failed: {0}
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub struct FeedError(pub String);

/// Client for the platform's feeds and its list of entries.
pub trait FeedClient: Send + Sync + 'static {
    /// Returns the newest era of the store that any of its responses has named.
    fn store_era(&self) -> StoreEra;

    /// Reads the current content of a feed.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the feed cannot be read.
    fn snapshot(&self, feed: Feed) -> impl Future<Output = Result<Updates, FeedError>> + Send;

    /// Reads updates from a position, waiting for the first update for at most `wait` and returning
    /// at most [`Feed::max_page_kib`]; returns `None` when updates after the position are no longer
    /// retained.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the feed cannot be read.
    fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Updates>, FeedError>> + Send;

    /// Announces an entry's address to its peers.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the announcement is not confirmed.
    fn announce(
        &self,
        name: &EntryName,
        address: SocketAddr,
    ) -> impl Future<Output = Result<(), FeedError>> + Send;

    /// Reads the addresses that entries have announced.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the addresses cannot be read.
    fn announced_entries(
        &self,
    ) -> impl Future<Output = Result<Vec<(EntryName, SocketAddr)>, FeedError>> + Send;
}

/// Applies a feed's updates to the node until the process ends, retrying with backoff.
pub async fn follow_feed<E: FeedClient>(client: Arc<E>, node: Arc<Node>, feed: Feed) {
    let mut from = None;
    let mut backoff = INITIAL_BACKOFF;
    let mut reachable = true;
    loop {
        if feed == Feed::Endpoints {
            if is_list_supplied(&node) {
                tokio::time::sleep(SUPPLY_CHECK_INTERVAL).await;
                continue;
            }
            // Pages that readers have passed on may have moved it.
            from = node.list.lock().position();
        }
        match read_next(&*client, &node, feed, from, reachable).await {
            Ok(next) => {
                if !std::mem::replace(&mut reachable, true) {
                    tracing::info!(event = "dependency_regained", ?feed);
                }
                from = next;
                backoff = INITIAL_BACKOFF;
            }
            Err(error) => {
                if std::mem::replace(&mut reachable, false) {
                    tracing::warn!(event = "dependency_lost", ?feed, %error);
                }
                if feed == Feed::Endpoints {
                    node.endpoints.lock().record_failed_read(Instant::now());
                }
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads the feed once; returns the next position, or `None` to start over from a snapshot.
///
/// `reachable` is whether the last read succeeded.
async fn read_next<E: FeedClient>(
    client: &E,
    node: &Arc<Node>,
    feed: Feed,
    from: Option<Position>,
    reachable: bool,
) -> Result<Option<Position>, FeedError> {
    let next = read_from(client, node, feed, from, reachable).await?;
    if feed == Feed::Endpoints && next.is_none() {
        node.list.lock().reset();
    }
    Ok(next)
}

async fn read_from<E: FeedClient>(
    client: &E,
    node: &Arc<Node>,
    feed: Feed,
    from: Option<Position>,
    reachable: bool,
) -> Result<Option<Position>, FeedError> {
    let Some(position) = from else {
        return read_snapshot(client, node, feed).await;
    };
    let Position { offset: from, era } = position;
    let role = match feed {
        Feed::Orders => ListRole::Single,
        Feed::Endpoints => list_role(node),
    };
    let wait = match role {
        // A read that waits would only show after the wait whether the store responds again.
        _ if !reachable => Duration::ZERO,
        ListRole::Single => poll_wait(node),
        ListRole::Reader => batch_delay(node, feed) / READER_DIVISOR,
        ListRole::Follower => Duration::ZERO,
    };
    let started = Instant::now();
    let Some(read) = client.read(feed, from, wait).await? else {
        tracing::info!(event = "history_gone", ?feed, from);
        return Ok(None);
    };
    if read.next_position < from {
        tracing::warn!(
            event = "foreign_offset",
            ?feed,
            from,
            next = read.next_position
        );
        return Ok(None);
    }
    if client.store_era() != era {
        // Offsets have gone back and are given out again, so that updates may be missing.
        tracing::info!(
            event = "store_era_changed",
            ?feed,
            old = era.0,
            new = client.store_era().0
        );
        if feed == Feed::Endpoints {
            node.endpoints.lock().record_failed_read(Instant::now());
        }
        return Ok(None);
    }
    let has_updates = read.next_position > from;
    // A response without updates was given at the end of the wait.
    let known_at = if has_updates { started } else { started + wait };
    let known_at = known_at.min(Instant::now());
    let is_behind = feed == Feed::Orders && read.has_more;
    let page =
        (role == ListRole::Reader).then(|| EndpointPage::new(node, position, &read, known_at));
    for update in read.updates {
        apply_update(node, update);
    }
    let mut next = Some(Position {
        offset: read.next_position,
        era,
    });
    if let (Feed::Endpoints, Some(next)) = (feed, next) {
        node.list.lock().advance(next, known_at);
    }
    if is_behind {
        // A snapshot holds the newest order of each kind, which replaces those before it.
        tracing::info!(event = "orders_skipped", from);
        next = read_snapshot(client, node, feed).await?;
    }
    if let Some(page) = page {
        pass_on(node, &page).await;
    }
    if has_updates {
        let delay = match role {
            ListRole::Reader => batch_delay(node, feed) / READER_DIVISOR,
            _ => batch_delay(node, feed),
        };
        tokio::time::sleep(delay).await;
    }
    Ok(next)
}

/// Reads the current content of the feed; returns the next position, or `None` to read it again
/// because the store changed its era meanwhile.
async fn read_snapshot<E: FeedClient>(
    client: &E,
    node: &Node,
    feed: Feed,
) -> Result<Option<Position>, FeedError> {
    let before = client.store_era();
    let started = Instant::now();
    let snapshot = client.snapshot(feed).await?;
    let era = client.store_era();
    if before != StoreEra::default() && before != era {
        return Ok(None);
    }
    apply_snapshot(node, feed, snapshot.updates);
    let next = Position {
        offset: snapshot.next_position,
        era,
    };
    if feed == Feed::Endpoints {
        node.list.lock().advance(next, started);
    }
    Ok(Some(next))
}

/// Returns how long a read waits for the first update, by the number of entries.
fn poll_wait(node: &Node) -> Duration {
    let entries = u32::try_from(node.entry_count()).unwrap_or(u32::MAX);
    let wait = POLL_WAIT_PER_ENTRY.saturating_mul(entries);
    wait.clamp(MIN_POLL_WAIT, MAX_POLL_WAIT)
}

/// Returns the delay after a read that returned updates.
pub(crate) fn batch_delay(node: &Node, feed: Feed) -> Duration {
    match feed {
        Feed::Orders => MIN_BATCH_DELAY,
        Feed::Endpoints => {
            let entries = u32::try_from(node.entry_count()).unwrap_or(u32::MAX);
            let delay = BATCH_DELAY_PER_ENTRY.saturating_mul(entries);
            let max_delay = node.settings.drain.mul_f64(MAX_BATCH_DELAY_FRACTION);
            delay.min(max_delay).max(MIN_BATCH_DELAY)
        }
    }
}

/// Applies a snapshot; for endpoints it replaces the table.
fn apply_snapshot(node: &Node, feed: Feed, updates: Vec<Update>) {
    match feed {
        Feed::Orders => {
            for update in updates {
                apply_update(node, update);
            }
        }
        Feed::Endpoints => {
            let endpoints = updates.into_iter().filter_map(|update| match update {
                Update::Endpoint(record) => Some(record),
                _ => None,
            });
            let endpoints: Vec<_> = endpoints.collect();
            tracing::info!(
                event = "endpoints",
                count = endpoints.len(),
                source = "store",
                "endpoint list loaded"
            );
            node.endpoints.lock().replace(endpoints, Instant::now());
            node.slot_freed.notify_waiters();
        }
    }
}

pub(crate) fn apply_update(node: &Node, update: Update) {
    match update {
        Update::Config(config) => {
            node.apply_config(*config, "store");
        }
        Update::Rollout(order) => node.apply_rollout_order(order),
        Update::Endpoint(record) => {
            let id = record.id.clone();
            let change = update_endpoints(node, |table, now| table.apply(record, now));
            log_table_change(&id, change);
        }
        Update::Removed(id) => {
            let change = update_endpoints(node, |table, now| table.remove(&id, now));
            log_table_change(&id, change);
        }
    }
}

fn update_endpoints(
    node: &Node,
    change: impl FnOnce(&mut crate::EndpointTable, Instant) -> TableChange,
) -> TableChange {
    let now = Instant::now();
    let mut endpoints = node.endpoints.lock();
    let change = change(&mut endpoints, now);
    endpoints.remove_expired(now);
    change
}

fn log_table_change(id: &EndpointId, change: TableChange) {
    match change {
        TableChange::None => {}
        TableChange::Joined => tracing::info!(event = "endpoint_joined", endpoint = %id),
        TableChange::Leaving => tracing::info!(event = "endpoint_leaving", endpoint = %id),
    }
}
