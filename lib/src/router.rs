//! Chooses the version and the endpoint of a request.

use rand::Rng;

use crate::Candidate;
use crate::Endpoint;
use crate::EndpointName;
use crate::FULL_SHARE;
use crate::Gate;
use crate::RoutingTable;
use crate::Service;
use crate::ServiceName;
use crate::VersionName;
use crate::call::Call;
use crate::choose_endpoint;
use crate::in_flight::InFlight;
use crate::shares_now;

/// Header by which a caller names the conversation that a request belongs to.
const CONVERSATION_HEADER: &str = "x-conversation-id";

/// Chooses a version by the shares in force.
///
/// `point` is the request's place on the scale of shares, below [`FULL_SHARE`].
fn choose_version<'a>(shares: &[(&'a VersionName, u32)], point: u32) -> Option<&'a VersionName> {
    let mut sum = 0;
    for (name, share) in shares {
        sum += share;
        if point < sum {
            return Some(name);
        }
    }
    None
}

/// Chooses an endpoint for a call: of the wanted version while it has one, else by the shares.
///
/// A version without a usable endpoint gives way to the others that have a share.
pub(crate) fn choose(
    gate: &Gate,
    table: &RoutingTable,
    call: &Call,
    wanted: Option<&VersionName>,
    excluded: &[EndpointName],
) -> Option<Endpoint> {
    let service = &table.config.services.get(&call.service.name)?.value;
    let running = table.config.running_move(&service.name);
    let shares = shares_now(service, running, &table.live);
    let drawn = choose_version(&shares, point_of(call));
    let served = shares.iter().filter(|(_, share)| *share > 0);
    let served = served.map(|(name, _)| *name);
    let wanted = wanted.filter(|w| served.clone().any(|name| name == *w));
    let order = wanted.into_iter().chain(drawn).chain(served);
    let is_suspect = gate.crashes.is_suspect(call.digest());
    order
        .map(|version| usable(table, service, version, excluded))
        .find_map(|endpoints| {
            if is_suspect {
                least_loaded(&endpoints, &gate.in_flight).cloned()
            } else {
                balanced(gate, &endpoints, call.affinity).cloned()
            }
        })
}

fn balanced<'a>(
    gate: &Gate,
    usable: &[&'a Endpoint],
    affinity: Option<u64>,
) -> Option<&'a Endpoint> {
    let candidates: Vec<Candidate<'_>> = usable
        .iter()
        .map(|e| Candidate {
            name: &e.name,
            running: gate.in_flight.on(&e.name),
            limit: gate.limits.of(&e.name),
        })
        .collect();
    let policy = gate.settings.routing.balance;
    choose_endpoint(policy, &candidates, affinity).map(|index| usable[index])
}

/// Returns the endpoints of a service that take new work, of all versions with a share.
pub(crate) fn served<'a>(table: &'a RoutingTable, name: &ServiceName) -> Vec<&'a Endpoint> {
    let Some(service) = table.config.services.get(name) else {
        return Vec::new();
    };
    let running = table.config.running_move(name);
    let shares = shares_now(&service.value, running, &table.live);
    shares
        .iter()
        .filter(|(_, share)| *share > 0)
        .flat_map(|(version, _)| usable(table, &service.value, version, &[]))
        .collect()
}

/// Chooses the least loaded endpoint, so that requests under suspicion of crashing endpoints
/// keep apart from others.
fn least_loaded<'a>(usable: &[&'a Endpoint], load: &InFlight) -> Option<&'a Endpoint> {
    usable.iter().min_by_key(|e| load.on(&e.name)).copied()
}

/// Returns a call's place on the scale of shares, the same for all calls of a conversation.
fn point_of(call: &Call) -> u32 {
    match call.headers.get(CONVERSATION_HEADER) {
        None => random_point(),
        Some(value) => {
            let mut key = format!("{}/", call.customer).into_bytes();
            key.extend_from_slice(value.as_bytes());
            let hash = xxhash_rust::xxh3::xxh3_64(&key);
            (hash % u64::from(FULL_SHARE)) as u32
        }
    }
}

/// Returns the endpoints of a version that take new work.
fn usable<'a>(
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

/// Draws a request's place on the scale of shares.
fn random_point() -> u32 {
    rand::rng().random_range(0..FULL_SHARE)
}
