//! Stand-in for a model engine.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornrack_lib::ATTEMPT_ID_HEADER;
use hawthornrack_lib::Clock;
use hawthornrack_lib::CompletionRequest;
use hawthornrack_lib::HttpClient;
use hawthornrack_lib::LoadReport;
use hawthornrack_lib::Order;
use hawthornrack_lib::PRIORITY_HEADER;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Role;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::Batch;
use crate::fault::FaultInjector;
use crate::fault::Faults;
use crate::fault::InjectedFaults;
use crate::fault::RequestInfo;
use crate::generation::Run;
use crate::generation::RunEnd;
use crate::generation::RunSpec;
use crate::generation::TokenGenerator;
use crate::generation::count_tokens;
use crate::http;
use crate::http::HandlerResult;
use crate::http::HttpError;
use crate::http::HttpRequest;
use crate::kv::ExportedRuns;
use crate::orders::OrderState;
use crate::prefix_cache::PrefixCache;

/// Interval at which the load is sampled.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Header that names the version that served a request.
const VERSION_HEADER: &str = "x-version";

/// Settings of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the engine; appears only in its settings.
    pub name: String,
    /// Version loaded.
    pub version: String,
    /// Model loaded; if empty, a response names the model of its request.
    pub model: String,
    /// Role; a standby refuses requests.
    pub role: Role,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of queued requests; more are refused.
    pub max_waiting: u32,
    /// Time per token of a request that runs alone, in microseconds.
    pub token_us: u64,
    /// Fraction by which each further running request extends the time per token; must be finite
    /// and not negative.
    pub batch_cost: f64,
    /// Time to compute one prompt token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Capacity of the prefix cache, in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// Delay after which cache events become visible, in milliseconds.
    pub event_lag_ms: u64,
    /// One in this many cache events is lost; zero loses none.
    pub event_gap: u64,
    /// Time by which the load report lags behind the load, in milliseconds.
    pub load_lag_ms: u64,
    /// Time for which a stream without a reader continues, and for which an ended stream is
    /// retained, in milliseconds.
    pub grace_ms: u64,
    /// Size of the exported KV cache per token, in bytes.
    pub kv_token_bytes: u64,
    /// Transfer rate of an exported KV cache, in bytes per millisecond; zero counts as 1.
    pub kv_rate: u64,
    /// Whether an order is refused if its epoch is lower than that of the order in force.
    pub fenced: bool,
    /// Time to load a version or model, in milliseconds.
    pub load_ms: u64,
    /// Address of the weight store from which model weights are fetched; `None` if they need not be
    /// fetched.
    pub weights: Option<SocketAddr>,
    /// Faults that are injected.
    pub faults: Faults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: String::from("engine"),
            version: String::from("v1"),
            model: String::from("model"),
            role: Role::Serve,
            slots: 8,
            max_waiting: 1000,
            token_us: 5_000,
            batch_cost: 0.02,
            prefill_us: 50,
            cache_blocks: 4096,
            event_lag_ms: 200,
            event_gap: 10,
            load_lag_ms: 200,
            grace_ms: 3_000,
            kv_token_bytes: 100_000,
            kv_rate: 1_000_000,
            fenced: true,
            load_ms: 50,
            weights: None,
            faults: Faults::default(),
        }
    }
}

/// Counters of an engine.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineStats {
    /// Number of completion requests that were admitted and did not crash the engine. Those that
    /// failed are counted, imported runs are not.
    pub runs: u64,
    /// Number of the requests counted in `runs`, by attempt identifier; the empty identifier stands
    /// for requests without one.
    pub by_attempt: IndexMap<String, u32>,
    /// Number of the requests counted in `runs`, by the hash of the request body (xxh3, 64 bits, in
    /// hexadecimal).
    pub by_digest: IndexMap<String, u32>,
    /// Number of the requests counted in `runs`, by version.
    pub by_version: IndexMap<String, u32>,
    /// Number of prompt tokens computed.
    pub computed: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached: u64,
    /// Number of tokens generated.
    pub generated: u64,
    /// Number of runs that were cancelled or had no reader for the grace period.
    pub cancelled: u64,
    /// Number of runs exported for another engine.
    pub exported: u64,
    /// Number of runs imported from another engine.
    pub imported: u64,
    /// Number of requests that resumed a stream.
    pub resumed: u64,
    /// Orders in the sequence in which they were received, refused ones included.
    pub orders: Vec<Order>,
    /// Number of orders refused because of their epoch.
    pub stale_orders: u64,
    /// Version loaded.
    pub version: String,
}

