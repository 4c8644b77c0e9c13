//! Gauges of an entry's state, which are read when the metrics are.

use std::sync::Arc;
use std::sync::Weak;

use opentelemetry::metrics::Meter;
use tokio::time::Instant;

use crate::Feed;
use crate::Node;

/// Registers gauges of the version of the configuration in force, of the time since the entry last
/// knew all orders, and of the numbers of evacuated domains and of cold endpoints. They report nothing after the node is dropped.
pub fn observe_node(node: &Arc<Node>, meter: &Meter) {
    let observed = Arc::downgrade(node);
    meter
        .u64_observable_gauge("hawthornrack_config_version")
        .with_description("Version of the configuration in force; 0 if there is none")
        .with_callback(move |observer| {
            if let Some(node) = observed.upgrade() {
                observer.observe(node.config_version(), &[]);
            }
        })
        .build();
    let observed = Arc::downgrade(node);
    meter
        .f64_observable_gauge("hawthornrack_orders_age_seconds")
        .with_description("Time since all orders in the store were known; missing until they are")
        .with_callback(move |observer| {
            if let Some(age) = orders_age(&observed) {
                observer.observe(age, &[]);
            }
        })
        .build();
    let observed = Arc::downgrade(node);
    meter
        .u64_observable_gauge("hawthornrack_evacuated_domains")
        .with_description("Number of failure domains whose endpoints get no requests")
        .with_callback(move |observer| {
            if let Some(node) = observed.upgrade() {
                let count = node.endpoints.lock().evacuations().domains.len();
                observer.observe(count as u64, &[]);
            }
        })
        .build();
    let observed = Arc::downgrade(node);
    meter
        .u64_observable_gauge("hawthornrack_cold_endpoints")
        .with_description("Number of endpoints that are cold and take few requests")
        .with_callback(move |observer| {
            if let Some(node) = observed.upgrade() {
                let endpoints = node.endpoints.lock();
                let cold = endpoints
                    .iter()
                    .filter(|(_, e)| endpoints.cold_limit(e, Instant::now()).is_some());
                observer.observe(cold.count() as u64, &[]);
            }
        })
        .build();
}

fn orders_age(node: &Weak<Node>) -> Option<f64> {
    let node = node.upgrade()?;
    let age = node.cursor(Feed::Orders).lock().age(Instant::now());
    age.map(|age| age.as_secs_f64())
}
