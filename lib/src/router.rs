//! Routing: chooses the version and the endpoint of a request.

use rand::Rng;

use crate::Candidate;
use crate::Endpoint;
use crate::EndpointName;
use crate::FULL_SHARE_PERMILLE;
use crate::Gate;
use crate::RoutingTable;
use crate::Service;
use crate::ServiceName;
use crate::VersionName;
use crate::call::Call;
use crate::choose_endpoint;
use crate::effective_shares;
use crate::in_flight::InFlight;

/// Request header with a conversation identifier; one conversation stays on one version.
const CONVERSATION_ID_HEADER: &str = "x-conversation-id";

/// Returns the version whose range of traffic buckets holds the request's bucket.
///
/// `bucket` is below [`FULL_SHARE_PERMILLE`], the sum of all shares.
fn choose_version<'a>(shares: &[(&'a VersionName, u32)], bucket: u32) -> Option<&'a VersionName> {
    let mut sum = 0;
    for (name, share) in shares {
        sum += share;
        if bucket < sum {
            return Some(name);
        }
    }
    None
}

/// Chooses an endpoint for a call, or returns `None` when no endpoint is available.
///
/// Tries the `preferred` version if it has a share, then the version drawn by the shares, then the
/// other versions with a share. Endpoints in `excluded` are never chosen.
pub(crate) fn select_endpoint(
    gate: &Gate,
    table: &RoutingTable,
    call: &Call,
    preferred: Option<&VersionName>,
    excluded: &[EndpointName],
) -> Option<Endpoint> {
    let service = &table.config.services.get(&call.service.name)?.value;
    let active_move = table.config.running_move(&service.name);
    let shares = effective_shares(service, active_move, &table.live);
    let assigned = choose_version(&shares, traffic_bucket(call));
    let active = shares.iter().filter(|(_, share)| *share > 0);
    let active = active.map(|(name, _)| *name);
    let preferred = preferred.filter(|version| active.clone().any(|name| name == *version));
    let order = preferred.into_iter().chain(assigned).chain(active);
    let is_suspect = gate.crashes.is_suspect_request(call.digest());
    order
        .map(|version| available_endpoints(table, service, version, excluded))
        .find_map(|endpoints| {
            if is_suspect {
                least_loaded(&endpoints, &gate.in_flight).cloned()
            } else {
                choose_balanced(gate, &endpoints, call.affinity_key).cloned()
            }
        })
}

/// Chooses one of the endpoints by the configured load-balancing policy.
fn choose_balanced<'a>(
    gate: &Gate,
    endpoints: &[&'a Endpoint],
    affinity_key: Option<u64>,
) -> Option<&'a Endpoint> {
    let candidates: Vec<Candidate<'_>> = endpoints
        .iter()
        .map(|e| Candidate {
            name: &e.name,
            running: gate.in_flight.count(&e.name),
            limit: gate.limits.get(&e.name),
        })
        .collect();
    let policy = gate.settings.routing.balance;
    choose_endpoint(policy, &candidates, affinity_key).map(|index| endpoints[index])
}

/// Returns the available endpoints of all versions of a service that have a share.
pub(crate) fn serving_endpoints<'a>(
    table: &'a RoutingTable,
    name: &ServiceName,
) -> Vec<&'a Endpoint> {
    let Some(service) = table.config.services.get(name) else {
        return Vec::new();
    };
    let active_move = table.config.running_move(name);
    let shares = effective_shares(&service.value, active_move, &table.live);
    shares
        .iter()
        .filter(|(_, share)| *share > 0)
        .flat_map(|(version, _)| available_endpoints(table, &service.value, version, &[]))
        .collect()
}

/// Chooses the endpoint with the fewest requests in progress.
///
/// A request suspected of crashing endpoints goes there, since a crash fails every request in
/// progress at the endpoint.
fn least_loaded<'a>(endpoints: &[&'a Endpoint], in_flight: &InFlight) -> Option<&'a Endpoint> {
    endpoints
        .iter()
        .min_by_key(|e| in_flight.count(&e.name))
        .copied()
}

/// Returns a call's traffic bucket, which is the same for all calls of a conversation.
fn traffic_bucket(call: &Call) -> u32 {
    match call.headers.get(CONVERSATION_ID_HEADER) {
        None => random_bucket(),
        Some(value) => {
            let mut key = format!("{}/", call.customer).into_bytes();
            key.extend_from_slice(value.as_bytes());
            let hash = xxhash_rust::xxh3::xxh3_64(&key);
            (hash % u64::from(FULL_SHARE_PERMILLE)) as u32
        }
    }
}

/// Returns the endpoints of a version that are neither excluded nor on a VM under a reclaim
/// notice.
fn available_endpoints<'a>(
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

/// Draws a traffic bucket, uniformly.
fn random_bucket() -> u32 {
    rand::rng().random_range(0..FULL_SHARE_PERMILLE)
}