pub(crate) struct Engine {
    batch: Batch,
    pub(crate) prefix_cache: Mutex<PrefixCache>,
    pub(crate) http_client: HttpClient,
    clock: Clock,
    pub(crate) order_state: Mutex<OrderState>,
    pub(crate) shutdown: CancellationToken,
    pub(crate) exported_runs: Mutex<ExportedRuns>,
    /// Load reports with their sampling times, from the visible one to the latest.
    load_samples: Mutex<VecDeque<(Instant, LoadReport)>>,
    fault_injector: FaultInjector,
    /// Held by the run whose prompt is being computed, since an engine computes one at a time.
    prefill_lock: tokio::sync::Mutex<()>,
    runs: Mutex<IndexMap<String, Arc<Run>>>,
    pub(crate) settings: Mutex<EngineSettings>,
    pub(crate) stats: Mutex<EngineStats>,
}

/// Serves a model engine until `stop` is cancelled or a request crashes it.
pub async fn run_engine(settings: EngineSettings, listener: TcpListener, stop: CancellationToken) {
    let shutdown = stop.child_token();
    let engine = Arc::new(Engine {
        batch: Batch::default(),
        prefix_cache: Mutex::default(),
        http_client: HttpClient::new(),
        clock: Clock::from_system_time(),
        order_state: Mutex::default(),
        shutdown: shutdown.clone(),
        exported_runs: Mutex::default(),
        load_samples: Mutex::default(),
        fault_injector: FaultInjector::new(&settings.faults),
        prefill_lock: tokio::sync::Mutex::default(),
        runs: Mutex::default(),
        settings: Mutex::new(settings),
        stats: Mutex::default(),
    });
    engine.batch.set_slots(engine.settings().slots);
    tokio::spawn(Arc::clone(&engine).sample_load());
    http::serve_requests(listener, shutdown, move |request| {
        let engine = Arc::clone(&engine);
        async move { engine.handle(request).await }
    })
    .await;
}

impl Engine {
    pub(crate) fn settings(&self) -> EngineSettings {
        self.settings.lock().clone()
    }

    /// Finds a run by the identifier of its stream.
    pub(crate) fn find_run(&self, id: &str) -> Result<Arc<Run>, HttpError> {
        let run = self.runs.lock().get(id).cloned();
        run.ok_or_else(|| http::status_error(404, "no such stream"))
    }

    async fn handle(self: &Arc<Self>, request: HttpRequest) -> HandlerResult {
        match (request.method(), request.path_segments().as_slice()) {
            ("GET", ["stats"]) => Ok(http::json(200, &self.stats())),
            ("GET", ["load"]) => Ok(http::json(200, &self.visible_load())),
            ("GET", ["orders"]) => self.current_order(),
            ("GET", ["cache", "events"]) => {
                let lag = Duration::from_millis(self.settings().event_lag_ms);
                let from = request.query_number("from");
                Ok(http::json(200, &self.prefix_cache.lock().events(from, lag)))
            }
            ("GET", ["v1", "streams", id]) => self.resume_stream(id, &request),
            ("DELETE", ["v1", "streams", id]) => {
                self.find_run(id)?.cancel.cancel();
                Ok(http::text(200, "cancelled"))
            }
            ("GET", ["v1", "kv", handle]) => self.send_kv(handle).await,
            ("POST", ["control"]) => {
                self.fault_injector.restart_clock();
                let response = request.update_settings(&mut *self.settings.lock());
                self.batch.set_slots(self.settings().slots);
                response
            }
            ("POST", ["orders"]) => {
                let order: Order = request.parse_json()?;
                self.apply_order(order)
            }
            ("POST", ["v1", "kv", "export"]) => {
                let export = request.parse_json()?;
                self.export_kv(export).await
            }
            ("POST", ["v1", "kv", "import"]) => {
                let import = request.parse_json()?;
                self.import_kv(import).await
            }
            ("POST", _) => self.handle_completion(request).await,
            _ => Err(http::status_error(404, "no such path")),
        }
    }

