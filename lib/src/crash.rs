//! Detects and refuses requests that crash the endpoints that run them.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use jsonrpsee::http_client::HttpClient;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::Endpoint;
use crate::EndpointName;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::GateRpcClient;
use crate::LiveView;
use crate::Result;
use crate::call::Call;
use crate::hand_over;

/// Number of crashed endpoints at which a request is refused.
const CRASH_THRESHOLD: u32 = 2;

/// Time for which crashes count against a request, counted from the latest crash.
const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// Connection timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a new connection must stay open for the endpoint to count as up.
const MIN_OPEN_TIME: Duration = Duration::from_millis(150);

/// Time after a crash is noticed within which requests that fail on the endpoint may be its cause.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(1);

/// Number of gates notified of a crash at once; the others are notified by gossip.
const NOTIFY_FAN_OUT: usize = 8;

/// Timeout of a crash notification to another gate.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);

/// Delays before the probes of an endpoint, since one that is crashing may still accept a
/// connection.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(100),
];

/// Maximum number of suspected requests; the oldest are evicted.
const MAX_SUSPECT_REQUESTS: usize = 10_000;

#[derive(Debug)]
struct SuspectRequest {
    endpoints: IndexSet<EndpointName>,
    expires_at: Instant,
}

/// Requests suspected of crashing endpoints, by digest (see [`Call::digest`]), and endpoints that
/// are down.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    suspect_requests: Mutex<IndexMap<u64, SuspectRequest>>,
    /// Digests of crashes that [`Self::take_unreported`] has not returned yet.
    unreported: Mutex<Vec<u64>>,
    /// Endpoints that are down, with the time at which this was first noticed.
    down: Mutex<IndexMap<EndpointName, Instant>>,
}

/// Counts a crash against a call if the endpoint, which closed the call's connection without a
/// response, is down and its VM has no reclaim notice.
///
/// Other gates are notified before the caller gets a response, because a caller that retries at
/// once may reach one of them.
pub(crate) async fn record_if_down(gate: &Gate, call: &Call, endpoint: &Endpoint) {
    let digest = call.digest();
    if gate.reclaim_deadline(endpoint).is_some() || !is_down(endpoint).await {
        return;
    }
    if !gate.crashes.record_down(digest, &endpoint.name) {
        return;
    }
    gate.reports.request_urgent_report();
    let Some(table) = gate.table() else { return };
    let peers = hand_over::peer_gates(gate, &table, &call.customer);
    let notifications = peers.iter().take(NOTIFY_FAN_OUT).map(|peer| {
        let name = endpoint.name.clone();
        let notify_peer = async |client: HttpClient| client.crashed(digest, name).await;
        gate.rpc.call(peer.rpc, NOTIFY_TIMEOUT, notify_peer)
    });
    for result in futures_util::future::join_all(notifications).await {
        if let Err(error) = result {
            tracing::debug!(%error, "failed to notify a gate of a crash");
        }
    }
}

/// Returns whether any of the probes finds an endpoint down.
async fn is_down(endpoint: &Endpoint) -> bool {
    for delay in PROBE_DELAYS {
        tokio::time::sleep(delay).await;
        if refuses_connection(endpoint).await {
            return true;
        }
    }
    false
}

/// Returns whether an endpoint refuses a connection, or closes a new one at once, as a port
/// forwarder in front of a dead process does.
///
/// A connection attempt that times out does not count as refused.
async fn refuses_connection(endpoint: &Endpoint) -> bool {
    let connect = TcpStream::connect(endpoint.address);
    let mut stream = match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return true,
        Err(_elapsed) => return false,
    };
    let mut byte = [0];
    let read = tokio::time::timeout(MIN_OPEN_TIME, stream.read(&mut byte)).await;
    matches!(read, Ok(Err(_) | Ok(0)))
}

impl CrashTracker {
    /// Refuses a request that has crashed too many endpoints, as seen by this gate or others.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::CrashingRequest`] and a retry delay.
    pub(crate) fn check(&self, digest: u64, live: Option<&LiveView>) -> Result<()> {
        let remote = live.and_then(|l| l.crashes.get(&digest)).copied();
        let local = self.crash_count(digest);
        if local.max(remote.unwrap_or(0)) < CRASH_THRESHOLD {
            return Ok(());
        }
        let detail = "each endpoint that ran this request crashed";
        Err(Error::new(ErrorKind::CrashingRequest, detail).with_retry(CRASH_RETENTION))
    }

    /// Returns whether this gate knows of an endpoint that crashed on the request.
    pub(crate) fn is_suspect_request(&self, digest: u64) -> bool {
        self.crash_count(digest) > 0
    }

    /// Counts a crash that another gate has observed.
    pub(crate) fn record_remote(&self, digest: u64, endpoint: EndpointName) {
        self.add_crash(digest, endpoint);
    }

    /// Marks an endpoint as up after it has responded.
    pub(crate) fn mark_up(&self, endpoint: &EndpointName) {
        self.down.lock().swap_remove(endpoint);
    }

    /// Counts a crash of an endpoint that is down, unless it was already known to be down for
    /// longer than [`ATTRIBUTION_WINDOW`]. Returns whether the crash is attributed to the request.
    fn record_down(&self, digest: u64, endpoint: &EndpointName) -> bool {
        let mut down = self.down.lock();
        let since = *down.entry(endpoint.clone()).or_insert_with(Instant::now);
        drop(down);
        let is_attributed = since.elapsed() <= ATTRIBUTION_WINDOW;
        if is_attributed && self.add_crash(digest, endpoint.clone()) {
            self.unreported.lock().push(digest);
        }
        is_attributed
    }

    /// Returns the request digests of the crashes counted since the last call, one for each crash.
    pub(crate) fn take_unreported(&self) -> Vec<u64> {
        std::mem::take(&mut self.unreported.lock())
    }

    /// Counts an endpoint against a request; returns whether it had not been counted before.
    fn add_crash(&self, digest: u64, endpoint: EndpointName) -> bool {
        let now = Instant::now();
        let mut suspects = self.suspect_requests.lock();
        suspects.retain(|_, s| s.expires_at > now);
        if suspects.len() >= MAX_SUSPECT_REQUESTS {
            suspects.shift_remove_index(0);
        }
        let suspect = suspects.entry(digest).or_insert_with(|| SuspectRequest {
            endpoints: IndexSet::new(),
            expires_at: now,
        });
        suspect.expires_at = now + CRASH_RETENTION;
        suspect.endpoints.insert(endpoint)
    }

    /// Returns the number of endpoints that crashed on a request within [`CRASH_RETENTION`].
    fn crash_count(&self, digest: u64) -> u32 {
        let suspects = self.suspect_requests.lock();
        let suspect = suspects.get(&digest);
        let unexpired = suspect.filter(|s| s.expires_at > Instant::now());
        unexpired.map_or(0, |s| u32::try_from(s.endpoints.len()).unwrap_or(u32::MAX))
    }
}
