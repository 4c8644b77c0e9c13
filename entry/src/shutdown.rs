//! The order in which an entry stops: callers move away, then nothing is accepted any more, and
//! what was taken is answered.

use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Node;

/// Time after the start of a shutdown at which callers' idle connections are closed; by then
/// they have learnt other addresses.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2500);

/// Time for which callers are accepted after that.
const ACCEPT_FOR: Duration = Duration::from_secs(1);

/// Time between looks at the requests in progress.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Time that is kept back at the end of the grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Callers' connections to an entry.
#[derive(Clone, Debug, Default)]
pub struct CallerConnections {
    /// Cancelled when idle connections are to be closed.
    pub closing: CancellationToken,
    /// Cancelled when no more connections are to be accepted.
    pub closed: CancellationToken,
    /// Tasks of open connections.
    pub open: TaskTracker,
}

/// Finishes what is in progress while callers move to other entries.
pub async fn shut_down(node: &Node, connections: &CallerConnections) {
    let begun = Instant::now();
    let end = begun + node.settings.grace.saturating_sub(GRACE_MARGIN);
    tracing::info!(event = "stopping", in_flight = node.in_flight());
    node.begin_stop();
    tokio::time::sleep(CLOSE_IDLE_AFTER).await;
    connections.closing.cancel();
    tokio::time::sleep(ACCEPT_FOR).await;
    while node.in_flight() > 0 && Instant::now() < end {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    connections.closed.cancel();
    connections.open.close();
    // Requests that came since the last look are answered too.
    let unfinished = tokio::time::timeout_at(end, connections.open.wait()).await;
    if unfinished.is_err() {
        tracing::warn!(event = "stopped_unfinished", in_flight = node.in_flight());
    }
}
