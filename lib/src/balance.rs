//! Load balancing: chooses one of several endpoints.

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::EndpointName;

/// Maximum load at which an endpoint is chosen by affinity, as a multiple of the mean load.
const MAX_LOAD_FACTOR: f64 = 1.25;

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancePolicy {
    /// Uniformly random endpoint.
    Random,
    /// Less loaded of two random endpoints.
    TwoChoices,
    /// Highest-ranked endpoint for the prompt's prefix whose load is within 1.25 times the mean;
    /// [`Self::TwoChoices`] for requests without a prompt.
    #[default]
    PrefixAffinity,
}

/// Endpoint that may be chosen, with its load.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the endpoint, which is the input of the affinity hash.
    pub name: &'a EndpointName,
    /// Requests in progress at the endpoint.
    pub running: usize,
    /// Concurrency limit of the endpoint, in requests.
    pub limit: usize,
}

/// Returns the index of the chosen candidate, or `None` when there are no candidates.
///
/// Candidates at or above their limit are chosen only when no candidate is below its limit.
/// `affinity_key` is a hash of the prompt's prefix.
pub fn choose_endpoint(
    policy: BalancePolicy,
    candidates: &[Candidate<'_>],
    affinity_key: Option<u64>,
) -> Option<usize> {
    let all = 0..candidates.len();
    let mut eligible: Vec<usize> = all
        .clone()
        .filter(|i| candidates[*i].running < candidates[*i].limit)
        .collect();
    if eligible.is_empty() {
        eligible = all.collect();
    }
    match (policy, affinity_key) {
        (BalancePolicy::Random, _) => choose_random(&eligible),
        (BalancePolicy::PrefixAffinity, Some(affinity_key)) => {
            choose_by_affinity(candidates, &eligible, affinity_key)
        }
        (BalancePolicy::TwoChoices | BalancePolicy::PrefixAffinity, _) => {
            choose_less_loaded(candidates, &eligible)
        }
    }
}

fn choose_random(eligible: &[usize]) -> Option<usize> {
    match eligible {
        [] => None,
        _ => Some(eligible[rand::rng().random_range(0..eligible.len())]),
    }
}

/// Returns the less loaded of two endpoints drawn at random.
///
/// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
fn choose_less_loaded(candidates: &[Candidate<'_>], eligible: &[usize]) -> Option<usize> {
    let (first, second) = (choose_random(eligible)?, choose_random(eligible)?);
    if candidates[second].running < candidates[first].running {
        Some(second)
    } else {
        Some(first)
    }
}

/// Returns the highest-ranked endpoint by rendezvous hash whose load is within the bound.
///
/// Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018.
fn choose_by_affinity(
    candidates: &[Candidate<'_>],
    eligible: &[usize],
    affinity_key: u64,
) -> Option<usize> {
    let running: usize = eligible.iter().map(|i| candidates[*i].running).sum();
    let mean = (running + 1) as f64 / eligible.len().max(1) as f64;
    let bound = (mean * MAX_LOAD_FACTOR).ceil();
    let is_within_bound = |i: &&usize| ((candidates[**i].running + 1) as f64) <= bound;
    eligible
        .iter()
        .filter(is_within_bound)
        .max_by_key(|i| rendezvous_score(affinity_key, candidates[**i].name))
        .copied()
}

/// Returns the rendezvous hash of an endpoint for an affinity key.
fn rendezvous_score(affinity_key: u64, name: &EndpointName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), affinity_key)
}
