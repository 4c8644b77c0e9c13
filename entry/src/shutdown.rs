//! Graceful shutdown of an entry: callers move to other entries, then no more connections are
//! accepted, and accepted requests are completed.
//!
//! Its signals, in the order in which they are given: [`Node::stopping`] (the directory names other
//! entries, responses close their connections), [`CallerConnections::close_idle`],
//! [`CallerConnections::stop_accepting`], `Node::ending` (requests without a response get one), and
//! [`CallerConnections::cut`] (what is still open ends with the process).

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Node;
use crate::deliver_newest;
use crate::send_final_state;

/// Time from the start of shutdown until idle caller connections are closed; by then callers have
/// learnt the addresses of other entries.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);

/// Minimum time after [`IDLE_CLOSE_DELAY`] during which new connections are still accepted.
const MIN_ACCEPT_PERIOD: Duration = Duration::from_secs(1);

/// Time between the signal to close connections and the close, in which the runtime notices data
/// and connections that have arrived.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Time within which a caller sends its request on a connection that it opened just before the
/// entry stopped accepting connections.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval for checking whether requests are still in progress.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time before the end of the grace period at which shutdown stops waiting for requests; the final
/// responses and duties take place in it.
const GRACE_PERIOD_MARGIN: Duration = Duration::from_millis(600);

/// Time before the end of the grace period at which the process cuts what is still open and exits.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// Time for the final responses to requests that are still in progress when shutdown stops waiting.
const FINAL_RESPONSE_PERIOD: Duration = Duration::from_millis(100);

/// A request that arrives during shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateRequest {
    /// Time from the start of shutdown to the request.
    pub(crate) since: Duration,
    /// Duration within which such a request most likely ends.
    pub(crate) expected: Duration,
    /// Time after which its caller no longer waits.
    pub(crate) timeout: Duration,
    /// Whether its caller cannot send it again elsewhere if it is cut.
    pub(crate) must_end: bool,
}

impl LateRequest {
    /// Returns whether the request is expected to end while the shutdown waits for it, for the time
    /// `left`.
    ///
    /// While callers cannot know of other entries yet, its expected duration decides. Later on, one
    /// that must end is accepted only if it times out in time.
    pub(crate) fn is_accepted(&self, left: Duration) -> bool {
        if self.must_end && self.since >= IDLE_CLOSE_DELAY {
            self.timeout <= left
        } else {
            self.expected <= left
        }
    }
}

/// Returns how long a shutdown that began `since` ago still waits for requests.
pub(crate) fn time_left_in_shutdown(grace: Duration, since: Duration) -> Duration {
    grace.saturating_sub(GRACE_PERIOD_MARGIN + since)
}

/// State of the callers' connections to an entry.
#[derive(Clone, Debug, Default)]
pub struct CallerConnections {
    /// Cancelled to close idle connections.
    pub close_idle: CancellationToken,
    /// Cancelled to stop accepting connections.
    pub stop_accepting: CancellationToken,
    /// Cancelled to cut the connections that are still open when the process ends.
    pub cut: CancellationToken,
    /// Tasks of open connections.
    pub tasks: TaskTracker,
}

impl CallerConnections {
    /// Waits until no more connections are to be accepted than have arrived.
    pub async fn wait_for_stop(&self) {
        self.stop_accepting.cancelled().await;
        tokio::time::sleep(CLOSE_DELAY).await;
    }

    /// Waits until a connection is to be closed as soon as it is idle.
    ///
    /// A connection without a request yet stays open longer: the request may be on its way.
    pub async fn wait_for_close(&self, has_request: &AtomicBool) {
        self.close_idle.cancelled().await;
        if has_request.load(Ordering::Relaxed) {
            tokio::time::sleep(CLOSE_DELAY).await;
        } else {
            self.stop_accepting.cancelled().await;
            tokio::time::sleep(LAST_REQUEST_TIMEOUT).await;
        }
    }
}

/// Shuts down gracefully: waits for requests in progress until shortly before the grace period
/// ends, then ends those that have no response yet.
pub async fn shut_down(node: &Node, connections: &CallerConnections) {
    let started = Instant::now();
    let end = started + node.settings.grace.saturating_sub(GRACE_PERIOD_MARGIN);
    tracing::info!(event = "stopping", in_flight = node.in_flight());
    node.begin_shutdown();
    let close_at = started + IDLE_CLOSE_DELAY;
    tokio::time::sleep_until(close_at.min(end)).await;
    connections.close_idle.cancel();
    tokio::time::sleep_until((close_at + MIN_ACCEPT_PERIOD).min(end)).await;
    while node.in_flight() > 0 && Instant::now() < end {
        tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
    connections.stop_accepting.cancel();
    connections.tasks.close();
    // Requests that arrived since the last check are completed too.
    let finished = tokio::time::timeout_at(end, connections.tasks.wait()).await;
    if finished.is_err() || node.in_flight() > 0 {
        tracing::warn!(event = "stopped_unfinished", in_flight = node.in_flight());
        end_requests(node, connections).await;
    }
}

/// Ends the requests that have no response yet, and waits until their responses are written.
async fn end_requests(node: &Node, connections: &CallerConnections) {
    let end = Instant::now() + FINAL_RESPONSE_PERIOD;
    node.ending.cancel();
    while node.in_flight() > 0 && Instant::now() < end {
        tokio::time::sleep(FINAL_RESPONSE_PERIOD / 10).await;
    }
    if tokio::time::timeout_at(end, connections.tasks.wait())
        .await
        .is_err()
    {
        tracing::debug!(event = "connections_open", in_flight = node.in_flight());
    }
}

/// Passes on what this entry knows, and waits for its duties to end, until shortly before the grace
/// period ends.
pub async fn finish_duties(node: &Arc<Node>, duties: JoinHandle<()>) {
    let started = node.shutdown_started().unwrap_or_else(Instant::now);
    let end = started + node.settings.grace.saturating_sub(EXIT_MARGIN);
    let steps = async {
        let ((), delivered, ended) =
            tokio::join!(send_final_state(node), deliver_newest(node), duties);
        if !delivered {
            tracing::info!(
                event = "usage_undelivered",
                "the counts since the last delivery reach the lease holder by gossip"
            );
        }
        if let Err(error) = ended {
            tracing::warn!(event = "duties_failed", %error);
        }
    };
    if tokio::time::timeout_at(end, steps).await.is_err() {
        tracing::warn!(event = "duties_unfinished", in_flight = node.in_flight());
    }
}

/// Waits for open connections until shortly before the grace period ends, then cuts them, so that
/// no response on them looks complete.
pub async fn end_connections(node: &Node, connections: &CallerConnections) {
    let started = node.shutdown_started().unwrap_or_else(Instant::now);
    let end = started + node.settings.grace.saturating_sub(EXIT_MARGIN);
    if tokio::time::timeout_at(end, connections.tasks.wait())
        .await
        .is_ok()
    {
        return;
    }
    connections.cut.cancel();
    let cut = tokio::time::timeout(CLOSE_DELAY, connections.tasks.wait()).await;
    if cut.is_err() {
        tracing::debug!(event = "connections_open", in_flight = node.in_flight());
    }
}
