//! Chooses the version and the endpoint of a request.

use rand::Rng;

use crate::Endpoint;
use crate::EndpointName;
use crate::FULL_SHARE;
use crate::RoutingTable;
use crate::Service;
use crate::VersionName;
use crate::in_flight::InFlight;

/// Chooses a version by the shares in force.
///
/// `point` is the request's place on the scale of shares, below [`FULL_SHARE`].
pub(crate) fn choose_version(service: &Service, point: u32) -> Option<&VersionName> {
    let mut sum = 0;
    for (name, version) in &service.versions {
        sum += version.share;
        if point < sum {
            return Some(name);
        }
    }
    None
}

/// Returns the endpoints of a version that take new work.
pub(crate) fn usable<'a>(
    table: &'a RoutingTable,
    service: &Service,
    version: &VersionName,
    excluded: &[EndpointName],
) -> Vec<&'a Endpoint> {
    let key = (service.name.clone(), version.clone());
    table
        .endpoints
        .get(&key)
        .into_iter()
        .flatten()
        .filter(|e| !table.live.leaving.contains_key(&e.vm))
        .filter(|e| !excluded.contains(&e.name))
        .collect()
}

/// Chooses the less loaded of two random endpoints.
///
/// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
pub(crate) fn two_choices<'a>(usable: &[&'a Endpoint], load: &InFlight) -> Option<&'a Endpoint> {
    let mut rng = rand::rng();
    match usable {
        [] => None,
        [only] => Some(only),
        _ => {
            let first = rng.random_range(0..usable.len());
            let step = rng.random_range(1..usable.len());
            let second = (first + step) % usable.len();
            let (a, b) = (usable[first], usable[second]);
            let better = if load.on(&b.name) < load.on(&a.name) {
                b
            } else {
                a
            };
            Some(better)
        }
    }
}

/// Draws a request's place on the scale of shares.
pub(crate) fn random_point() -> u32 {
    rand::rng().random_range(0..FULL_SHARE)
}
