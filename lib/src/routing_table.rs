//! Routing table of a gate: the configuration and live facts in force, indexed for routing.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::ConfigState;
use crate::Customer;
use crate::CustomerName;
use crate::Endpoint;
use crate::LiveView;
use crate::Offset;
use crate::ServiceName;
use crate::TableUpdate;
use crate::VersionName;

/// Immutable snapshot of configuration and live facts, with indexes for routing.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Configuration in force.
    pub config: Arc<ConfigState>,
    /// Facts that are disseminated by gossip, outside the log.
    pub live: LiveView,
    /// Endpoints by service and version.
    pub endpoints: IndexMap<(ServiceName, VersionName), Vec<Endpoint>>,
    /// Customers by SHA-256 of a bearer token, in lower-case hexadecimal.
    pub tokens: IndexMap<String, CustomerName>,
}

impl RoutingTable {
    /// Returns the table that results from applying an update to `previous`.
    ///
    /// A configuration older than the one in force is ignored, and only the live facts are applied.
    /// Returns `None` when there is no configuration in the update and none in force.
    pub fn updated(previous: Option<&Self>, update: TableUpdate) -> Option<Self> {
        let in_force = previous.map_or(Offset(0), |p| p.config.next);
        let mut live = previous.map_or_else(LiveView::default, |p| p.live.clone());
        live.apply(update.live);
        let config = update.config.filter(|_| update.offset >= in_force);
        match (config, previous) {
            (Some(config), _) => Some(Self::index(config, live)),
            (None, Some(previous)) => Some(Self {
                live,
                ..previous.clone()
            }),
            (None, None) => None,
        }
    }

    /// Returns the customer for the SHA-256 of a bearer token.
    pub fn customer(&self, hash: &str) -> Option<&Customer> {
        let name = self.tokens.get(hash)?;
        self.config.customers.get(name).map(|c| &c.value)
    }

    /// Builds the indexes of a configuration.
    fn index(config: Arc<ConfigState>, live: LiveView) -> Self {
        let mut endpoints: IndexMap<_, Vec<Endpoint>> = IndexMap::new();
        for endpoint in config.endpoints.values().map(|e| &e.value) {
            let key = (endpoint.service.clone(), endpoint.version.clone());
            endpoints.entry(key).or_default().push(endpoint.clone());
        }
        let mut tokens = IndexMap::new();
        for customer in config.customers.values().map(|c| &c.value) {
            for hash in &customer.tokens {
                tokens.insert(hash.clone(), customer.name.clone());
            }
        }
        Self {
            config,
            live,
            endpoints,
            tokens,
        }
    }
}
