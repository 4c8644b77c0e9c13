//! Finds requests that crash the endpoints that run them.

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

/// Endpoints that a request may crash before it gets its final answer.
const MAX_CRASHES: u32 = 2;

/// Time for which a crash counts against a request.
const KEPT: Duration = Duration::from_mins(10);

/// Time within which a live endpoint accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which a new connection to a dead endpoint is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after an endpoint's crash within which requests that fail on it may have caused it.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// Gates that are told of a crash at once; the others hear of it by gossip.
const PEERS_TOLD: usize = 8;

/// Time within which a gate must take the news of a crash.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// Pauses before the probes of an endpoint: one that is crashing may still accept a connection.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(100),
];

/// Requests remembered at most.
const MAX_KEPT: usize = 10_000;

#[derive(Debug)]
struct Suspect {
    endpoints: IndexSet<EndpointName>,
    until: Instant,
}

/// Crashes by digest of the request and its customer.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    suspects: Mutex<IndexMap<u64, Suspect>>,
    reports: Mutex<Vec<u64>>,
    /// Endpoints that are down, with the time at which that was noticed.
    down: Mutex<IndexMap<EndpointName, Instant>>,
}

/// Counts a crash against a call if the endpoint, which closed the call's connection without
/// an answer, has gone down.
///
/// Other gates hear of it before the caller gets an answer, since a caller that sends the
/// request again at once sends it to one of them.
pub(crate) async fn observe(gate: &Gate, call: &Call, endpoint: &Endpoint) {
    let digest = call.digest();
    if gate.leaving(endpoint).is_some() || !is_down(endpoint).await {
        return;
    }
    if !gate.crashes.count_down(digest, &endpoint.name) {
        return;
    }
    gate.reports.notify();
    let Some(table) = gate.table() else { return };
    let peers = hand_over::peer_gates(gate, &table, &call.customer);
    let told = peers.iter().take(PEERS_TOLD).map(|peer| {
        let name = endpoint.name.clone();
        let tell = async |client: HttpClient| client.crashed(digest, name).await;
        gate.rpc.call(peer.rpc, TELL_TIMEOUT, tell)
    });
    for result in futures_util::future::join_all(told).await {
        if let Err(error) = result {
            tracing::debug!(%error, "a gate was not told of a crash");
        }
    }
}

/// Tells whether an endpoint is down.
async fn is_down(endpoint: &Endpoint) -> bool {
    for pause in PROBE_PAUSES {
        tokio::time::sleep(pause).await;
        if refuses(endpoint).await {
            return true;
        }
    }
    false
}

/// Tells whether an endpoint accepts no connection, or closes a new one at once, as a port
/// forwarder before a dead process does.
async fn refuses(endpoint: &Endpoint) -> bool {
    let connect = TcpStream::connect(endpoint.address);
    let mut stream = match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return true,
        Err(_elapsed) => return false,
    };
    let mut byte = [0];
    let read = tokio::time::timeout(CLOSE_TIMEOUT, stream.read(&mut byte)).await;
    matches!(read, Ok(Err(_) | Ok(0)))
}

impl Crashes {
    /// Refuses a request that has crashed too many endpoints, here or at other gates.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::CrashingRequest`], which tells when to come back.
    pub(crate) fn check(&self, digest: u64, live: Option<&LiveView>) -> Result<()> {
        let elsewhere = live.and_then(|l| l.crashes.get(&digest)).copied();
        let here = self.count(digest);
        if here.max(elsewhere.unwrap_or(0)) < MAX_CRASHES {
            return Ok(());
        }
        let detail = "each endpoint that ran this request crashed";
        Err(Error::new(ErrorKind::CrashingRequest, detail).with_retry(KEPT))
    }

    /// Tells whether an endpoint has crashed on the request.
    pub(crate) fn is_suspect(&self, digest: u64) -> bool {
        self.count(digest) > 0
    }

    /// Counts a crash of an endpoint that another gate has seen.
    pub(crate) fn note(&self, digest: u64, endpoint: EndpointName) {
        self.insert(digest, endpoint);
    }

    /// Notes that an endpoint answers.
    pub(crate) fn answers(&self, endpoint: &EndpointName) {
        self.down.lock().swap_remove(endpoint);
    }

    /// Counts a crash of an endpoint that is down, unless it had been so before the request
    /// was sent.
    fn count_down(&self, digest: u64, endpoint: &EndpointName) -> bool {
        let mut down = self.down.lock();
        let since = *down.entry(endpoint.clone()).or_insert_with(Instant::now);
        drop(down);
        let is_new = since.elapsed() <= SAME_CRASH;
        if is_new && self.insert(digest, endpoint.clone()) {
            self.reports.lock().push(digest);
        }
        is_new
    }

    /// Returns the digests of crashes since the last call, one entry a crash.
    pub(crate) fn take_reports(&self) -> Vec<u64> {
        std::mem::take(&mut self.reports.lock())
    }

    /// Counts an endpoint against a request; returns whether it is a new one.
    fn insert(&self, digest: u64, endpoint: EndpointName) -> bool {
        let now = Instant::now();
        let mut suspects = self.suspects.lock();
        suspects.retain(|_, s| s.until > now);
        if suspects.len() >= MAX_KEPT {
            suspects.shift_remove_index(0);
        }
        let suspect = suspects.entry(digest).or_insert_with(|| Suspect {
            endpoints: IndexSet::new(),
            until: now,
        });
        suspect.until = now + KEPT;
        suspect.endpoints.insert(endpoint)
    }

    fn count(&self, digest: u64) -> u32 {
        let suspects = self.suspects.lock();
        let suspect = suspects.get(&digest);
        let live = suspect.filter(|s| s.until > Instant::now());
        live.map_or(0, |s| u32::try_from(s.endpoints.len()).unwrap_or(u32::MAX))
    }
}
