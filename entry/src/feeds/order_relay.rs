//! Operator commands that the readers of a failure domain pass on in a large system.
//!
//! If every entry had a read of the commands pending at the store, each new configuration would cross the
//! store's link once for each entry. The readers of a domain pass it on along a tree instead, so that no link
//! carries more than a few copies.

use std::sync::Arc;
use std::time::Duration;

use flate2::Compression;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::Feed;
use crate::FeedClient;
use crate::ListRole;
use crate::Node;
use crate::StoreEra;
use crate::Update;
use crate::Updates;
use crate::feeds::feed_cursor::Position;
use crate::feeds::feed_news::announce_feed;
use crate::feeds::feed_updates::apply_snapshot;
use crate::feeds::feed_updates::apply_update;
use crate::feeds::feed_watch::wait_until_missed;
use crate::feeds::order_role::are_orders_supplied;
use crate::feeds::order_role::orders_role;
use crate::feeds::reader_order::READERS_PER_DOMAIN;
use crate::feeds::reader_order::domain_order;
use crate::peers::packed::Packed;

/// Number of entries to which each entry passes a page on. 75 entries have it after three steps, each of which
/// takes 0.1 s for a configuration of 256 KiB on links of 10 Mbit/s.
const FAN_OUT: usize = 3;

/// Time within which an entry must have accepted a page; its share of the domain is served directly otherwise.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which an entry that waits for pages checks whether it has become a reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Operator commands that an entry passes on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrdersPage {
    /// Era of the store.
    pub era: StoreEra,
    /// Offset of the first command; 0 if the page holds the newest command of each kind.
    pub from: u64,
    /// Offset after the last command.
    pub to: u64,
    /// Time since all commands before `to` were known to be all, in milliseconds.
    pub age_ms: u64,
    /// Whether the page holds the newest command of each kind, and so also tells which have been deleted.
    pub is_snapshot: bool,
    /// The commands.
    pub orders: Packed,
}

/// Outcome of [`apply_orders`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PageOutcome {
    /// The commands were new and have been applied.
    Applied,
    /// The commands were known.
    Known,
    /// The page was ignored, as commands before it are missing or it is unreadable.
    Ignored,
}

/// Returns the page of a read from `from`, if this entry is a reader and there is anything to pass on.
pub(crate) fn orders_page(node: &Node, from: Position, read: &Updates) -> Option<OrdersPage> {
    let is_reader = matches!(orders_role(node), ListRole::Reader | ListRole::Standby);
    if !is_reader || read.next_position <= from.offset {
        return None;
    }
    Some(OrdersPage {
        era: from.era,
        from: from.offset,
        to: read.next_position,
        age_ms: 0,
        is_snapshot: false,
        orders: Packed::new(&read.updates, Compression::fast())?,
    })
}

/// Returns the page of a snapshot that ends at `to`, if this entry is a reader.
pub(crate) fn snapshot_page(node: &Node, to: Position, updates: &[Update]) -> Option<OrdersPage> {
    let read = Updates {
        updates: updates.to_vec(),
        next_position: to.offset,
        has_more: false,
    };
    let page = orders_page(node, Position { offset: 0, ..to }, &read)?;
    Some(OrdersPage {
        is_snapshot: true,
        ..page
    })
}

/// Returns what applying a page will lead to if it is readable.
fn expected_outcome(node: &Node, page: &OrdersPage) -> PageOutcome {
    let position = node.cursor(Feed::Orders).lock().position();
    let continued = position.filter(|own| own.era == page.era && own.offset >= page.from);
    match continued {
        None => PageOutcome::Ignored,
        Some(own) if own.offset >= page.to => PageOutcome::Known,
        Some(_) => PageOutcome::Applied,
    }
}

/// Passes a page of a peer on and applies it.
pub(crate) async fn take_orders(node: &Arc<Node>, page: OrdersPage) -> PageOutcome {
    if expected_outcome(node, &page) == PageOutcome::Applied {
        tokio::spawn(pass_on_orders(Arc::clone(node), page.clone()));
        // Decoding a large configuration takes the smallest VMs a tenth of a second, for which the next entries
        // would wait at each step.
        tokio::task::yield_now().await;
    }
    apply_orders(node, &page)
}

