//! Open-loop load: requests sent at their drawn times, whatever became of earlier ones.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lib::ATTEMPT_HEADER;
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

/// Time after which a request that was not answered counts as failed.
const CALL_LIMIT: Duration = Duration::from_mins(1);

/// Point of the peak within the run.
const PEAK_AT: f64 = 0.6;

/// Width of the peak within the run.
const PEAK_WIDTH: f64 = 0.15;

/// Statuses of refusals.
const REFUSALS: [u16; 2] = [429, 503];

/// Requests of one customer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerLoad {
    /// Name.
    pub name: String,
    /// Requests a second away from the peak.
    pub rate: f64,
    /// Factor on the rate at the peak.
    #[serde(default = "one")]
    pub peak: f64,
    /// Whether the requests can wait.
    #[serde(default)]
    pub deferred: bool,
}

fn one() -> f64 {
    1.0
}

/// What the requests ask for.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptShape {
    /// Different beginnings of prompts.
    pub prefixes: u64,
    /// Tokens of a beginning.
    pub prefix_tokens: usize,
    /// Tokens of a prompt's own end.
    pub own_tokens: usize,
    /// Tokens of an answer.
    pub answer_tokens: u32,
}

/// How one customer's requests went.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// Microseconds from the drawn time to the first token, of those answered.
    pub first: Histogram<u64>,
    /// Microseconds from the drawn time to a refusal.
    pub refusal: Histogram<u64>,
}

/// Where requests go.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Addresses; each request takes one at random.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Path of requests for which a person waits.
    pub(crate) interactive: String,
    /// Path of requests that can wait.
    pub(crate) deferred: String,
}

/// How one request went.
enum Ending {
    Answered(Duration),
    Failed,
    Refused(Duration),
}

/// Sends a customer's requests for a while and waits for all answers.
pub(crate) async fn send_load(
    target: Target,
    customer: CustomerLoad,
    shape: PromptShape,
    length: Duration,
    seed: u64,
) -> LoadResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let http = HttpClient::new();
    let started = Instant::now();
    let mut due = started;
    let mut calls = JoinSet::new();
    loop {
        let rate = rate_at(&customer, due.duration_since(started), length);
        let gap = Exp::new(rate).map_or(1.0, |d| d.sample(&mut rng));
        due += Duration::from_secs_f64(gap);
        if due.duration_since(started) >= length {
            break;
        }
        tokio::time::sleep_until(due).await;
        let address = target.addresses[rng.random_range(0..target.addresses.len())];
        let path = if customer.deferred {
            &target.deferred
        } else {
            &target.interactive
        };
        let call = Call {
            http: http.clone(),
            address,
            path: path.clone(),
            token: customer.name.clone(),
            prompt: prompt(shape, &mut rng),
            answer_tokens: shape.answer_tokens,
        };
        calls.spawn(call.run(due));
    }
    let mut result = LoadResult::new();
    while let Some(ending) = calls.join_next().await {
        result.count(&ending.unwrap_or(Ending::Failed));
    }
    result
}

fn rate_at(customer: &CustomerLoad, since: Duration, length: Duration) -> f64 {
    let away = (since.as_secs_f64() / length.as_secs_f64() - PEAK_AT) / PEAK_WIDTH;
    customer.rate * (1.0 + (customer.peak - 1.0) * (-0.5 * away * away).exp())
}

fn prompt(shape: PromptShape, rng: &mut SmallRng) -> String {
    let prefix = rng.random_range(0..shape.prefixes);
    let shared = (0..shape.prefix_tokens).map(|i| format!("p{prefix}w{i}"));
    let salt: u32 = rng.random();
    let own = (0..shape.own_tokens).map(|i| format!("o{salt:x}w{i}"));
    shared.chain(own).collect::<Vec<_>>().join(" ")
}

struct Call {
    http: HttpClient,
    address: SocketAddr,
    path: String,
    token: String,
    prompt: String,
    answer_tokens: u32,
}

impl Call {
    async fn run(self, due: Instant) -> Ending {
        let ending = tokio::time::timeout(CALL_LIMIT, self.exchange(due)).await;
        ending.ok().flatten().unwrap_or(Ending::Failed)
    }

    async fn exchange(&self, due: Instant) -> Option<Ending> {
        let body = json!({
            "prompt": self.prompt, "max_tokens": self.answer_tokens, "stream": true,
        });
        let mut request = json_request(self.address, Method::POST, &self.path, Some(&body)).ok()?;
        let token = HeaderValue::from_str(&format!("Bearer {}", self.token)).ok()?;
        let attempt = HeaderValue::from(rand::random::<u64>());
        request.headers_mut().insert("authorization", token);
        request.headers_mut().insert(ATTEMPT_HEADER, attempt);
        let sent = self.http.send(self.address, request, Reuse::Idle).await;
        let (response, lent) = sent.ok()?;
        let status = response.status().as_u16();
        if status != 200 {
            let is_refusal = REFUSALS.contains(&status);
            response.into_body().collect().await.ok()?;
            self.http.give_back(lent);
            return is_refusal.then(|| Ending::Refused(due.elapsed()));
        }
        let mut body = response.into_body();
        let mut first = None;
        let mut tail = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else {
                continue;
            };
            if first.is_none() && contains(&data, b"\"text\"") {
                first = Some(due.elapsed());
            }
            tail.extend_from_slice(&data);
            let keep = tail.len().saturating_sub(64);
            tail.drain(..keep);
        }
        self.http.give_back(lent);
        let is_whole = contains(&tail, b"[DONE]");
        first.filter(|_| is_whole).map(Ending::Answered)
    }
}

fn contains(data: &[u8], wanted: &[u8]) -> bool {
    data.windows(wanted.len()).any(|part| part == wanted)
}

impl LoadResult {
    fn new() -> Self {
        let empty = Histogram::new_with_max(600_000_000, 3);
        let empty = empty.expect("the bounds of the histogram are valid");
        Self {
            answered: 0,
            refused: 0,
            failed: 0,
            first: empty.clone(),
            refusal: empty,
        }
    }

    fn count(&mut self, ending: &Ending) {
        match ending {
            Ending::Answered(first) => {
                self.answered += 1;
                self.first.saturating_record(first.as_micros() as u64);
            }
            Ending::Failed => self.failed += 1,
            Ending::Refused(after) => {
                self.refused += 1;
                self.refusal.saturating_record(after.as_micros() as u64);
            }
        }
    }
}
