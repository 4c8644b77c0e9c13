//! What entries tell each other of how much they know of the platform's feeds.
//!
//! An entry that hears from a peer that it knows all of a feed need not ask the store, and one that hears
//! of updates that it does not know asks at once: the store and, for orders that the store does not
//! return, its peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::Feed;
use crate::Node;
use crate::StoreEra;
use crate::exchange_with;
use crate::feeds::feed_cursor::Position;
use crate::feeds::order_role::are_orders_supplied;
use crate::peers::fan_out::FAN_OUT;

/// Minimum time by which what a peer says is more recent for it to be passed on.
const MIN_GAIN: Duration = Duration::from_millis(300);

/// Time that the store has to give this entry the orders of which a peer has told; large ones take a while.
const STORE_GRACE: Duration = Duration::from_secs(2);

/// Time that the readers of the domain have to bring an entry the orders of which a peer has told.
const PAGE_GRACE: Duration = Duration::from_millis(500);

/// Time without anything of the orders being received after which the store does not return them.
const SILENCE: Duration = Duration::from_millis(400);

/// How much of a feed an entry knows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct FeedNews {
    /// Era of the store.
    pub era: StoreEra,
    /// Offset after the newest known update.
    pub offset: u64,
    /// Time since these were known to be all updates, in milliseconds.
    pub age_ms: u64,
    /// Address for peers of the entry that tells this.
    pub teller: SocketAddr,
}

/// What peers have told of a feed, and what they are to be told.
#[derive(Debug, Default)]
pub(crate) struct ToldFeed {
    state: Mutex<ToldState>,
    /// Wakes tasks that wait for peers to tell of unknown updates.
    pub(crate) changed: Notify,
}

#[derive(Debug, Default)]
struct ToldState {
    /// Newest position that was ahead of this entry's own.
    ahead: Option<Ahead>,
    /// Whether peers are to be told how much this entry knows.
    is_unannounced: bool,
    /// Whether `ahead` is to be passed on to other peers.
    is_passed_on: bool,
}

/// News of a peer that is ahead.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    position: Position,
    news: FeedNews,
    /// When the position was first told.
    told_at: Instant,
    /// Whether the store was asked for what is ahead.
    is_checked: bool,
    /// Whether a peer was asked for it.
    is_fetched: bool,
}

impl Ahead {
    /// Returns the news for other peers.
    fn passed_on(self, now: Instant) -> FeedNews {
        let age_ms = crate::millis(now.saturating_duration_since(self.told_at));
        FeedNews {
            age_ms: self.news.age_ms.saturating_add(age_ms),
            ..self.news
        }
    }
}

impl ToldFeed {
    /// Returns since when peers have told of updates after a position that were not asked for.
    pub(crate) fn unchecked_since(&self, own: Position) -> Option<Instant> {
        let ahead = self.state.lock().ahead?;
        (ahead.position > own && !ahead.is_checked).then_some(ahead.told_at)
    }

    /// Records that the store is asked for the updates of which peers have told.
    pub(crate) fn set_checked(&self) {
        if let Some(ahead) = &mut self.state.lock().ahead {
            ahead.is_checked = true;
        }
    }

    /// Returns whether peers are to be told of the feed.
    pub(crate) fn has_news(&self) -> bool {
        let state = self.state.lock();
        state.is_unannounced || state.is_passed_on
    }

    fn set_unannounced(&self) {
        self.state.lock().is_unannounced = true;
    }

    fn take_unannounced(&self) -> bool {
        std::mem::take(&mut self.state.lock().is_unannounced)
    }

    fn take_passed_on(&self) -> Option<Ahead> {
        let mut state = self.state.lock();
        let is_passed_on = std::mem::take(&mut state.is_passed_on);
        state.ahead.filter(|_| is_passed_on)
    }

    /// Records that a peer is ahead; returns whether it knows more than all before.
    fn record_ahead(&self, ahead: Ahead) -> bool {
        let mut state = self.state.lock();
        if state.ahead.is_some_and(|a| a.position >= ahead.position) {
            return false;
        }
        state.ahead = Some(ahead);
        true
    }

    /// Returns the newest news of updates after a position for which no peer was asked.
    fn unfetched(&self, own: Option<Position>) -> Option<Ahead> {
        let ahead = self.state.lock().ahead;
        ahead.filter(|a| !a.is_fetched && Some(a.position) > own)
    }

