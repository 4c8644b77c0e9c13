//! Finds requests that crash the endpoints that run them.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::Endpoint;
use crate::EndpointName;
use crate::Error;
use crate::ErrorKind;
use crate::LiveView;
use crate::Result;

/// Endpoints that a request may crash before it gets its final answer.
const MAX_CRASHES: u32 = 2;

/// Time for which a crash counts against a request.
const KEPT: Duration = Duration::from_mins(10);

/// Time within which a live endpoint accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

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

    /// Counts a crash if the endpoint, which closed the request's connection without an
    /// answer, accepts no new connection; returns whether it crashed.
    pub(crate) async fn observe(&self, digest: u64, endpoint: &Endpoint) -> bool {
        for pause in PROBE_PAUSES {
            tokio::time::sleep(pause).await;
            let probe = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(endpoint.address));
            if let Ok(Err(_)) = probe.await {
                self.add(digest, endpoint.name.clone());
                return true;
            }
        }
        false
    }

    /// Returns the digests of crashes since the last call, one entry a crash.
    pub(crate) fn take_reports(&self) -> Vec<u64> {
        std::mem::take(&mut self.reports.lock())
    }

    fn add(&self, digest: u64, endpoint: EndpointName) {
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
        if suspect.endpoints.insert(endpoint) {
            self.reports.lock().push(digest);
        }
    }

    fn count(&self, digest: u64) -> u32 {
        let suspects = self.suspects.lock();
        let suspect = suspects.get(&digest);
        let live = suspect.filter(|s| s.until > Instant::now());
        live.map_or(0, |s| u32::try_from(s.endpoints.len()).unwrap_or(u32::MAX))
    }
}
