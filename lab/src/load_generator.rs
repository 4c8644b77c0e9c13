//! Open-loop load: requests are sent at randomly drawn times, whether or not earlier ones have
//! completed.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lib::ATTEMPT_ID_HEADER;
use hawthornrack_lib::HttpClient;
use hawthornrack_lib::Reuse;
use hawthornrack_lib::json_request;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::header::HeaderValue;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use serde::Deserialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Timeout of a request, after which it counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Position of the load peak, as a fraction of the run.
const PEAK_POSITION: f64 = 0.6;

/// Width of the load peak (standard deviation), as a fraction of the run.
const PEAK_WIDTH: f64 = 0.15;

/// HTTP statuses that count as a refusal.
const REFUSAL_STATUSES: [u16; 2] = [429, 503];

/// Load of one customer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerLoad {
    /// Name of the customer, which is also its bearer token.
    pub name: String,
    /// Request rate away from the peak, per second; must be positive.
    pub rate: f64,
    /// Factor by which the rate is multiplied at the peak.
    #[serde(default = "one")]
    pub peak: f64,
    /// Whether the requests are deferred; if not, they are interactive.
    #[serde(default)]
    pub deferred: bool,
}

fn one() -> f64 {
    1.0
}

/// Shape of the prompts and responses.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptShape {
    /// Number of different prompt prefixes.
    pub prefixes: u64,
    /// Tokens in a prefix.
    pub prefix_tokens: usize,
    /// Tokens in a prompt after its prefix, which are unique to it.
    pub own_tokens: usize,
    /// Tokens in a response.
    pub answer_tokens: u32,
}

/// Outcome of one customer's requests.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Number of requests whose response was complete.
    pub completed: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of requests that failed in another way.
    pub failed: u64,
    /// Microseconds from the scheduled time to the first token, for complete responses.
    pub first_token: Histogram<u64>,
    /// Microseconds from the scheduled time to the refusal.
    pub refusal_delay: Histogram<u64>,
}

/// Destination of the requests.
#[derive(Clone, Debug)]
pub(crate) struct LoadDestination {
    /// Addresses; each request uses one at random.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Path of interactive requests.
    pub(crate) interactive: String,
    /// Path of deferred requests.
    pub(crate) deferred: String,
}

/// Outcome of one request.
enum RequestOutcome {
    /// Time from the scheduled time to the first token.
    Completed(Duration),
    Failed,
    /// Time from the scheduled time to the refusal.
    Refused(Duration),
}

/// Sends a customer's requests for `duration` and waits until all have completed or failed.
pub(crate) async fn generate_load(
    destination: LoadDestination,
    customer: CustomerLoad,
    shape: PromptShape,
    duration: Duration,
    seed: u64,
) -> LoadResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let http = HttpClient::new();
    let started = Instant::now();
    let mut scheduled_time = started;
    let mut requests = JoinSet::new();
    loop {
        let rate = rate_at(&customer, scheduled_time.duration_since(started), duration);
        let interval = Exp::new(rate).map_or(1.0, |d| d.sample(&mut rng));
        scheduled_time += Duration::from_secs_f64(interval);
        if scheduled_time.duration_since(started) >= duration {
            break;
        }
        tokio::time::sleep_until(scheduled_time).await;
        let address = destination.addresses[rng.random_range(0..destination.addresses.len())];
        let path = if customer.deferred {
            &destination.deferred
        } else {
            &destination.interactive
        };
        let request = ScheduledRequest {
            http: http.clone(),
            address,
            path: path.clone(),
            token: customer.name.clone(),
            prompt: prompt(shape, &mut rng),
            answer_tokens: shape.answer_tokens,
        };
        requests.spawn(request.run(scheduled_time));
    }
    let mut result = LoadResult::new();
    while let Some(outcome) = requests.join_next().await {
        result.count(&outcome.unwrap_or(RequestOutcome::Failed));
    }
    result
}

