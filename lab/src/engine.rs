//! Stand-in for a model engine.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornrack_lib::ATTEMPT_HEADER;
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
use crate::cache::PrefixCache;
use crate::fault::FaultPicker;
use crate::fault::Faults;
use crate::fault::Subject;
use crate::fault::Verdict;
use crate::generation::End;
use crate::generation::Run;
use crate::generation::RunSpec;
use crate::generation::TextSource;
use crate::generation::count_tokens;
use crate::kv::KvExports;
use crate::orders::Control;
use crate::reply;
use crate::reply::Answer;
use crate::reply::Call;
use crate::reply::Refusal;

/// Interval between two readings of the load.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);

/// Header that names the version that answers.
const VERSION_HEADER: &str = "x-version";

/// Settings of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Name, for the reader of counters.
    pub name: String,
    /// Version loaded.
    pub version: String,
    /// Model loaded.
    pub model: String,
    /// Role.
    pub role: Role,
    /// Requests generated at once.
    pub slots: u32,
    /// Requests that wait at most; more are refused.
    pub max_waiting: u32,
    /// Time of a token for a request that runs alone, in microseconds.
    pub token_us: u64,
    /// Share of a token's time that each further running request adds.
    pub batch_cost: f64,
    /// Time to compute a prompt token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Memory of the prefix cache, in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// Time by which cache events are late, in milliseconds.
    pub event_lag_ms: u64,
    /// One in so many cache events is lost; zero loses none.
    pub event_gap: u64,
    /// Time by which the load report lags, in milliseconds.
    pub load_lag_ms: u64,
    /// Time for which a stream that nobody reads goes on and an ended one is kept,
    /// in milliseconds.
    pub grace_ms: u64,
    /// Size of the cache of one token when it is exported, in bytes.
    pub kv_token_bytes: u64,
    /// Bytes of an exported cache sent per millisecond.
    pub kv_rate: u64,
    /// Whether orders with an old epoch are refused.
    pub fenced: bool,
    /// Time to load a model or version, in milliseconds.
    pub load_ms: u64,
    /// Weight store to load from.
    pub weights: Option<SocketAddr>,
    /// Faults.
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
    /// Runs started.
    pub runs: u64,
    /// Runs by attempt.
    pub by_attempt: IndexMap<String, u32>,
    /// Runs by hash (xxh3, 64 bits) of the request's body in hexadecimal.
    pub by_digest: IndexMap<String, u32>,
    /// Runs by version.
    pub by_version: IndexMap<String, u32>,
    /// Prompt tokens computed.
    pub computed: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Runs that were cancelled or abandoned.
    pub cancelled: u64,
    /// Caches exported.
    pub exported: u64,
    /// Caches imported.
    pub imported: u64,
    /// Streams picked up again.
    pub resumed: u64,
    /// Orders in the order in which they came.
    pub orders: Vec<Order>,
    /// Orders refused because of their epoch.
    pub stale_orders: u64,
    /// Version loaded.
    pub version: String,
}

pub(crate) struct Engine {
    batch: Batch,
    pub(crate) cache: Mutex<PrefixCache>,
    pub(crate) client: HttpClient,
    clock: Clock,
    pub(crate) control: Mutex<Control>,
    pub(crate) down: CancellationToken,
    pub(crate) exports: Mutex<KvExports>,
    loads: Mutex<VecDeque<(Instant, LoadReport)>>,
    picker: FaultPicker,
    /// Held by the request whose prompt is being computed.
    prefill: tokio::sync::Mutex<()>,
    runs: Mutex<IndexMap<String, Arc<Run>>>,
    pub(crate) settings: Mutex<EngineSettings>,
    pub(crate) stats: Mutex<EngineStats>,
}

/// Serves a model engine until `stop` is cancelled or a request crashes it.
pub async fn run_engine(settings: EngineSettings, listener: TcpListener, stop: CancellationToken) {
    let down = stop.child_token();
    let engine = Arc::new(Engine {
        batch: Batch::default(),
        cache: Mutex::default(),
        client: HttpClient::new(),
        clock: Clock::anchored(),
        control: Mutex::default(),
        down: down.clone(),
        exports: Mutex::default(),
        loads: Mutex::default(),
        picker: FaultPicker::new(&settings.faults),
        prefill: tokio::sync::Mutex::default(),
        runs: Mutex::default(),
        settings: Mutex::new(settings),
        stats: Mutex::default(),
    });
    engine.batch.resize(engine.settings().slots);
    tokio::spawn(Arc::clone(&engine).sample_load());
    reply::host(listener, down, move |call| {
        let engine = Arc::clone(&engine);
        async move { engine.answer(call).await }
    })
    .await;
}