    fn stats(&self) -> EngineStats {
        EngineStats {
            version: self.settings().version,
            ..self.stats.lock().clone()
        }
    }

    async fn handle_completion(self: &Arc<Self>, request: HttpRequest) -> HandlerResult {
        let attempt = request.header(ATTEMPT_ID_HEADER);
        let priority = match request.header(PRIORITY_HEADER).as_str() {
            "deferred" => Priority::Deferred,
            _ => Priority::Interactive,
        };
        let completion: CompletionRequest = request.parse_json()?;
        if completion.max_tokens == 0 {
            return Err(http::status_error(400, "max_tokens must be 1 or more"));
        }
        let settings = self.settings();
        self.check_admission(&settings)?;
        let faults = self.draw_faults(request.path(), &completion.prompt, &settings.version);
        if faults.crashes {
            return Err(self.crash(settings.faults.crash_exit));
        }
        self.count_run(&attempt, &request.body, &settings.version);
        tokio::time::sleep(faults.delay).await;
        if faults.fails && settings.faults.fail_after.is_none() {
            return Err(http::status_error(500, "the engine failed"));
        }
        let streamed = completion.stream;
        let spec = build_run_spec(completion, &settings, faults);
        let run = self.start_run(spec, priority);
        let mut response = if streamed {
            self.stream_response(&run, 0)
        } else {
            self.full_response(&run).await
        };
        http::set_header(&mut response, VERSION_HEADER, &settings.version);
        faults.apply(response, &attempt)
    }

    /// Refuses a request if the engine cannot serve now or too many requests are queued.
    fn check_admission(&self, settings: &EngineSettings) -> Result<(), HttpError> {
        if self.order_state.lock().loading || settings.role == Role::Standby {
            return Err(HttpError::RetryAfter(503, 1));
        }
        if self.batch.waiting() >= settings.max_waiting {
            return Err(HttpError::RetryAfter(429, 1));
        }
        Ok(())
    }

    fn draw_faults(&self, path: &str, prompt: &str, version: &str) -> InjectedFaults {
        let request = RequestInfo {
            path,
            text: prompt,
            version,
            running: self.batch.running(),
        };
        self.fault_injector
            .draw(&mut self.settings.lock().faults, request)
    }

    fn crash(&self, exit: bool) -> HttpError {
        if exit {
            std::process::exit(crate::plain::CRASH_EXIT_STATUS);
        }
        self.shutdown.cancel();
        HttpError::Abort
    }

    fn count_run(&self, attempt: &str, body: &[u8], version: &str) {
        let mut stats = self.stats.lock();
        stats.runs += 1;
        *stats.by_attempt.entry(attempt.to_owned()).or_default() += 1;
        *stats.by_digest.entry(http::digest(body)).or_default() += 1;
        *stats.by_version.entry(version.to_owned()).or_default() += 1;
    }

    /// Starts a run, which continues in the background for the grace period without a reader.
    pub(crate) fn start_run(self: &Arc<Self>, spec: RunSpec, priority: Priority) -> Arc<Run> {
        let run = Arc::new(Run::new(spec));
        self.runs.lock().insert(run.id.clone(), Arc::clone(&run));
        tokio::spawn(Arc::clone(self).execute_run(Arc::clone(&run), priority));
        run
    }

    /// Executes a run to its end and retains it for the grace period.
    async fn execute_run(self: Arc<Self>, run: Arc<Run>, priority: Priority) {
        let grace = Duration::from_millis(self.settings().grace_ms);
        let end = tokio::select! {
            () = self.shutdown.cancelled() => RunEnd::Failed,
            () = run.cancel.cancelled() => if run.export_started.load(Ordering::Relaxed) {
                RunEnd::Exported
            } else {
                RunEnd::Cancelled
            },
            () = run.wait_until_abandoned(grace) => RunEnd::Cancelled,
            end = self.generate(&run, priority) => end,
        };
        if run.prefilled.load(Ordering::Relaxed) {
            self.cache_text(&run.text());
        }
        if end == RunEnd::Cancelled {
            self.stats.lock().cancelled += 1;
        }
        run.finish(end);
        tokio::time::sleep(grace).await;
        self.runs.lock().swap_remove(&run.id);
    }

