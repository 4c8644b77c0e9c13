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
use crate::http;
use crate::http::HandlerResult;

/// Timeout of the transfer of a KV cache.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// Exported runs, by handle.
pub(crate) type ExportedRuns = IndexMap<String, ExportedRun>;

/// State of a run as it is transferred between engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ExportedRun {
    model: String,
    prompt: String,
    max_tokens: u32,
    tokens: Vec<String>,
    /// Size of the KV cache in bytes; zero if the prompt had not been computed yet.
    bytes: u64,
}

impl Engine {
    /// Ends a run and retains its state for an import by another engine.
    pub(crate) async fn export_kv(&self, request: KvExport) -> HandlerResult {
        let run = self.find_run(&request.stream)?;
        run.export_started.store(true, Ordering::Relaxed);
        run.cancel.cancel();
        let _ = run.subscribe().wait_for(|p| p.end.is_some()).await;
        let kv_tokens = if run.prefilled.load(Ordering::Relaxed) {
            count_tokens(&run.text())
        } else {
            0
        };
        let state = ExportedRun {
            model: run.spec.model.clone(),
            prompt: run.spec.prompt.clone(),
            max_tokens: run.spec.max_tokens,
            tokens: run.tokens(0),
            bytes: u64::from(kv_tokens) * self.settings().kv_token_bytes,
        };
        let handle = KvHandle {
            handle: format!("kv-{}", run.id),
            tokens: kv_tokens,
            bytes: state.bytes,
        };
        self.exported_runs
            .lock()
            .insert(handle.handle.clone(), state);
        self.stats.lock().exported += 1;
        Ok(http::json(200, &handle))
    }

    /// Responds with an exported state, after the time that the transfer of its KV cache takes.
    pub(crate) async fn send_kv(&self, handle: &str) -> HandlerResult {
        let state = self.exported_runs.lock().get(handle).cloned();
        let state = state.ok_or_else(|| http::status_error(404, "no such cache"))?;
        let millis = state.bytes / self.settings().kv_rate.max(1);
        tokio::time::sleep(Duration::from_millis(millis)).await;
        Ok(http::json(200, &state))
    }

    /// Fetches the state of a run from another engine and continues it here.
    pub(crate) async fn import_kv(self: &Arc<Self>, request: KvImport) -> HandlerResult {
        let path = format!("/v1/kv/{}", request.handle);
        let fetched = self
            .http_client
            .call::<(), ExportedRun>(request.source, Method::GET, &path, None, TRANSFER_TIMEOUT)
            .await;
        let state = fetched.map_err(|error| http::status_error(502, &error.to_string()))?;
        self.stats.lock().imported += 1;
        let spec = RunSpec {
            model: state.model,
            prompt: state.prompt,
            max_tokens: state.max_tokens,
            imported_tokens: state.tokens,
            imported: state.bytes > 0,
            slow_factor: 1.0,
            fail_after: None,
        };
        let run = self.start_run(spec, Priority::Interactive);
        let stream = run.id.clone();
        Ok(http::json(200, &KvStream { stream }))
    }
}