impl Engine {
    pub(crate) fn settings(&self) -> EngineSettings {
        self.settings.lock().clone()
    }

    pub(crate) fn run(&self, id: &str) -> Result<Arc<Run>, Refusal> {
        let run = self.runs.lock().get(id).cloned();
        run.ok_or_else(|| reply::refuse(404, "no such stream"))
    }

    async fn answer(self: &Arc<Self>, call: Call) -> Answer {
        match (call.method(), call.segments().as_slice()) {
            ("GET", ["stats"]) => Ok(reply::json(200, &self.stats())),
            ("GET", ["load"]) => Ok(reply::json(200, &self.load())),
            ("GET", ["orders"]) => self.order(),
            ("GET", ["cache", "events"]) => {
                let lag = Duration::from_millis(self.settings().event_lag_ms);
                let from = call.query("from");
                Ok(reply::json(200, &self.cache.lock().events(from, lag)))
            }
            ("GET", ["v1", "streams", id]) => self.resume(id, &call),
            ("DELETE", ["v1", "streams", id]) => {
                self.run(id)?.cancel.cancel();
                Ok(reply::text(200, "cancelled"))
            }
            ("GET", ["v1", "kv", handle]) => self.send_kv(handle).await,
            ("POST", ["control"]) => {
                self.picker.restart();
                let answer = call.control(&mut *self.settings.lock());
                self.batch.resize(self.settings().slots);
                answer
            }
            ("POST", ["orders"]) => {
                let order: Order = call.parse()?;
                self.take_order(order)
            }
            ("POST", ["v1", "kv", "export"]) => {
                let wanted = call.parse()?;
                self.export_kv(wanted).await
            }
            ("POST", ["v1", "kv", "import"]) => {
                let wanted = call.parse()?;
                self.import_kv(wanted).await
            }
            ("POST", _) => self.complete(call).await,
            _ => Err(reply::refuse(404, "no such path")),
        }
    }

    fn stats(&self) -> EngineStats {
        EngineStats {
            version: self.settings().version,
            ..self.stats.lock().clone()
        }
    }

    async fn complete(self: &Arc<Self>, call: Call) -> Answer {
        let attempt = call.header(ATTEMPT_HEADER);
        let priority = match call.header(PRIORITY_HEADER).as_str() {
            "deferred" => Priority::Deferred,
            _ => Priority::Interactive,
        };
        let wanted: CompletionRequest = call.parse()?;
        if wanted.max_tokens == 0 {
            return Err(reply::refuse(400, "max_tokens must be 1 or more"));
        }
        let settings = self.settings();
        self.check_admission(&settings)?;
        let verdict = self.pick(call.path(), &wanted.prompt, &settings.version);
        if verdict.crashes {
            return Err(self.crash(settings.faults.crash_exit));
        }
        self.count_run(&attempt, &call.body, &settings.version);
        tokio::time::sleep(verdict.late).await;
        if verdict.fails && settings.faults.fail_after.is_none() {
            return Err(reply::refuse(500, "the engine failed"));
        }
        let streamed = wanted.stream;
        let spec = run_spec(wanted, &settings, verdict);
        let run = self.start(spec, priority);
        let mut reply = if streamed {
            self.stream_reply(&run, 0)
        } else {
            self.whole_reply(&run).await
        };
        reply::set_header(&mut reply, VERSION_HEADER, &settings.version);
        verdict.finish(reply, &attempt)
    }

    fn check_admission(&self, settings: &EngineSettings) -> Result<(), Refusal> {
        if self.control.lock().loading || settings.role == Role::Standby {
            return Err(Refusal::Later(503, 1));
        }
        if self.batch.waiting() >= settings.max_waiting {
            return Err(Refusal::Later(429, 1));
        }
        Ok(())
    }

    fn pick(&self, path: &str, body: &str, version: &str) -> Verdict {
        let subject = Subject {
            path,
            body,
            version,
            running: self.batch.running(),
        };
        self.picker.pick(&mut self.settings.lock().faults, subject)
    }

    fn crash(&self, exit: bool) -> Refusal {
        if exit {
            std::process::exit(crate::plain::CRASH_STATUS);
        }
        self.down.cancel();
        Refusal::Abort
    }

    fn count_run(&self, attempt: &str, body: &[u8], version: &str) {
        let mut stats = self.stats.lock();
        stats.runs += 1;
        *stats.by_attempt.entry(attempt.to_owned()).or_default() += 1;
        *stats.by_digest.entry(reply::digest(body)).or_default() += 1;
        *stats.by_version.entry(version.to_owned()).or_default() += 1;
    }

