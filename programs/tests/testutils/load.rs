//! Callers that keep sending requests through all gates of a deployment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use super::Call;
use super::Http;
use super::deployment::Deployment;

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the gate.
    pub gate: usize,
    /// Number of the request at this load, from zero.
    pub number: u64,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time at which the answer was whole.
    pub at: Instant,
    /// Time from sending to the whole answer.
    pub spent: Duration,
    /// Status code; zero without an answer.
    pub status: u16,
    /// Body as JSON, null when it is none.
    pub body: serde_json::Value,
}

impl Sample {
    /// Returns the version that answered, empty when none said so.
    pub fn version(&self) -> &str {
        self.body["version"].as_str().unwrap_or_default()
    }
}

/// Callers that send until they are dropped.
pub struct Load {
    samples: Arc<Mutex<Vec<Sample>>>,
    _tasks: JoinSet<()>,
}

impl Load {
    /// Starts `callers` at each gate; each sends `make(number)`, waits for the whole answer and
    /// pauses.
    pub fn start(
        deployment: &Deployment,
        callers: usize,
        pause: Duration,
        make: impl Fn(u64) -> Call + Clone + Send + 'static,
    ) -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let numbers = Arc::new(std::sync::atomic::AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for entry in &deployment.entries {
            for caller in 0..callers {
                let target = (entry.index, entry.callers());
                let offset = pause * u32::try_from(caller).unwrap() / 8;
                let (samples, numbers) = (Arc::clone(&samples), Arc::clone(&numbers));
                let make = make.clone();
                let http = deployment.http.clone();
                tasks.spawn(async move {
                    tokio::time::sleep(offset).await;
                    loop {
                        let number = numbers.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                        let sample = send(&http, target, number, make(number)).await;
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

    /// Returns what the callers have seen so far.
    pub fn samples(&self) -> Vec<Sample> {
        self.samples.lock().unwrap().clone()
    }

    /// Returns the time at which the `count`-th sample for which `test` holds was seen.
    pub fn time_of(&self, count: usize, test: impl Fn(&Sample) -> bool) -> Option<Instant> {
        let samples = self.samples.lock().unwrap();
        let mut times: Vec<Instant> = samples.iter().filter(|s| test(s)).map(|s| s.at).collect();
        times.sort_unstable();
        times.get(count - 1).copied()
    }
}

async fn send(http: &Http, target: (usize, SocketAddr), number: u64, call: Call) -> Sample {
    let begun = Instant::now();
    let answer = http.send(target.1, call).await;
    let (status, body) = answer.map_or((0, serde_json::Value::Null), |a| (a.status, a.json()));
    Sample {
        gate: target.0,
        number,
        sent: begun,
        at: Instant::now(),
        spent: begun.elapsed(),
        status,
        body,
    }
}
