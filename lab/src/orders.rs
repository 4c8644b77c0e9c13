//! Orders to an engine, which set its version, model and role.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_lib::Order;
use hyper::Method;

use crate::engine::Engine;
use crate::http;
use crate::http::HandlerResult;

/// Delay before the next attempt after a fetch from the weight store failed.
const WEIGHTS_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a fetch from the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(10);

/// Order in force, and whether it has been carried out.
#[derive(Default)]
pub(crate) struct OrderState {
    order: Option<Order>,
    /// Whether the ordered version is being loaded.
    pub(crate) loading: bool,
}

impl Engine {
    /// Responds with the order in force.
    pub(crate) fn current_order(&self) -> HandlerResult {
        let order = self.order_state.lock().order.clone();
        order
            .map(|o| http::json(200, &o))
            .ok_or_else(|| http::status_error(404, "no order yet"))
    }

    /// Puts an order in force. If `fenced` is set, an order whose epoch is lower than that of the
    /// order in force is refused.
    pub(crate) fn apply_order(self: &Arc<Self>, order: Order) -> HandlerResult {
        let settings = self.settings();
        self.stats.lock().orders.push(order.clone());
        let mut state = self.order_state.lock();
        let current_epoch = state.order.as_ref().map(|o| o.epoch);
        if settings.fenced && current_epoch.is_some_and(|epoch| order.epoch < epoch) {
            self.stats.lock().stale_orders += 1;
            return Err(http::status_error(409, "a newer order is in force"));
        }
        state.order = Some(order.clone());
        self.settings.lock().role = order.role;
        let is_loaded = settings.version == order.version.as_str() && settings.model == order.model;
        state.loading = !is_loaded;
        if !is_loaded {
            tokio::spawn(Arc::clone(self).load_version(order));
        }
        Ok(http::text(200, "taken"))
    }

    /// Loads the ordered version, unless another order is in force by the time it is loaded.
    async fn load_version(self: Arc<Self>, order: Order) {
        let settings = self.settings();
        if let Some(store) = settings.weights {
            self.fetch_weights(store, &order.model).await;
        }
        tokio::time::sleep(Duration::from_millis(settings.load_ms)).await;
        let mut state = self.order_state.lock();
        if state.order.as_ref() != Some(&order) {
            return;
        }
        state.loading = false;
        let mut settings = self.settings.lock();
        settings.version = order.version.to_string();
        settings.model = order.model;
        self.prefix_cache.lock().clear();
    }

    /// Fetches the weights of a model, with retries until a fetch succeeds.
    async fn fetch_weights(&self, store: SocketAddr, model: &str) {
        let path = format!("/weights/{model}");
        loop {
            let get = Method::GET;
            let fetched =
                self.http_client
                    .call_bytes::<()>(store, get, &path, None, WEIGHTS_TIMEOUT);
            if fetched.await.is_ok() {
                return;
            }
            tokio::time::sleep(WEIGHTS_RETRY_DELAY).await;
        }
    }
}
