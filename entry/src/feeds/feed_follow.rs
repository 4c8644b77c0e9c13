//! Follows the platform's feeds of operators' orders and endpoints by long polling.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::EndpointPage;
use crate::EndpointRecord;
use crate::EndpointState;
use crate::Feed;
use crate::FeedClient;
use crate::FeedError;
use crate::ListRole;
use crate::Node;
use crate::StoreEra;
use crate::Update;
use crate::Updates;
use crate::feeds::endpoint_relay::extend_page;
use crate::feeds::endpoint_relay::pass_on;
use crate::feeds::feed_check::read_now;
use crate::feeds::feed_cursor::Position;
use crate::feeds::feed_news::announce_feed;
use crate::feeds::feed_schedule::READER_DIVISOR;
use crate::feeds::feed_schedule::batch_delay;
use crate::feeds::feed_schedule::poll_wait;
use crate::feeds::feed_updates::apply_snapshot;
use crate::feeds::feed_updates::apply_update;
use crate::feeds::feed_watch::read_watched;
use crate::feeds::list_supply::SupplyStep;
use crate::feeds::list_supply::copy_from_peers;
use crate::feeds::list_supply::supply_step;
use crate::feeds::order_relay::orders_page;
use crate::feeds::order_relay::pass_on_orders;
use crate::feeds::order_relay::snapshot_page;
use crate::feeds::order_relay::wait_for_orders;
use crate::feeds::order_role::are_orders_supplied;
use crate::feeds::order_role::orders_role;
use crate::list_role;
use crate::peers::news::announce_leaving;

