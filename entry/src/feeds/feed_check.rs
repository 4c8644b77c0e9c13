//! Reads of a feed at once on a new connection, since open ones may have fallen silent.

use std::time::Duration;

use tokio::time::Instant;

use crate::Feed;
use crate::FeedClient;
use crate::FeedError;
use crate::Node;
use crate::Updates;
use crate::feeds::feed_read::next_position;
use crate::feeds::feed_read::record_read;

/// Time within which the store returns where a feed ends.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads where a feed ends, without the updates after `from`; `None` if these are no longer retained.
///
/// # Errors
///
/// Returns a [`FeedError`] when the feed cannot be read within 1 s.
pub(crate) async fn read_end<E: FeedClient>(
    client: &E,
    node: &Node,
    feed: Feed,
    from: u64,
) -> Result<Option<u64>, FeedError> {
    let started = Instant::now();
    let outcome = tokio::time::timeout(END_TIMEOUT, client.end(feed, from)).await;
    let outcome = outcome.unwrap_or_else(|_elapsed| Err(FeedError("time-out".to_owned())));
    record_read(node, feed, from, Duration::ZERO, started, &outcome);
    outcome
}

/// Reads updates from an offset on without waiting for any; `None` if updates after the offset are no
/// longer retained.
///
/// # Errors
///
/// Returns a [`FeedError`] when the feed cannot be read.
pub(crate) async fn read_now<E: FeedClient>(
    client: &E,
    node: &Node,
    feed: Feed,
    from: u64,
) -> Result<Option<Updates>, FeedError> {
    let started = Instant::now();
    let outcome = client.read_now(feed, from, node.progress(feed)).await;
    record_read(
        node,
        feed,
        from,
        Duration::ZERO,
        started,
        &next_position(&outcome),
    );
    outcome
}
