//! Orders to an engine: version, model and role.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_lib::Order;
use hyper::Method;

use crate::engine::Engine;
use crate::reply;
use crate::reply::Answer;

/// Pause after the weight store refused a fetch.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(250);

/// Time limit of a fetch from the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(10);

/// Order in force.
#[derive(Default)]
pub(crate) struct Control {
    order: Option<Order>,
    /// Whether a version is being loaded.
    pub(crate) loading: bool,
}

impl Engine {
    /// Answers the order in force.
    pub(crate) fn order(&self) -> Answer {
        let order = self.control.lock().order.clone();
        order
            .map(|o| reply::json(200, &o))
            .ok_or_else(|| reply::refuse(404, "no order yet"))
    }

    /// Takes an order, unless its epoch is old and epochs are checked.
    pub(crate) fn take_order(self: &Arc<Self>, order: Order) -> Answer {
        let settings = self.settings();
        self.stats.lock().orders.push(order.clone());
        let mut control = self.control.lock();
        let newest = control.order.as_ref().map(|o| o.epoch);
        if settings.fenced && newest.is_some_and(|epoch| order.epoch < epoch) {
            self.stats.lock().stale_orders += 1;
            return Err(reply::refuse(409, "a newer order is in force"));
        }
        control.order = Some(order.clone());
        self.settings.lock().role = order.role;
        let loaded = settings.version == order.version.as_str() && settings.model == order.model;
        control.loading = !loaded;
        if !loaded {
            tokio::spawn(Arc::clone(self).load_version(order));
        }
        Ok(reply::text(200, "taken"))
    }

    async fn load_version(self: Arc<Self>, order: Order) {
        let settings = self.settings();
        if let Some(store) = settings.weights {
            self.fetch_weights(store, &order.model).await;
        }
        tokio::time::sleep(Duration::from_millis(settings.load_ms)).await;
        let mut control = self.control.lock();
        if control.order.as_ref() != Some(&order) {
            return;
        }
        control.loading = false;
        let mut settings = self.settings.lock();
        settings.version = order.version.to_string();
        settings.model = order.model;
        self.cache.lock().clear();
    }

    async fn fetch_weights(&self, store: SocketAddr, model: &str) {
        let path = format!("/weights/{model}");
        loop {
            let get = Method::GET;
            let fetched = self
                .client
                .call_bytes::<()>(store, get, &path, None, WEIGHTS_TIMEOUT);
            if fetched.await.is_ok() {
                return;
            }
            tokio::time::sleep(WEIGHTS_PAUSE).await;
        }
    }
}