/// Applies a page that a peer has passed on.
pub fn apply_orders(node: &Node, page: &OrdersPage) -> PageOutcome {
    let outcome = expected_outcome(node, page);
    if outcome != PageOutcome::Applied {
        return outcome;
    }
    let Some(updates) = page.orders.unpack::<Vec<Update>>() else {
        tracing::warn!(event = "orders_unreadable", from = page.from, to = page.to);
        return PageOutcome::Ignored;
    };
    let next = Position {
        offset: page.to,
        era: page.era,
    };
    let orders = updates.into_iter().filter(is_order);
    if page.is_snapshot {
        apply_snapshot(node, Feed::Orders, orders.collect(), next);
    } else {
        orders.for_each(|update| apply_update(node, update));
    }
    let now = Instant::now();
    let known_at = now.checked_sub(Duration::from_millis(page.age_ms));
    let mut cursor = node.cursor(Feed::Orders).lock();
    cursor.advance(next, known_at.unwrap_or(now));
    drop(cursor);
    tracing::info!(
        event = "orders_page",
        from = page.from,
        to = page.to,
        age_ms = page.age_ms,
        is_snapshot = page.is_snapshot,
        bytes = page.orders.0.len(),
    );
    announce_feed(node, Feed::Orders);
    node.told(Feed::Orders).changed.notify_waiters();
    PageOutcome::Applied
}

const fn is_order(update: &Update) -> bool {
    match update {
        Update::Config(_) | Update::Rollout(_) | Update::Evacuation { .. } => true,
        Update::Endpoint(_) | Update::Removed(_) => false,
    }
}

/// Passes a page on to this entry's part of its domain: to the next entries in the order of readers, and in
/// place of those that do not accept it to the ones after them.
pub(crate) async fn pass_on_orders(node: Arc<Node>, page: OrdersPage) {
    let received_at = Instant::now();
    let order = domain_order(&node);
    let mut sends = FuturesUnordered::new();
    let send = |rank: usize| {
        // The order leaves out this entry itself.
        let address = order.peers.get(rank.checked_sub(1)?).copied()?;
        let kept = crate::millis(received_at.elapsed());
        let page = OrdersPage {
            age_ms: page.age_ms.saturating_add(kept),
            ..page.clone()
        };
        let node = &node;
        Some(async move {
            let call = node.peers.send_orders(address, page);
            let reply = tokio::time::timeout(PAGE_TIMEOUT, call).await;
            (rank, reply.ok().flatten().is_some())
        })
    };
    sends.extend(next_ranks(order.rank).filter_map(&send));
    while let Some((rank, is_accepted)) = sends.next().await {
        if !is_accepted {
            tracing::debug!(event = "orders_unconfirmed", rank);
            sends.extend(next_ranks(rank).filter_map(&send));
        }
    }
}

/// Returns the ranks of the entries to which the one of a rank passes pages on.
fn next_ranks(rank: usize) -> std::ops::Range<usize> {
    let first = rank * FAN_OUT + READERS_PER_DOMAIN;
    first..first + FAN_OUT
}

/// Waits until pages have brought commands after `position` or this entry has become a reader; returns `false`
/// if there are commands that no page has brought.
pub(crate) async fn wait_for_orders<E: FeedClient>(
    client: &E,
    node: &Node,
    position: Position,
) -> bool {
    let started = Instant::now();
    tokio::select! {
        biased;
        () = wait_until_moved(node, position) => true,
        () = wait_until_reader(node) => true,
        () = wait_until_missed(client, node, Feed::Orders, position, started) => false,
    }
}

async fn wait_until_moved(node: &Node, position: Position) {
    loop {
        let changed = node.told(Feed::Orders).changed.notified();
        if node.cursor(Feed::Orders).lock().position() != Some(position) {
            return;
        }
        changed.await;
    }
}

async fn wait_until_reader(node: &Node) {
    while are_orders_supplied(node) {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}