/// Returns the request rate at a time since the start; the peak has the shape of a Gaussian.
fn rate_at(customer: &CustomerLoad, elapsed: Duration, duration: Duration) -> f64 {
    let distance = (elapsed.as_secs_f64() / duration.as_secs_f64() - PEAK_POSITION) / PEAK_WIDTH;
    customer.rate * (1.0 + (customer.peak - 1.0) * (-0.5 * distance * distance).exp())
}

/// Creates a prompt from a randomly chosen shared prefix and words unique to the prompt.
fn prompt(shape: PromptShape, rng: &mut SmallRng) -> String {
    let prefix = rng.random_range(0..shape.prefixes);
    let prefix_words = (0..shape.prefix_tokens).map(|i| format!("p{prefix}w{i}"));
    let salt: u32 = rng.random();
    let own_words = (0..shape.own_tokens).map(|i| format!("o{salt:x}w{i}"));
    prefix_words.chain(own_words).collect::<Vec<_>>().join(" ")
}

/// Request that is sent at its scheduled time.
struct ScheduledRequest {
    http: HttpClient,
    address: SocketAddr,
    path: String,
    token: String,
    prompt: String,
    answer_tokens: u32,
}

impl ScheduledRequest {
    async fn run(self, scheduled_time: Instant) -> RequestOutcome {
        let outcome =
            tokio::time::timeout(REQUEST_TIMEOUT, self.send_and_read(scheduled_time)).await;
        outcome.ok().flatten().unwrap_or(RequestOutcome::Failed)
    }

    /// Sends the request and reads its response; returns `None` if that failed.
    async fn send_and_read(&self, scheduled_time: Instant) -> Option<RequestOutcome> {
        let body = json!({
            "prompt": self.prompt, "max_tokens": self.answer_tokens, "stream": true,
        });
        let mut request = json_request(self.address, Method::POST, &self.path, Some(&body)).ok()?;
        let token = HeaderValue::from_str(&format!("Bearer {}", self.token)).ok()?;
        let attempt = HeaderValue::from(rand::random::<u64>());
        request.headers_mut().insert("authorization", token);
        request.headers_mut().insert(ATTEMPT_ID_HEADER, attempt);
        let sent = self.http.send(self.address, request, Reuse::Idle).await;
        let (response, connection) = sent.ok()?;
        let status = response.status().as_u16();
        if status != 200 {
            let is_refusal = REFUSAL_STATUSES.contains(&status);
            response.into_body().collect().await.ok()?;
            self.http.return_to_pool(connection);
            return is_refusal.then(|| RequestOutcome::Refused(scheduled_time.elapsed()));
        }
        let mut body = response.into_body();
        let mut first_token = None;
        // Last bytes of the stream, which contain the `[DONE]` marker if the response is complete.
        let mut tail = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else {
                continue;
            };
            if first_token.is_none() && contains(&data, b"\"text\"") {
                first_token = Some(scheduled_time.elapsed());
            }
            tail.extend_from_slice(&data);
            let excess = tail.len().saturating_sub(64);
            tail.drain(..excess);
        }
        self.http.return_to_pool(connection);
        let is_complete = contains(&tail, b"[DONE]");
        first_token
            .filter(|_| is_complete)
            .map(RequestOutcome::Completed)
    }
}

fn contains(data: &[u8], needle: &[u8]) -> bool {
    data.windows(needle.len()).any(|window| window == needle)
}

impl LoadResult {
    fn new() -> Self {
        // Values up to ten minutes, in microseconds, with three significant digits.
        let empty = Histogram::new_with_max(600_000_000, 3);
        let empty = empty.expect("the bounds of the histogram are valid");
        Self {
            completed: 0,
            refused: 0,
            failed: 0,
            first_token: empty.clone(),
            refusal_delay: empty,
        }
    }

    fn count(&mut self, outcome: &RequestOutcome) {
        match outcome {
            RequestOutcome::Completed(first_token) => {
                self.completed += 1;
                self.first_token
                    .saturating_record(first_token.as_micros() as u64);
            }
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Refused(delay) => {
                self.refused += 1;
                self.refusal_delay
                    .saturating_record(delay.as_micros() as u64);
            }
        }
    }
}
