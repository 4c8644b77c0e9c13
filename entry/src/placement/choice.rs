//! Chooses the endpoint for a request.
//!
//! Prompts share long prefixes, and prefilling a cached part again costs more than any other effect
//! of the choice. All entries list the engines for a prompt in the same order (`engine_list.rs`), so
//! that prefixes and sessions stay on their engines without coordination. The first engines of the
//! list are compared by their predicted start; the others are taken in the order of the list, and
//! random ones only if none of the list takes the request. Calls without a prompt go to the endpoint
//! with the lowest product of in-flight requests per slot and latency, apart from penalties for
//! failures and for another failure domain.

use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::DomainName;
use crate::Endpoint;
use crate::EndpointKey;
use crate::EndpointTable;
use crate::Engine;
use crate::Prompt;
use crate::ServiceName;
use crate::VersionFilter;
use crate::placement::endpoint_load::sum_tokens;
use crate::placement::engine_list::EngineList;
use crate::placement::engine_list::list_engines;
use crate::prefill_time;

/// Penalty for prefilling shared prompt parts that are not cached, as a multiple of the time that
/// the prefill takes; it is added to that time.
const REPREFILL_PENALTY_FACTOR: f64 = 3.0;

/// Number of random endpoints that are compared with a session's preferred endpoint.
const RANDOM_SAMPLE_SIZE: usize = 2;

/// Number of engines at the start of a list that are compared by their predicted start.
const COMPARED_ENGINES: usize = 3;

/// Maximum time in which an engine prefills the prompts that it has been sent, for a long prompt to be
/// added while others are prefilled: half of the shortest objective of short prompts in the reference
/// systems (500 ms), so that a short prompt that arrives next still begins in time.
const MAX_PREFILL_QUEUE: Duration = Duration::from_millis(250);

/// Minimum prefill time of a long prompt.
const LONG_PREFILL: Duration = Duration::from_millis(60);

/// Cost of sending to an endpoint in another failure domain, in milliseconds.
const CROSS_DOMAIN_COST_MS: f64 = 4.0;

/// Cost of an endpoint all of whose requests fail, in milliseconds.
const FAILURE_COST_MS: f64 = 2000.0;

/// Cost of each in-flight request at a model engine, in milliseconds.
const IN_FLIGHT_COST_MS: f64 = 2.0;

/// Cost of an endpoint that is avoided because it was unavailable, in milliseconds.
const AVOIDED_COST_MS: f64 = 5000.0;

/// Latency that is assumed before an endpoint's first successful response, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 50.0;

/// Maximum fraction of an engine's KV cache that requests may occupy.
const MAX_KV_CACHE_FRACTION: f64 = 0.9;

/// Maximum number of queued requests per slot of an endpoint, for requests that need no engine or
/// have no prompt.
const MAX_QUEUED_PER_SLOT: u32 = 2;

/// Properties of a request that determine its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Engine of the service; `None` for a service without a model.
    pub engine: Option<Engine>,
    /// Versions that the request may run on.
    pub versions: VersionFilter<'a>,
    /// Prompt of the request; `None` for a plain call.
    pub prompt: Option<&'a Prompt>,
    /// Failure domain of the entry VM.
    pub domain: &'a DomainName,
    /// Endpoints that were already tried and are excluded.
    pub tried: &'a [EndpointKey],
    /// Maximum expected wait at an endpoint: the time within which the response must begin.
    pub max_wait: Duration,
}

/// Outcome of choosing an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send the request to an endpoint.
    Send {
        /// Chosen endpoint.
        key: EndpointKey,
        /// Number of prompt tokens that are not cached at the endpoint.
        prefill: u32,
    },
    /// Every endpoint is full or its wait is too long; holds the shortest expected wait.
    Full(Duration),
    /// Every endpoint takes no requests for a time of its own choice, so that no request that ends
    /// makes room.
    Unavailable {
        /// Shortest time until one takes requests again.
        wait: Duration,
        /// Whether that is for its rate limit.
        limited: bool,
    },
    /// No endpoint is left to try.
    NoEndpoint,
}

