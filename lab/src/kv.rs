//! Export and import of an engine's KV cache.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornrack_lib::KvExport;
use hawthornrack_lib::KvHandle;
use hawthornrack_lib::KvImport;
use hawthornrack_lib::KvStream;
use hawthornrack_lib::Priority;
use hyper::Method;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::engine::Engine;
use crate::generation::RunSpec;
use crate::generation::count_tokens;
use crate::reply;
use crate::reply::Answer;

/// Time limit of the transfer of a cache.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// Exported caches by handle.
pub(crate) type KvExports = IndexMap<String, KvState>;

/// State of a run as it goes from engine to engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct KvState {
    model: String,
    prompt: String,
    max_tokens: u32,
    tokens: Vec<String>,
    /// Size of the cache; zero when the prompt had not been computed.
    bytes: u64,
}

impl Engine {
    pub(crate) async fn export_kv(&self, wanted: KvExport) -> Answer {
        let run = self.run(&wanted.stream)?;
        run.exported.store(true, Ordering::Relaxed);
        run.cancel.cancel();
        let _ = run.watch().wait_for(|p| p.end.is_some()).await;
        let cached = if run.prefilled.load(Ordering::Relaxed) {
            count_tokens(&run.text())
        } else {
            0
        };
        let state = KvState {
            model: run.spec.model.clone(),
            prompt: run.spec.prompt.clone(),
            max_tokens: run.spec.max_tokens,
            tokens: run.tokens(0),
            bytes: u64::from(cached) * self.settings().kv_token_bytes,
        };
        let handle = KvHandle {
            handle: format!("kv-{}", run.id),
            tokens: cached,
            bytes: state.bytes,
        };
        self.exports.lock().insert(handle.handle.clone(), state);
        self.stats.lock().exported += 1;
        Ok(reply::json(200, &handle))
    }

    pub(crate) async fn send_kv(&self, handle: &str) -> Answer {
        let state = self.exports.lock().get(handle).cloned();
        let state = state.ok_or_else(|| reply::refuse(404, "no such cache"))?;
        let millis = state.bytes / self.settings().kv_rate.max(1);
        tokio::time::sleep(Duration::from_millis(millis)).await;
        Ok(reply::json(200, &state))
    }

    pub(crate) async fn import_kv(self: &Arc<Self>, wanted: KvImport) -> Answer {
        let path = format!("/v1/kv/{}", wanted.handle);
        let fetched = self
            .client
            .call::<(), KvState>(wanted.source, Method::GET, &path, None, TRANSFER_TIMEOUT)
            .await;
        let state = fetched.map_err(|error| reply::refuse(502, &error.to_string()))?;
        self.stats.lock().imported += 1;
        let spec = RunSpec {
            model: state.model,
            prompt: state.prompt,
            max_tokens: state.max_tokens,
            tokens: state.tokens,
            imported: state.bytes > 0,
            slow: 1.0,
            fail_after: None,
        };
        let run = self.start(spec, Priority::Interactive);
        let stream = run.id.clone();
        Ok(reply::json(200, &KvStream { stream }))
    }
}