    /// Starts a run that goes on without its reader.
    pub(crate) fn start(self: &Arc<Self>, spec: RunSpec, priority: Priority) -> Arc<Run> {
        let run = Arc::new(Run::new(spec));
        self.runs.lock().insert(run.id.clone(), Arc::clone(&run));
        tokio::spawn(Arc::clone(self).drive(Arc::clone(&run), priority));
        run
    }

    async fn drive(self: Arc<Self>, run: Arc<Run>, priority: Priority) {
        let grace = Duration::from_millis(self.settings().grace_ms);
        let end = tokio::select! {
            () = self.down.cancelled() => End::Failed,
            () = run.cancel.cancelled() => if run.exported.load(Ordering::Relaxed) { End::Exported } else { End::Cancelled },
            () = run.abandoned(grace) => End::Cancelled,
            end = self.generate(&run, priority) => end,
        };
        if run.prefilled.load(Ordering::Relaxed) {
            self.store(&run.text());
        }
        if end == End::Cancelled {
            self.stats.lock().cancelled += 1;
        }
        run.finish(end);
        tokio::time::sleep(grace).await;
        self.runs.lock().swap_remove(&run.id);
    }

    async fn generate(&self, run: &Run, priority: Priority) -> End {
        let _slot = self.batch.enter(priority).await;
        self.compute_prompt(run).await;
        let mut source = TextSource::after(&run.text());
        let mut due = Instant::now();
        let first = run.spec.tokens.len() as u32;
        for number in first..run.spec.max_tokens {
            if run.spec.fail_after.is_some_and(|limit| number >= limit) {
                return End::Failed;
            }
            due += self.token_time(run.spec.slow);
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            run.push(source.next_token());
            self.stats.lock().generated += 1;
        }
        End::Finished
    }

    async fn compute_prompt(&self, run: &Run) {
        if run.prefilled.load(Ordering::Relaxed) {
            return;
        }
        let _computing = self.prefill.lock().await;
        let text = run.text();
        let cached = self.cache.lock().look_up(&text);
        let computed = count_tokens(&text) - cached;
        let time = Duration::from_micros(self.settings.lock().prefill_us);
        tokio::time::sleep((time * computed).mul_f64(run.spec.slow)).await;
        self.store(&text);
        run.cached.store(cached as usize, Ordering::Relaxed);
        run.prefilled.store(true, Ordering::Relaxed);
        let mut stats = self.stats.lock();
        stats.cached += u64::from(cached);
        stats.computed += u64::from(computed);
    }

    fn store(&self, text: &str) {
        let (capacity, gap) = {
            let settings = self.settings.lock();
            (settings.cache_blocks, settings.event_gap)
        };
        self.cache.lock().store(text, capacity, gap);
    }

    fn token_time(&self, slow: f64) -> Duration {
        let settings = self.settings.lock();
        let others = f64::from(self.batch.running().saturating_sub(1));
        let factor = slow * (1.0 + settings.batch_cost * others);
        Duration::from_micros(settings.token_us).mul_f64(factor)
    }

    async fn sample_load(self: Arc<Self>) {
        while !self.down.is_cancelled() {
            let settings = self.settings();
            let used = self.cache.lock().len() * 1000 / settings.cache_blocks.max(1);
            let report = LoadReport {
                running: self.batch.running(),
                waiting: self.batch.waiting(),
                cache_used: used as u32,
                at: self.clock.now(),
            };
            let lag = Duration::from_millis(settings.load_lag_ms);
            {
                let mut loads = self.loads.lock();
                loads.push_back((Instant::now(), report));
                while loads.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
                    loads.pop_front();
                }
            }
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    }

    fn load(&self) -> LoadReport {
        let oldest = self.loads.lock().front().map(|(_, report)| *report);
        oldest.unwrap_or_default()
    }
}

fn run_spec(wanted: CompletionRequest, settings: &EngineSettings, verdict: Verdict) -> RunSpec {
    let model = if settings.model.is_empty() {
        wanted.model
    } else {
        settings.model.clone()
    };
    let prompt = if verdict.crossed {
        format!("another request {}", wanted.prompt)
    } else {
        wanted.prompt
    };
    RunSpec {
        model,
        prompt,
        max_tokens: wanted.max_tokens,
        tokens: Vec::new(),
        imported: false,
        slow: verdict.slow,
        fail_after: settings.faults.fail_after.filter(|_| verdict.fails),
    }
}
