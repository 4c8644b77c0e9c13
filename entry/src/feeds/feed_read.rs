//! Reads feeds; logs and counts each read with its wait and outcome.

use std::time::Duration;

use tokio::time::Instant;

use crate::Feed;
use crate::FeedClient;
use crate::FeedError;
use crate::Node;
use crate::Updates;
use crate::log_limit;

/// Time after the end of its wait from which a read is logged as late.
const LATE_AFTER: Duration = Duration::from_millis(300);

/// Reads updates from an offset on, waiting at most `wait` for the first one; `None` if updates after
/// the offset are no longer retained.
///
/// # Errors
///
/// Returns a [`FeedError`] when the feed cannot be read.
pub(crate) async fn read_feed<E: FeedClient>(
    client: &E,
    node: &Node,
    feed: Feed,
    from: u64,
    wait: Duration,
) -> Result<Option<Updates>, FeedError> {
    let started = Instant::now();
    let outcome = client.read(feed, from, wait, node.progress(feed)).await;
    record_read(node, feed, from, wait, started, &next_position(&outcome));
    if matches!(outcome, Ok(None)) {
        tracing::info!(event = "history_gone", ?feed, from);
    }
    outcome
}

/// Returns the position after a read.
pub(crate) fn next_position(
    outcome: &Result<Option<Updates>, FeedError>,
) -> Result<Option<u64>, FeedError> {
    let read = outcome.as_ref().map_err(FeedError::clone)?;
    Ok(read.as_ref().map(|read| read.next_position))
}

/// Logs and counts a read that was sent at `started`, by the position after it.
pub(crate) fn record_read(
    node: &Node,
    feed: Feed,
    from: u64,
    wait: Duration,
    started: Instant,
    outcome: &Result<Option<u64>, FeedError>,
) {
    let took = started.elapsed();
    let (name, error) = match outcome {
        Ok(Some(next)) if *next > from => ("updates", None),
        Ok(Some(_)) => ("unchanged", None),
        Ok(None) => ("history_gone", None),
        Err(error) => ("failed", Some(error)),
    };
    node.metrics.record_feed_read(feed, name, took);
    if (error.is_some() || took > wait + LATE_AFTER) && log_limit::allows("feed_read") {
        tracing::info!(
            event = "feed_read",
            ?feed,
            from,
            wait_ms = crate::millis(wait),
            took_ms = crate::millis(took),
            outcome = name,
            error = error.map(tracing::field::display),
        );
    }
}