    /// Generates the tokens of a run once it has a slot.
    async fn generate(&self, run: &Run, priority: Priority) -> RunEnd {
        let _slot = self.batch.acquire_slot(priority).await;
        self.prefill(run).await;
        let mut generator = TokenGenerator::continuing(&run.text());
        let mut next_token_at = Instant::now();
        let imported_count = run.spec.imported_tokens.len() as u32;
        for number in imported_count..run.spec.max_tokens {
            if run.spec.fail_after.is_some_and(|limit| number >= limit) {
                return RunEnd::Failed;
            }
            next_token_at += self.token_duration(run.spec.slow_factor);
            if next_token_at > Instant::now() {
                tokio::time::sleep_until(next_token_at).await;
            }
            run.push_token(generator.next_token());
            self.stats.lock().generated += 1;
        }
        RunEnd::Finished
    }

    /// Computes the part of the prompt that is not cached.
    async fn prefill(&self, run: &Run) {
        if run.prefilled.load(Ordering::Relaxed) {
            return;
        }
        let _guard = self.prefill_lock.lock().await;
        let text = run.text();
        let cached = self.prefix_cache.lock().look_up(&text);
        let computed = count_tokens(&text) - cached;
        let time = Duration::from_micros(self.settings.lock().prefill_us);
        tokio::time::sleep((time * computed).mul_f64(run.spec.slow_factor)).await;
        self.cache_text(&text);
        run.cached_tokens.store(cached as usize, Ordering::Relaxed);
        run.prefilled.store(true, Ordering::Relaxed);
        let mut stats = self.stats.lock();
        stats.cached += u64::from(cached);
        stats.computed += u64::from(computed);
    }

    /// Adds a text to the prefix cache.
    fn cache_text(&self, text: &str) {
        let (capacity, event_gap) = {
            let settings = self.settings.lock();
            (settings.cache_blocks, settings.event_gap)
        };
        self.prefix_cache.lock().insert(text, capacity, event_gap);
    }

    /// Returns the time per token, given the requests that are running now.
    fn token_duration(&self, slow_factor: f64) -> Duration {
        let settings = self.settings.lock();
        let others = f64::from(self.batch.running().saturating_sub(1));
        let factor = slow_factor * (1.0 + settings.batch_cost * others);
        Duration::from_micros(settings.token_us).mul_f64(factor)
    }

    /// Samples the load until the engine shuts down.
    async fn sample_load(self: Arc<Self>) {
        while !self.shutdown.is_cancelled() {
            let settings = self.settings();
            let used = self.prefix_cache.lock().len() * 1000 / settings.cache_blocks.max(1);
            let report = LoadReport {
                running: self.batch.running(),
                waiting: self.batch.waiting(),
                cache_used: used as u32,
                at: self.clock.now(),
            };
            let lag = Duration::from_millis(settings.load_lag_ms);
            {
                let mut samples = self.load_samples.lock();
                samples.push_back((Instant::now(), report));
                while samples.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
                    samples.pop_front();
                }
            }
            tokio::time::sleep(LOAD_SAMPLE_INTERVAL).await;
        }
    }

    /// Returns the load report of `load_lag_ms` ago. Until the engine has run that long, returns
    /// the first report, or zeros if there is none.
    fn visible_load(&self) -> LoadReport {
        let visible = self.load_samples.lock().front().map(|(_, report)| *report);
        visible.unwrap_or_default()
    }
}

fn build_run_spec(
    completion: CompletionRequest,
    settings: &EngineSettings,
    faults: InjectedFaults,
) -> RunSpec {
    let model = if settings.model.is_empty() {
        completion.model
    } else {
        settings.model.clone()
    };
    let prompt = if faults.crossed {
        format!("another request {}", completion.prompt)
    } else {
        completion.prompt
    };
    RunSpec {
        model,
        prompt,
        max_tokens: completion.max_tokens,
        imported_tokens: Vec::new(),
        imported: false,
        slow_factor: faults.slow_factor,
        fail_after: settings.faults.fail_after.filter(|_| faults.fails),
    }
}
