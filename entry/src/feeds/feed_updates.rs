//! Applies updates of feeds to the node.

use tokio::time::Instant;

use crate::ColdLimit;
use crate::EndpointId;
use crate::Evacuations;
use crate::Feed;
use crate::Node;
use crate::TableChange;
use crate::Update;
use crate::feeds::feed_cursor::Position;
use crate::log_limit;
use crate::placement::evacuation::EvacuationSource;
use crate::placement::evacuation::apply_evacuation_order;
use crate::placement::evacuation::apply_evacuations;

/// Applies a snapshot as of a position; for endpoints it replaces the table, and for orders the set of
/// evacuated domains.
pub(crate) fn apply_snapshot(node: &Node, feed: Feed, updates: Vec<Update>, position: Position) {
    match feed {
        Feed::Orders => {
            let mut evacuations = Evacuations {
                as_of: position.era.number(position.offset),
                ..Evacuations::default()
            };
            for update in updates {
                match update {
                    Update::Evacuation {
                        domain,
                        is_active: true,
                        ..
                    } => {
                        evacuations.domains.insert(domain);
                    }
                    // A snapshot without the order means that the evacuation has ended.
                    Update::Evacuation { .. } => {}
                    other => apply_update(node, other),
                }
            }
            apply_evacuations(node, &evacuations, EvacuationSource::Store);
        }
        Feed::Endpoints => {
            let endpoints = updates.into_iter().filter_map(|update| match update {
                Update::Endpoint(record) => Some(record),
                _ => None,
            });
            let endpoints: Vec<_> = endpoints.collect();
            tracing::info!(
                event = "endpoints",
                count = endpoints.len(),
                source = "store",
                "endpoint list loaded"
            );
            node.endpoints.lock().replace(endpoints, Instant::now());
            node.slot_freed.notify_waiters();
        }
    }
}

pub(crate) fn apply_update(node: &Node, update: Update) {
    match update {
        Update::Config(config) => {
            node.apply_config(*config, "store");
        }
        Update::Rollout(order) => node.apply_rollout_order(order),
        Update::Evacuation {
            domain,
            is_active,
            as_of,
        } => apply_evacuation_order(node, domain, is_active, as_of),
        Update::Endpoint(record) => {
            let id = record.id.clone();
            let was_cold = cold_limit(node, &id).is_some();
            let change = update_endpoints(node, |table, now| table.apply(record, now));
            log_table_change(&id, change);
            if let Some(limit) = cold_limit(node, &id).filter(|_| !was_cold) {
                let (rate, left_ms) = (limit.rate.per_second(), limit.left_ms);
                tracing::info!(event = "endpoint_cold", endpoint = %id, rate, left_ms);
            }
        }
        Update::Removed(id) => {
            let change = update_endpoints(node, |table, now| table.remove(&id, now));
            log_table_change(&id, change);
        }
    }
}

/// Returns the limit of an endpoint if it is cold.
fn cold_limit(node: &Node, id: &EndpointId) -> Option<ColdLimit> {
    let endpoints = node.endpoints.lock();
    endpoints.cold_limit(endpoints.by_id(id)?, Instant::now())
}

fn update_endpoints(
    node: &Node,
    change: impl FnOnce(&mut crate::EndpointTable, Instant) -> TableChange,
) -> TableChange {
    let now = Instant::now();
    let mut endpoints = node.endpoints.lock();
    let change = change(&mut endpoints, now);
    endpoints.remove_expired(now);
    change
}

fn log_table_change(id: &EndpointId, change: TableChange) {
    match change {
        TableChange::None => {}
        TableChange::Joined => tracing::info!(event = "endpoint_joined", endpoint = %id),
        TableChange::Leaving => {
            // A domain that is reclaimed has hundreds of them, on every entry.
            if log_limit::allows("endpoint_leaving") {
                tracing::info!(event = "endpoint_leaving", endpoint = %id);
            }
        }
    }
}
