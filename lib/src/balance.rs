//! Chooses one of several endpoints.

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::EndpointName;

/// Load above the mean at which affinity gives way, as a factor.
const LOAD_BOUND: f64 = 1.25;

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancePolicy {
    /// Any endpoint, with the same probability.
    Random,
    /// The less loaded of two random endpoints.
    TwoChoices,
    /// The endpoint that the prefix of the prompt hashes to, unless it is loaded far above the
    /// mean; two choices for requests without a prompt.
    #[default]
    PrefixAffinity,
}

/// An endpoint that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a EndpointName,
    /// Requests in progress.
    pub running: usize,
    /// Requests in progress that it takes well.
    pub limit: usize,
}

/// Returns the index of the chosen candidate; those below their limit come first.
pub fn choose_endpoint(
    policy: BalancePolicy,
    candidates: &[Candidate<'_>],
    affinity: Option<u64>,
) -> Option<usize> {
    let all = 0..candidates.len();
    let mut open: Vec<usize> = all
        .clone()
        .filter(|i| candidates[*i].running < candidates[*i].limit)
        .collect();
    if open.is_empty() {
        open = all.collect();
    }
    match (policy, affinity) {
        (BalancePolicy::Random, _) => random(&open),
        (BalancePolicy::PrefixAffinity, Some(key)) => by_affinity(candidates, &open, key),
        (BalancePolicy::TwoChoices | BalancePolicy::PrefixAffinity, _) => {
            two_choices(candidates, &open)
        }
    }
}

fn random(open: &[usize]) -> Option<usize> {
    match open {
        [] => None,
        _ => Some(open[rand::rng().random_range(0..open.len())]),
    }
}

/// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
fn two_choices(candidates: &[Candidate<'_>], open: &[usize]) -> Option<usize> {
    let (first, second) = (random(open)?, random(open)?);
    if candidates[second].running < candidates[first].running {
        Some(second)
    } else {
        Some(first)
    }
}

/// Ranks by rendezvous hash and takes the first whose load is within the bound.
///
/// Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018.
fn by_affinity(candidates: &[Candidate<'_>], open: &[usize], key: u64) -> Option<usize> {
    let running: usize = open.iter().map(|i| candidates[*i].running).sum();
    let mean = (running + 1) as f64 / open.len().max(1) as f64;
    let bound = (mean * LOAD_BOUND).ceil();
    let within = |i: &&usize| ((candidates[**i].running + 1) as f64) <= bound;
    open.iter()
        .filter(within)
        .max_by_key(|i| rank(key, candidates[**i].name))
        .copied()
}

fn rank(key: u64, name: &EndpointName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), key)
}
