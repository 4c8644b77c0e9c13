//! Stand-in for the weight store.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::rate::TokenBucket;
use crate::reply;
use crate::reply::Answer;
use crate::reply::Call;
use crate::reply::Refusal;

/// Settings of the weight store.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// Fetches admitted per second.
    pub per_sec: f64,
    /// Fetches admitted at once after a quiet time.
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
    /// Fetches served, by model.
    pub fetches: IndexMap<String, u64>,
    /// Fetches refused because of the limit.
    pub limited: u64,
}

struct Store {
    bucket: Mutex<TokenBucket>,
    settings: Mutex<WeightSettings>,
    stats: Mutex<WeightStats>,
}

/// Serves the weight store until `stop` is cancelled.
pub async fn run_weights(settings: WeightSettings, listener: TcpListener, stop: CancellationToken) {
    let store = Arc::new(Store {
        bucket: Mutex::new(TokenBucket::full(settings.burst)),
        settings: Mutex::new(settings),
        stats: Mutex::default(),
    });
    reply::host(listener, stop, move |call| {
        let store = Arc::clone(&store);
        async move { store.answer(call).await }
    })
    .await;
}

impl Store {
    async fn answer(&self, call: Call) -> Answer {
        match (call.method(), call.segments().as_slice()) {
            ("GET", ["weights", model]) => self.fetch(model).await,
            ("GET", ["stats"]) => Ok(reply::json(200, &*self.stats.lock())),
            ("POST", ["control"]) => call.control(&mut *self.settings.lock()),
            _ => Err(reply::refuse(404, "no such path")),
        }
    }

    async fn fetch(&self, model: &str) -> Answer {
        let settings = self.settings.lock().clone();
        let taken = self.bucket.lock().take(settings.per_sec, settings.burst);
        if let Err(wait) = taken {
            self.stats.lock().limited += 1;
            return Err(Refusal::Later(429, wait.as_secs() + 1));
        }
        *self
            .stats
            .lock()
            .fetches
            .entry(model.to_owned())
            .or_default() += 1;
        tokio::time::sleep(Duration::from_millis(settings.fetch_ms)).await;
        Ok(reply::text(200, &"w".repeat(settings.bytes)))
    }
}
