//! Ordered list of the engines for a prompt.
//!
//! The shared prefix of a prompt, all parts but the session's own last one, maps to a set of engines
//! by rendezvous hashing (Thaler and Ravishankar, 1998), weighted by slots, so that each prefix is
//! prefilled on few engines. Within the set a hash of the session's own part orders the engines, so
//! that a session returns to the engine with its own part. The set is followed by the next engines
//! in the prefix's order, to which requests spill.

use tokio::time::Instant;

use crate::Endpoint;
use crate::EndpointKey;
use crate::EndpointTable;
use crate::PartId;
use crate::PlacementRequest;
use crate::Prompt;
use crate::placement::endpoint_load::sum_tokens;
use crate::prefill_time;

/// Minimum number of engines that serve a prefix: the loss of one leaves another with the prefix.
const MIN_HOLDERS: usize = 2;

/// Prefill time, in milliseconds, that all engines of a prefix's set together may spend on the prefix
/// alone. A prefix of 5,400 tokens gets the minimum number of engines, one of 600 gets seven.
const PREFIX_BUDGET_MS: f64 = 100.0;

/// Maximum prefill time, in milliseconds, of the parts of a prompt that may differ in their engines
/// between the entries' failure domains. Prefilling more again costs more than the longer way.
const CHEAP_PARTS_MS: f64 = 20.0;

/// Number of engines after a prefix's set to which requests spill in order.
const SPILL_ENGINES: usize = 4;

/// Engines for a prompt, in the order in which they are preferred.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct EngineList {
    /// The first is the session's own engine.
    pub(crate) engines: Vec<EndpointKey>,
    /// Number of engines at the start of the list that belong to the prefix's set.
    pub(crate) holders: usize,
}

impl EngineList {
    /// Returns the number of prompt tokens that are assumed to be cached at the engine at a position
    /// of the list, of which this entry knows `known` from its own sends.
    pub(crate) fn cached_tokens(&self, position: usize, prompt: &Prompt, known: u32) -> u32 {
        let shared = prompt.parts.len().saturating_sub(1);
        let assumed = match position {
            0 => sum_tokens(&prompt.parts),
            _ if position < self.holders => sum_tokens(&prompt.parts[..shared]),
            _ => 0,
        };
        assumed.max(known)
    }
}

/// Lists the engines for a prompt.
///
/// Hashes once over the engines that may serve the request. Engines that are avoided, unavailable or cold
/// are left out, so that the next one of the order takes their place.
pub(crate) fn list_engines(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    prompt: &Prompt,
    now: Instant,
) -> EngineList {
    let Some(session) = prompt.parts.last().map(|part| part.id) else {
        return EngineList::default();
    };
    let prefix = shared_prefix(prompt).unwrap_or(session);
    let own_domain_first = parts_ms(prompt) <= CHEAP_PARTS_MS;
    let candidates = table.candidates(request.service, now);
    let mut ranked: Vec<(bool, f64, EndpointKey)> = candidates
        .filter(|(_, e)| request.versions.allows(&e.record.version))
        .filter(|(_, e)| !e.load.is_avoided(now) && e.load.unavailable_left(now).is_zero())
        .filter(|(_, e)| table.cold_limit(e, now).is_none())
        .map(|(key, e)| {
            let is_far = own_domain_first && e.record.domain != *request.domain;
            (is_far, weighted_rank(e, prefix), key)
        })
        .collect();
    let wanted = set_size(table, prompt, now);
    let by_rank = |a: &(bool, f64, EndpointKey), b: &(bool, f64, EndpointKey)| {
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    };
    let length = wanted.saturating_add(SPILL_ENGINES);
    if ranked.len() > length {
        ranked.select_nth_unstable_by(length, by_rank);
        ranked.truncate(length);
    }
    ranked.sort_unstable_by(by_rank);
    let holders = wanted.min(ranked.len());
    for (_, rank, key) in &mut ranked[..holders] {
        let endpoint = table.get(*key);
        *rank = endpoint.map_or(f64::MAX, |e| weighted_rank(e, session));
    }
    ranked[..holders].sort_unstable_by(by_rank);
    EngineList {
        engines: ranked.into_iter().map(|(_, _, key)| key).collect(),
        holders,
    }
}

/// Returns the part that stands for the shared prefix: the last one before the session's own.
pub(crate) fn shared_prefix(prompt: &Prompt) -> Option<PartId> {
    let position = prompt.parts.len().checked_sub(2)?;
    Some(prompt.parts[position].id)
}

/// Returns the number of engines that serve the prompts with a prefix: as many as their load needs,
/// and more where the prefix is cheap to prefill.
fn set_size(table: &EndpointTable, prompt: &Prompt, now: Instant) -> usize {
    let Some(prefix) = shared_prefix(prompt) else {
        return MIN_HOLDERS;
    };
    let shared = sum_tokens(&prompt.parts[..prompt.parts.len() - 1]);
    let prefix_ms = prefill_time(shared).as_secs_f64() * 1000.0;
    let affordable = (PREFIX_BUDGET_MS / prefix_ms.max(1.0)) as usize;
    let needed = table.engines_for_prefix(prefix, now);
    affordable.max(needed).max(MIN_HOLDERS)
}

/// Returns the prefill time of all parts of a prompt, in milliseconds.
fn parts_ms(prompt: &Prompt) -> f64 {
    prefill_time(sum_tokens(&prompt.parts)).as_secs_f64() * 1000.0
}

/// Returns the rank of an endpoint for a part; the lowest is the first.
///
/// The negative logarithm of a uniform hash, divided by the slots, is the lowest of all at an
/// endpoint with a probability that is proportional to its slots.
fn weighted_rank(endpoint: &Endpoint, part: PartId) -> f64 {
    let hash = mix(endpoint.id_hash() ^ part.0.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    // The upper 53 bits, as a number above 0 and at most 1.
    let uniform = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(endpoint.record.slots.max(1))
}

/// Finalizer of the generator `SplitMix64` (Steele, Lea and Flood, 2014).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