/// Chooses the endpoint for a request.
///
/// A prompt for an engine goes to an engine of its list. If all of these have long prefill queues,
/// they are compared with a small random sample of the others. Prompts for other services go to their
/// session's preferred endpoint or to one of the sample. If all endpoints were compared, entries with
/// the same stale load data would all choose the same one (Mitzenmacher, "The power of two choices in
/// randomized load balancing", 1996). All endpoints are compared only if no other choice is left.
pub fn choose_endpoint(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Choice {
    let Some(prompt) = request.prompt else {
        return choose_among(table, request, None, None, now);
    };
    if request.engine.is_some() {
        let list = list_engines(table, request, prompt, now);
        let choice = choose_from_list(table, request, prompt, &list, now);
        return choice.unwrap_or_else(|| choose_among(table, request, None, None, now));
    }
    let preferred = preferred_endpoint(table, request, prompt, now);
    let mut sample = sample_endpoints(table, request, now);
    sample.extend(preferred);
    let choice = choose_among(table, request, preferred, Some(&sample), now);
    if matches!(choice, Choice::Send { .. }) {
        return choice;
    }
    choose_among(table, request, preferred, None, now)
}

/// Returns a small random sample of the endpoints of a request's service.
fn sample_endpoints(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Vec<EndpointKey> {
    let candidates = table.candidates(request.service, now);
    let allowed = candidates
        .filter(|(_, e)| has_allowed_version(e, request) && e.load.unavailable_left(now).is_zero());
    let keys = allowed.map(|(key, _)| key);
    keys.choose_multiple(&mut rand::rng(), RANDOM_SAMPLE_SIZE)
}

/// Chooses the engine with the lowest cost among the first ones of a list, or the next one of the list
/// that takes the request within the bound on prefill queues; otherwise the one with the lowest cost
/// among the list and a random sample. `None` if none takes the request.
fn choose_from_list(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    prompt: &Prompt,
    list: &EngineList,
    now: Instant,
) -> Option<Choice> {
    let lowest_cost = |engines: &[EndpointKey], start: usize, max_queue: Duration| {
        let mut best: Option<(f64, Choice)> = None;
        for (offset, key) in engines.iter().enumerate() {
            let endpoint = table.get(*key).filter(|_| !request.tried.contains(key));
            let Some(endpoint) = endpoint.filter(|e| !is_full(e, request)) else {
                continue;
            };
            let known = endpoint.load.cached_tokens(prompt);
            let cached = list.cached_tokens(start + offset, prompt, known);
            if !starts_in_time(endpoint, request, prompt, cached, max_queue, now) {
                continue;
            }
            let running = counted_running(table, endpoint, now);
            let (cost, prefill) =
                estimate_prompt_cost(endpoint, request, prompt, (cached, running), now);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, Choice::Send { key: *key, prefill }));
            }
        }
        best
    };
    let (compared, spill) = list
        .engines
        .split_at(COMPARED_ENGINES.min(list.engines.len()));
    let within_bound = lowest_cost(compared, 0, MAX_PREFILL_QUEUE).or_else(|| {
        let mut next = spill.iter().enumerate();
        next.find_map(|(offset, key)| {
            lowest_cost(&[*key], compared.len() + offset, MAX_PREFILL_QUEUE)
        })
    });
    let chosen = within_bound.or_else(|| {
        let mut engines = list.engines.clone();
        engines.extend(sample_endpoints(table, request, now));
        lowest_cost(&engines, 0, Duration::MAX)
    });
    chosen.map(|(_, choice)| choice)
}