/// Interval at which an entry checks whether it has to read the endpoint list itself.
const SUPPLY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after the first failed call; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Applies a feed's updates to the node until the process ends, retrying with backoff.
pub async fn follow_feed<E: FeedClient>(client: Arc<E>, node: Arc<Node>, feed: Feed) {
    let mut backoff = INITIAL_BACKOFF;
    let mut reachable = true;
    loop {
        if feed == Feed::Endpoints && is_list_recent(&node).await {
            tokio::time::sleep(SUPPLY_CHECK_INTERVAL).await;
            continue;
        }
        if feed == Feed::Orders && reachable && is_supplied(&*client, &node).await {
            continue;
        }
        match read_next(&*client, &node, feed, reachable).await {
            Ok(()) => {
                if !std::mem::replace(&mut reachable, true) {
                    tracing::info!(event = "dependency_regained", ?feed);
                }
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

/// Returns whether this entry need not read the endpoint list; asks peers for a copy if that is due.
async fn is_list_recent(node: &Node) -> bool {
    match supply_step(node) {
        SupplyStep::Wait => true,
        SupplyStep::Copy => copy_from_peers(node).await,
        SupplyStep::Read => false,
    }
}

/// Waits for operator commands from the readers of the domain; returns `false` if this entry is to read them.
async fn is_supplied<E: FeedClient>(client: &E, node: &Node) -> bool {
    let position = node.cursor(Feed::Orders).lock().position();
    match position.filter(|_| are_orders_supplied(node)) {
        Some(position) => wait_for_orders(client, node, position).await,
        None => false,
    }
}

/// Reads the feed once from the position that is known; the next read starts over from a snapshot if
/// updates may have been missed.
///
/// `reachable` is whether the last read succeeded.
async fn read_next<E: FeedClient>(
    client: &E,
    node: &Arc<Node>,
    feed: Feed,
    reachable: bool,
) -> Result<(), FeedError> {
    // Pages that readers have passed on may have moved it.
    let position = node.cursor(feed).lock().position();
    let is_complete = match position {
        Some(position) => read_from(client, node, feed, position, reachable).await?,
        None => read_snapshot(client, node, feed, false).await?,
    };
    if !is_complete {
        node.cursor(feed).lock().reset();
    }
    Ok(())
}

/// Reads updates from a position on; returns whether none can have been missed.
async fn read_from<E: FeedClient>(
    client: &E,
    node: &Arc<Node>,
    feed: Feed,
    position: Position,
    reachable: bool,
) -> Result<bool, FeedError> {
    let role = match feed {
        Feed::Orders => orders_role(node),
        Feed::Endpoints => list_role(node),
    };
    let reader_delay = batch_delay(node, feed) / READER_DIVISOR;
    let wait = match role {
        // A read that waits would only show after the wait whether the store responds again.
        _ if !reachable => Duration::ZERO,
        ListRole::Follower => Duration::ZERO,
        ListRole::Reader | ListRole::Standby if feed == Feed::Endpoints => reader_delay,
        ListRole::Single | ListRole::Reader | ListRole::Standby => poll_wait(node),
    };
    let started = Instant::now();
    let is_missed = feed == Feed::Orders && role == ListRole::Follower;
    let read = if reachable && !is_missed {
        read_watched(client, node, feed, position, wait).await?
    } else {
        read_now(client, node, feed, position.offset).await?
    };
    let Some(read) = read.filter(|read| is_continued(client, node, feed, position, read)) else {
        return Ok(false);
    };
    let has_updates = read.next_position > position.offset;
    let known_at = known_at(feed, has_updates, started, started + wait);
    let is_behind = feed == Feed::Orders && read.has_more;
    let is_relayed = feed == Feed::Endpoints && is_reader(role);
    let page = is_relayed.then(|| EndpointPage::new(node, position, &read, known_at));
    if is_relayed {
        announce_departures(node, &read.updates);
    }
    let orders = (feed == Feed::Orders && !is_behind).then(|| orders_page(node, position, &read));
    let next = Position {
        offset: read.next_position,
        ..position
    };
    apply_read(node, feed, read.updates, next, known_at);
    if feed == Feed::Orders && has_updates {
        // Peers may wait for them on connections that have fallen silent.
        announce_feed(node, feed);
    }
    if is_behind {
        // A snapshot holds the newest order of each kind, which replaces those before it.
        tracing::info!(event = "orders_skipped", from = position.offset);
        return read_snapshot(client, node, feed, is_reader(role)).await;
    }
    if let Some(page) = orders.flatten() {
        tokio::spawn(pass_on_orders(Arc::clone(node), page));
    }
    if let Some(page) = page {
        let page = extend_page(node, page);
        tokio::spawn(pass_on(Arc::clone(node), page));
    }
    if has_updates {
        let delay = if is_relayed {
            reader_delay
        } else {
            batch_delay(node, feed)
        };
        tokio::time::sleep(delay).await;
    }
    Ok(true)
}

/// Returns whether an entry of this role that reads a feed passes it on.
const fn is_reader(role: ListRole) -> bool {
    matches!(role, ListRole::Reader | ListRole::Standby)
}

/// Tells peers at once which endpoints have begun to drain, ahead of the page with all changes: it goes to the
/// entries of the domain only, and crosses the link of a small VM once for each of them.
fn announce_departures(node: &Node, updates: &[Update]) {
    let mut endpoints = node.endpoints.lock();
    let mut begin_to_drain = |record: &&EndpointRecord| {
        let known = endpoints.by_id_mut(&record.id);
        let is_known =
            known.is_some_and(|e| e.is_draining || e.record.incarnation > record.incarnation);
        record.state == EndpointState::Draining && !is_known
    };
    let records = updates.iter().filter_map(|update| match update {
        Update::Endpoint(record) => Some(record),
        Update::Removed(_) | Update::Config(_) | Update::Evacuation { .. } | Update::Rollout(_) => {
            None
        }
    });
    for record in records.filter(|record| begin_to_drain(record)) {
        announce_leaving(node, &record.id, record.incarnation);
    }
}

/// Applies the updates before `next` that were read.
fn apply_read(node: &Node, feed: Feed, updates: Vec<Update>, next: Position, known_at: Instant) {
    // Copies of the list must hold what belongs to their position; applying orders locks their cursor.
    let list = (feed == Feed::Endpoints).then(|| node.cursor(feed).lock());
    for update in updates {
        apply_update(node, update);
    }
    let mut cursor = list.unwrap_or_else(|| node.cursor(feed).lock());
    cursor.advance(next, known_at);
    if feed == Feed::Endpoints {
        node.list_relay.has_gap.store(false, Ordering::Relaxed);
    }
}

/// Returns as of when all updates are known after a read whose wait was to end at `wait_end`.
fn known_at(feed: Feed, has_updates: bool, started: Instant, wait_end: Instant) -> Instant {
    let now = Instant::now();
    match (feed, has_updates) {
        // A response without updates was given at the end of the wait.
        (_, false) => wait_end.min(now),
        // It was given as soon as there was one.
        (Feed::Orders, true) => now,
        // Those that entries pass on must not be older than they say.
        (Feed::Endpoints, true) => started,
    }
}

/// Returns whether a read goes on from a position, so that no updates between them are missing.
fn is_continued<E: FeedClient>(
    client: &E,
    node: &Node,
    feed: Feed,
    position: Position,
    read: &Updates,
) -> bool {
    let Position { offset: from, era } = position;
    if read.next_position < from {
        tracing::warn!(
            event = "foreign_offset",
            ?feed,
            from,
            next = read.next_position
        );
        return false;
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
        return false;
    }
    true
}

/// Reads the current content of the feed, and passes on operator commands if `is_passed_on`; returns whether it
/// is complete, which it may not be if the store changed its era meanwhile.
async fn read_snapshot<E: FeedClient>(
    client: &E,
    node: &Arc<Node>,
    feed: Feed,
    is_passed_on: bool,
) -> Result<bool, FeedError> {
    let before = client.store_era();
    let started = Instant::now();
    let snapshot = client.snapshot(feed, node.progress(feed)).await?;
    let era = client.store_era();
    if before != StoreEra::default() && before != era {
        return Ok(false);
    }
    let next = Position {
        offset: snapshot.next_position,
        era,
    };
    let is_passed_on = is_passed_on && feed == Feed::Orders;
    let page = is_passed_on.then(|| snapshot_page(node, next, &snapshot.updates));
    apply_snapshot(node, feed, snapshot.updates, next);
    node.cursor(feed).lock().advance(next, started);
    if let Some(page) = page.flatten() {
        tokio::spawn(pass_on_orders(Arc::clone(node), page));
    }
    Ok(true)
}
