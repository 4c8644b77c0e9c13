//! Stand-in for the weight store.

use std::sync::Arc;
use std::time::Duration;

use hawthornrack_lib::serve;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::rate::TokenBucket;
use crate::reply::Refusal;
use crate::reply::Reply;
use crate::reply::control;
use crate::reply::json;
use crate::reply::limits;
use crate::reply::read_body;
use crate::reply::refuse;
use crate::reply::text;

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
    serve(listener, limits(), stop, move |request, _peer| {
        let store = Arc::clone(&store);
        async move { store.answer(request).await.unwrap_or_else(Reply::from) }
    })
    .await;
}

impl Store {
    async fn answer(&self, request: Request<Incoming>) -> Result<Reply, Refusal> {
        let path = request.uri().path().to_owned();
        if let Some(model) = path.strip_prefix("/weights/") {
            return self.fetch(model).await;
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/stats") => Ok(json(200, &*self.stats.lock())),
            (&Method::POST, "/control") => {
                let change = read_body(request.into_body()).await?;
                Ok(control(&mut *self.settings.lock(), &change))
            }
            _ => Err(refuse(404, "no such path")),
        }
    }

    async fn fetch(&self, model: &str) -> Result<Reply, Refusal> {
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
        Ok(text(200, &"w".repeat(settings.bytes)))
    }
}