/// Returns whether a prompt is prefilled within its objective at an engine, and, if it is long, makes
/// the prompts that arrive after it wait for `max_queue` at most.
fn starts_in_time(
    endpoint: &Endpoint,
    request: &PlacementRequest<'_>,
    prompt: &Prompt,
    cached: u32,
    max_queue: Duration,
    now: Instant,
) -> bool {
    let queue = endpoint.load.prefill_queue(now);
    if queue.is_zero() {
        return true;
    }
    let prefill = prefill_time(prompt_tokens(prompt) - cached);
    let start = queue + prefill.mul_f64(endpoint.load.slowness(now));
    start <= request.max_wait && (prefill < LONG_PREFILL || start <= max_queue)
}

fn choose_among(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    preferred: Option<EndpointKey>,
    subset: Option<&[EndpointKey]>,
    now: Instant,
) -> Choice {
    let mut best: Option<(f64, EndpointKey, u32)> = None;
    let mut shortest_wait: Option<Duration> = None;
    let mut is_any_full = false;
    let mut limited = false;
    for (key, endpoint) in table.candidates(request.service, now) {
        let is_excluded = subset.is_some_and(|subset| !subset.contains(&key));
        if is_excluded || request.tried.contains(&key) || !has_allowed_version(endpoint, request) {
            continue;
        }
        let hold = endpoint.load.hold_left(now);
        let unavailable = endpoint.load.unavailable_left(now);
        let wait = expected_wait(endpoint, request, now).max(unavailable);
        if !unavailable.is_zero() || is_full(endpoint, request) || wait > request.max_wait {
            is_any_full |= unavailable.is_zero();
            if shortest_wait.is_none_or(|shortest| wait < shortest) {
                shortest_wait = Some(wait);
                limited = unavailable == hold && !hold.is_zero();
            }
            continue;
        }
        let running = counted_running(table, endpoint, now);
        let (cost, prefill) =
            estimate_cost(endpoint, request, preferred == Some(key), running, now);
        if best.is_none_or(|(lowest, ..)| cost < lowest) {
            best = Some((cost, key, prefill));
        }
    }
    match (best, shortest_wait) {
        (Some((_, key, prefill)), _) => Choice::Send { key, prefill },
        (None, Some(wait)) if is_any_full => Choice::Full(wait),
        (None, Some(wait)) => Choice::Unavailable { wait, limited },
        (None, None) => Choice::NoEndpoint,
    }
}

fn has_allowed_version(endpoint: &Endpoint, request: &PlacementRequest<'_>) -> bool {
    request.versions.allows(&endpoint.record.version)
}

/// Returns the endpoint that is assumed to cache a session's prompt parts: the one with the highest
/// hash among all that may serve it (rendezvous hashing; Thaler and Ravishankar, 1998).
fn preferred_endpoint(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    prompt: &Prompt,
    now: Instant,
) -> Option<EndpointKey> {
    let session_part = prompt.parts.last()?;
    let rendezvous_hash = |endpoint: &Endpoint| {
        let id = endpoint.record.id.as_str().as_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(id, session_part.id.0)
    };
    table
        .candidates(request.service, now)
        .filter(|(_, e)| has_allowed_version(e, request) && !e.load.is_avoided(now))
        .filter(|(_, e)| e.load.unavailable_left(now).is_zero())
        .filter(|(_, e)| table.cold_limit(e, now).is_none())
        .max_by_key(|(_, e)| rendezvous_hash(e))
        .map(|(key, _)| key)
}

fn is_full(endpoint: &Endpoint, request: &PlacementRequest<'_>) -> bool {
    let running = endpoint.load.running();
    // A brittle endpoint may let none wait.
    if endpoint.load.is_brittle() && running >= endpoint.record.slots {
        return true;
    }
    match (request.engine, request.prompt) {
        (Some(engine), Some(prompt)) => {
            let capacity = engine.kv_capacity as f64 * MAX_KV_CACHE_FRACTION;
            let needed = endpoint.load.tokens().saturating_add(prompt.max_tokens());
            let exceeds_kv_cache = needed as f64 > capacity && running > 0;
            running >= endpoint.record.slots || exceeds_kv_cache
        }
        _ => {
            running
                >= endpoint
                    .record
                    .slots
                    .saturating_mul(1 + MAX_QUEUED_PER_SLOT)
        }
    }
}

