//! Reads a feed with a wait, and makes sure meanwhile that nothing is missed.
//!
//! A connection that has fallen silent looks like one on which there is nothing to say. What an entry
//! knows of a feed is therefore confirmed at short intervals while a read waits: by a read on a new
//! connection, or by a peer that has made one.

use std::time::Duration;

use tokio::time::Instant;

use crate::EntryName;
use crate::Feed;
use crate::FeedClient;
use crate::FeedError;
use crate::Node;
use crate::Updates;
use crate::feeds::feed_check::read_end;
use crate::feeds::feed_check::read_now;
use crate::feeds::feed_cursor::Position;
use crate::feeds::feed_news::announce_feed;
use crate::feeds::feed_read::read_feed;
use crate::peers::rank::live_rank;

/// Time after which what is known of a feed is confirmed.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Delay of that per entry that does so before this one; usually the first one tells the others.
const TURN: Duration = Duration::from_millis(50);

/// Number of entries with a turn of their own; the others follow within [`LAST_TURNS`].
const TURNS: u32 = 8;

/// Time within which the entries without a turn of their own confirm what they know.
const LAST_TURNS: Duration = Duration::from_millis(200);

/// Delay after what is known could not be confirmed.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time without anything being received after which a read that has something to receive is given up.
const SILENCE: Duration = Duration::from_millis(200);

/// Time that a waiting read has to return updates of which a peer has told; large ones take a while.
const TOLD_GRACE: Duration = Duration::from_secs(1);

/// Reads updates from a position on, waiting at most `wait` for the first one; `None` if updates after
/// the position are no longer retained.
///
/// # Errors
///
/// Returns a [`FeedError`] when the waiting read fails.
pub(crate) async fn read_watched<E: FeedClient>(
    client: &E,
    node: &Node,
    feed: Feed,
    position: Position,
    wait: Duration,
) -> Result<Option<Updates>, FeedError> {
    let started = Instant::now();
    let read = read_feed(client, node, feed, position.offset, wait);
    tokio::pin!(read);
    loop {
        tokio::select! {
            biased;
            outcome = &mut read => return outcome,
            () = wait_until_missed(client, node, feed, position, started) => {}
        }
        let missed = tokio::select! {
            biased;
            outcome = &mut read => return outcome,
            missed = read_now(client, node, feed, position.offset) => missed,
        };
        if let Ok(missed) = missed {
            client.close_idle();
            log_silence(feed, position, started, missed.as_ref());
            // Peers are told once the caller has applied what was read.
            announce_feed(node, feed);
            return Ok(missed);
        }
        tokio::select! {
            biased;
            outcome = &mut read => return outcome,
            () = tokio::time::sleep(RETRY_DELAY) => {}
        }
    }
}

/// Confirms what is known of the feed whenever that is due, until a new connection shows that there is
/// more, of which the read that was sent at `started` receives nothing. Without such a read, `started` is the
/// start of the wait.
pub(crate) async fn wait_until_missed<E: FeedClient>(
    client: &E,
    node: &Node,
    feed: Feed,
    position: Position,
    started: Instant,
) {
    loop {
        wait_until_due(node, feed, position, started).await;
        node.progress(feed).wait_for_silence(SILENCE).await;
        let checked_at = Instant::now();
        let Ok(end) = read_end(client, node, feed, position.offset).await else {
            // The open connection may be sound and slow while the store is hard to reach.
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        if end == Some(position.offset) && client.store_era() == position.era {
            node.cursor(feed).lock().advance(position, checked_at);
            announce_feed(node, feed);
            continue;
        }
        // A sound connection returns the updates about when the new one tells of them.
        tokio::time::sleep(SILENCE.max(checked_at.elapsed())).await;
        node.progress(feed).wait_for_silence(SILENCE).await;
        return;
    }
}

/// Waits until what is known of the feed is to be confirmed.
async fn wait_until_due(node: &Node, feed: Feed, position: Position, started: Instant) {
    let told = node.told(feed);
    loop {
        let changed = told.changed.notified();
        let due = due_at(node, feed, position, started);
        if due <= Instant::now() {
            told.set_checked();
            return;
        }
        // Peers may confirm it or tell of updates in the meantime.
        let _ = tokio::time::timeout_at(due, changed).await;
    }
}

/// Returns when what is known of the feed is to be confirmed, for a read that was sent at `started`.
fn due_at(node: &Node, feed: Feed, position: Position, started: Instant) -> Instant {
    let known_at = node.cursor(feed).lock().known_at().unwrap_or(started);
    let known_at = match feed {
        Feed::Orders => known_at,
        // What the last read returned counts as of when that was sent, and this one is sent a batch later.
        Feed::Endpoints => known_at.max(started),
    };
    let due = known_at + MAX_AGE + turn_delay(node);
    let told_at = node.told(feed).unchecked_since(position);
    told_at.map_or(due, |at| due.min(at.max(started) + TOLD_GRACE))
}

/// Returns by how much this entry confirms what it knows later than the first one.
fn turn_delay(node: &Node) -> Duration {
    let rank = u32::try_from(live_rank(node)).unwrap_or(u32::MAX);
    if rank < TURNS {
        TURN * rank
    } else {
        TURN * TURNS + LAST_TURNS.mul_f64(hash_fraction(&node.settings.name))
    }
}

/// Returns a number from 0 to 1 that spreads entries evenly.
fn hash_fraction(name: &EntryName) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes());
    hash as f64 / u64::MAX as f64
}

fn log_silence(feed: Feed, position: Position, started: Instant, checked: Option<&Updates>) {
    tracing::info!(
        event = "store_silent",
        ?feed,
        from = position.offset,
        next = checked.map(|read| read.next_position),
        waited_ms = crate::millis(started.elapsed()),
        "a new connection has updates that a waiting read did not return"
    );
}