    /// Records that a peer is asked for what is ahead, and that other peers are to hear of it; returns the
    /// news.
    fn begin_fetch(&self) -> Option<Ahead> {
        let mut state = self.state.lock();
        let ahead = state.ahead.as_mut()?;
        ahead.is_fetched = true;
        let ahead = *ahead;
        state.is_passed_on = true;
        Some(ahead)
    }
}

/// Tells peers how much this entry knows of a feed.
pub(crate) fn announce_feed(node: &Node, feed: Feed) {
    node.told(feed).set_unannounced();
    node.news_added.notify_one();
}

/// Takes what is to be announced to peers of a feed at `now`.
pub(crate) fn take_feed_news(node: &Node, feed: Feed, now: Instant) -> Option<FeedNews> {
    let is_unannounced = node.told(feed).take_unannounced();
    if let Some(ahead) = node.told(feed).take_passed_on() {
        return Some(ahead.passed_on(now));
    }
    if !is_unannounced {
        return None;
    }
    let cursor = node.cursor(feed).lock();
    let position = cursor.position()?;
    Some(FeedNews {
        era: position.era,
        offset: position.offset,
        age_ms: crate::millis(cursor.age(now)?),
        teller: node.settings.peer_address,
    })
}

/// Applies what a peer has announced of a feed.
pub(crate) fn apply_feed_news(node: &Node, feed: Feed, news: FeedNews) {
    let now = Instant::now();
    let told = Position {
        era: news.era,
        offset: news.offset,
    };
    let Some(own) = node.cursor(feed).lock().position() else {
        return;
    };
    let ahead = Ahead {
        position: told,
        news,
        told_at: now,
        is_checked: false,
        is_fetched: false,
    };
    if told == own {
        confirm(node, feed, own, Duration::from_millis(news.age_ms), now);
    } else if told > own && node.told(feed).record_ahead(ahead) {
        tracing::debug!(
            event = "feed_told",
            ?feed,
            own = own.offset,
            offset = told.offset
        );
        node.told(feed).changed.notify_waiters();
    }
}

/// Records that a peer has confirmed what this entry knows; passes that on in a system in which the peer
/// does not tell all.
fn confirm(node: &Node, feed: Feed, position: Position, age: Duration, now: Instant) {
    let Some(known_at) = now.checked_sub(age) else {
        return;
    };
    let mut cursor = node.cursor(feed).lock();
    let is_news = cursor.known_at().is_none_or(|at| at + MIN_GAIN < known_at);
    cursor.advance(position, known_at);
    drop(cursor);
    if is_news && node.entry_count() > FAN_OUT + 1 {
        announce_feed(node, feed);
    }
}

/// Asks a peer for the orders of which it has told if the store does not return them, and passes the news
/// on; runs until the process ends.
pub async fn fetch_told_orders(node: &Arc<Node>) {
    loop {
        let teller = wait_for_missing_orders(node).await;
        if !exchange_with(node, None, teller).await {
            // Others may know them, too.
            node.gossip_now.notify_one();
        }
    }
}

/// Waits until a peer has told of orders that the store does not return; passes the news on and returns
/// the peer's address.
pub async fn wait_for_missing_orders(node: &Node) -> SocketAddr {
    let told = node.told(Feed::Orders);
    let own = || node.cursor(Feed::Orders).lock().position();
    loop {
        let changed = told.changed.notified();
        let Some(unfetched) = told.unfetched(own()) else {
            changed.await;
            continue;
        };
        let grace = if are_orders_supplied(node) {
            PAGE_GRACE
        } else {
            STORE_GRACE
        };
        tokio::time::sleep_until(unfetched.told_at + grace).await;
        node.progress(Feed::Orders).wait_for_silence(SILENCE).await;
        if Some(unfetched.position) <= own() {
            continue;
        }
        // Even newer orders may have been told of meanwhile.
        let Some(ahead) = told.begin_fetch() else {
            continue;
        };
        tracing::info!(
            event = "orders_told",
            own = own().map(|p| p.offset),
            offset = ahead.position.offset,
            teller = %ahead.news.teller,
            "asking a peer for orders that the store does not return"
        );
        node.news_added.notify_one();
        return ahead.news.teller;
    }
}