fn expected_wait(endpoint: &Endpoint, request: &PlacementRequest<'_>, now: Instant) -> Duration {
    if request.prompt.is_some() {
        return endpoint.load.prefill_queue(now);
    }
    let slots = endpoint.record.slots.max(1);
    let queued = endpoint.load.running().saturating_sub(slots);
    let mean_ms = endpoint.load.latency_ms().unwrap_or(DEFAULT_LATENCY_MS);
    Duration::from_secs_f64(f64::from(queued) / f64::from(slots) * mean_ms / 1000.0)
}

fn estimate_cost(
    endpoint: &Endpoint,
    request: &PlacementRequest<'_>,
    is_preferred: bool,
    running: u32,
    now: Instant,
) -> (f64, u32) {
    if let Some(prompt) = request.prompt {
        let cached = if is_preferred {
            sum_tokens(&prompt.parts)
        } else {
            endpoint.load.cached_tokens(prompt)
        };
        return estimate_prompt_cost(endpoint, request, prompt, (cached, running), now);
    }
    let slots = f64::from(endpoint.record.slots.max(1));
    let latency = endpoint.load.latency_ms().unwrap_or(DEFAULT_LATENCY_MS);
    // Random noise of up to half a request keeps entries with the same load data from all
    // choosing the same endpoint.
    let noise: f64 = rand::rng().random_range(0.0..0.5);
    let queue = (f64::from(running) + noise) / slots * latency;
    (base_cost(endpoint, request, now) + queue, 0)
}

/// Returns the number of requests at an endpoint that its cost counts. A cold endpoint has few because of
/// its limit and counts as half full at least.
fn counted_running(table: &EndpointTable, endpoint: &Endpoint, now: Instant) -> u32 {
    let running = endpoint.load.running();
    if table.cold_limit(endpoint, now).is_some() {
        running.max(endpoint.record.slots.div_ceil(2))
    } else {
        running
    }
}

/// Returns the cost of an endpoint apart from its load: failures and another failure domain.
fn base_cost(endpoint: &Endpoint, request: &PlacementRequest<'_>, now: Instant) -> f64 {
    let load = &endpoint.load;
    let mut cost = load.failure_rate() * FAILURE_COST_MS;
    if load.is_avoided(now) {
        cost += AVOIDED_COST_MS;
    }
    if endpoint.record.domain != *request.domain {
        cost += CROSS_DOMAIN_COST_MS;
    }
    cost
}

/// Returns the cost of an endpoint that has `cached` tokens of a prompt and `running` requests, in
/// milliseconds until the prompt is prefilled, and the number of tokens to be prefilled.
fn estimate_prompt_cost(
    endpoint: &Endpoint,
    request: &PlacementRequest<'_>,
    prompt: &Prompt,
    (cached, running): (u32, u32),
    now: Instant,
) -> (f64, u32) {
    let load = &endpoint.load;
    let prefill = prompt_tokens(prompt) - cached;
    let reprefill = prefill_time(sum_tokens(&prompt.parts) - cached);
    let running = f64::from(running) * IN_FLIGHT_COST_MS;
    let prefill_ms = prefill_time(prefill).as_secs_f64() * 1000.0;
    let start = load.prefill_queue(now).as_secs_f64() * 1000.0
        + (running + prefill_ms) * load.slowness(now);
    let penalty = reprefill.as_secs_f64() * 1000.0 * REPREFILL_PENALTY_FACTOR;
    (base_cost(endpoint, request, now) + start + penalty, prefill)
}

/// Returns the length of a prompt, in tokens; at least the length of its parts.
fn prompt_tokens(prompt: &Prompt) -> u32 {
    prompt.input.max(sum_tokens(&prompt.parts))
}
