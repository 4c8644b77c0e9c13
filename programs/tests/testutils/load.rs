//! Callers that continuously send requests through all gates of a deployment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use super::Call;
use super::TestClient;
use super::deployment::Deployment;

/// What a caller observed for one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the entry to whose gate the request was sent.
    pub gate: usize,
    /// Sequence number over all callers of the [`Load`], from zero.
    pub number: u64,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Time at which the response was complete or the request failed.
    pub ended_at: Instant,
    /// Time from sending the request to the complete response or the failure.
    pub latency: Duration,
    /// Status code, or zero if there was no response.
    pub status: u16,
    /// Body as JSON, or null when it is not valid JSON.
    pub body: serde_json::Value,
}

impl Sample {
    /// Returns the version that the response names, or an empty string.
    pub fn version(&self) -> &str {
        self.body["version"].as_str().unwrap_or_default()
    }
}

/// A set of callers, which send requests until the value is dropped.
pub struct Load {
    samples: Arc<Mutex<Vec<Sample>>>,
    _tasks: JoinSet<()>,
}

impl Load {
    /// Starts `callers` callers for each gate. Each one repeatedly sends the request that
    /// `make_call` returns for the next sequence number, waits for the complete response and sleeps
    /// for `pause`. The first requests of the callers of a gate start an eighth of `pause` apart.
    pub fn start(
        deployment: &Deployment,
        callers: usize,
        pause: Duration,
        make_call: impl Fn(u64) -> Call + Clone + Send + 'static,
    ) -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let numbers = Arc::new(std::sync::atomic::AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for entry in &deployment.entries {
            for caller in 0..callers {
                let target = (entry.index, entry.gate_address());
                let delay = pause * u32::try_from(caller).unwrap() / 8;
                let (samples, numbers) = (Arc::clone(&samples), Arc::clone(&numbers));
                let make_call = make_call.clone();
                let http = deployment.http.clone();
                tasks.spawn(async move {
                    tokio::time::sleep(delay).await;
                    loop {
                        let number = numbers.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                        let sample = send(&http, target, number, make_call(number)).await;
                        samples.lock().unwrap().push(sample);
                        tokio::time::sleep(pause).await;
                    }
                });
            }
        }
        Self {
            samples,
            _tasks: tasks,
        }
    }

    /// Returns the samples of all requests that have ended so far.
    pub fn samples(&self) -> Vec<Sample> {
        self.samples.lock().unwrap().clone()
    }

    /// Returns the time at which the `count`-th request, counted from one, that satisfies `test`
    /// ended, or `None` if fewer have.
    ///
    /// # Panics
    ///
    /// Panics if `count` is zero.
    pub fn nth_time(&self, count: usize, test: impl Fn(&Sample) -> bool) -> Option<Instant> {
        let samples = self.samples.lock().unwrap();
        let mut times: Vec<Instant> = samples
            .iter()
            .filter(|s| test(s))
            .map(|s| s.ended_at)
            .collect();
        times.sort_unstable();
        times.get(count - 1).copied()
    }
}

async fn send(http: &TestClient, target: (usize, SocketAddr), number: u64, call: Call) -> Sample {
    let started = Instant::now();
    let response = http.send(target.1, call).await;
    let (status, body) = response.map_or((0, serde_json::Value::Null), |r| (r.status, r.json()));
    Sample {
        gate: target.0,
        number,
        sent_at: started,
        ended_at: Instant::now(),
        latency: started.elapsed(),
        status,
        body,
    }
}
