//! The routing table in force at a gate.

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

/// Configuration and live facts, with the indexes that routing needs.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Configuration in force.
    pub config: Arc<ConfigState>,
    /// Facts that change without the log.
    pub live: LiveView,
    /// Endpoints of each service's versions.
    pub endpoints: IndexMap<(ServiceName, VersionName), Vec<Endpoint>>,
    /// Customers by the SHA-256 of a bearer token.
    pub tokens: IndexMap<String, CustomerName>,
}

impl RoutingTable {
    /// Builds the table that follows `previous` after an update.
    ///
    /// An update whose configuration is older than the one in force changes the live facts
    /// only. Returns `None` when the update holds no configuration and none is in force.
    pub fn next(previous: Option<&Self>, update: TableUpdate) -> Option<Self> {
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

    /// Returns the customer whose token has this hash.
    pub fn customer(&self, hash: &str) -> Option<&Customer> {
        let name = self.tokens.get(hash)?;
        self.config.customers.get(name).map(|c| &c.value)
    }

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
