//! Stand-in for the weight store, from which engines fetch the weights of their models.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::http;
use crate::http::HandlerResult;
use crate::http::HttpError;
use crate::http::HttpRequest;
use crate::token_bucket::TokenBucket;

/// Settings of the weight store.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// Maximum rate of fetches, per second; more are refused.
    pub per_sec: f64,
    /// Maximum number of fetches admitted at once after an idle period.
    pub burst: f64,
    /// Time that a fetch takes, in milliseconds.
    pub fetch_ms: u64,
    /// Size of the weights sent, in bytes.
    pub bytes: usize,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            per_sec: 10.0,
            burst: 4.0,
            fetch_ms: 100,
            bytes: 1024,
        }
    }
}

/// Counters of the weight store.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WeightStats {
    /// Number of fetches admitted, by model.
    pub fetches: IndexMap<String, u64>,
    /// Number of fetches refused because of the rate limit.
    pub limited: u64,
}

struct WeightStore {
    bucket: Mutex<TokenBucket>,
    settings: Mutex<WeightSettings>,
    stats: Mutex<WeightStats>,
}

/// Serves the weight store until `stop` is cancelled.
pub async fn run_weight_store(
    settings: WeightSettings,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let store = Arc::new(WeightStore {
        bucket: Mutex::new(TokenBucket::full(settings.burst)),
        settings: Mutex::new(settings),
        stats: Mutex::default(),
    });
    http::serve_requests(listener, stop, move |request| {
        let store = Arc::clone(&store);
        async move { store.handle(request).await }
    })
    .await;
}

impl WeightStore {
    async fn handle(&self, request: HttpRequest) -> HandlerResult {
        match (request.method(), request.path_segments().as_slice()) {
            ("GET", ["weights", model]) => self.fetch(model).await,
            ("GET", ["stats"]) => Ok(http::json(200, &*self.stats.lock())),
            ("POST", ["control"]) => request.update_settings(&mut *self.settings.lock()),
            _ => Err(http::status_error(404, "no such path")),
        }
    }

    async fn fetch(&self, model: &str) -> HandlerResult {
        let settings = self.settings.lock().clone();
        let admitted = self.bucket.lock().take(settings.per_sec, settings.burst);
        if let Err(wait) = admitted {
            self.stats.lock().limited += 1;
            return Err(HttpError::RetryAfter(429, wait.as_secs() + 1));
        }
        *self
            .stats
            .lock()
            .fetches
            .entry(model.to_owned())
            .or_default() += 1;
        tokio::time::sleep(Duration::from_millis(settings.fetch_ms)).await;
        Ok(http::text(200, &"w".repeat(settings.bytes)))
    }
}
