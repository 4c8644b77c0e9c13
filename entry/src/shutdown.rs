//! Graceful shutdown of an entry: callers move to other entries, then no more connections are
//! accepted, and accepted requests are completed.

use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Node;

/// Time from the start of shutdown until idle caller connections are closed; by then callers have
/// learnt the addresses of other entries.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);

/// Minimum time after [`IDLE_CLOSE_DELAY`] during which new connections are still accepted.
const MIN_ACCEPT_PERIOD: Duration = Duration::from_secs(1);

/// Interval for checking whether requests are still in progress.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time before the end of the grace period at which shutdown stops waiting for requests.
const GRACE_PERIOD_MARGIN: Duration = Duration::from_millis(400);

/// State of the callers' connections to an entry.
#[derive(Clone, Debug, Default)]
pub struct CallerConnections {
    /// Cancelled to close idle connections.
    pub close_idle: CancellationToken,
    /// Cancelled to stop accepting connections.
    pub stop_accepting: CancellationToken,
    /// Tasks of open connections.
    pub tasks: TaskTracker,
}

/// Shuts down gracefully: waits for requests in progress until shortly before the grace period
/// ends.
pub async fn shut_down(node: &Node, connections: &CallerConnections) {
    let started = Instant::now();
    let end = started + node.settings.grace.saturating_sub(GRACE_PERIOD_MARGIN);
    tracing::info!(event = "stopping", in_flight = node.in_flight());
    node.begin_shutdown();
    tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    connections.close_idle.cancel();
    tokio::time::sleep(MIN_ACCEPT_PERIOD).await;
    while node.in_flight() > 0 && Instant::now() < end {
        tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
    connections.stop_accepting.cancel();
    connections.tasks.close();
    // Requests that arrived since the last check are completed too.
    let finished = tokio::time::timeout_at(end, connections.tasks.wait()).await;
    if finished.is_err() {
        tracing::warn!(event = "stopped_unfinished", in_flight = node.in_flight());
    }
}
