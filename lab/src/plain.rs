//! Stand-in for a plain service.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornrack_lib::ATTEMPT_ID_HEADER;
use hawthornrack_lib::IDEMPOTENCY_KEY_HEADER;
use hawthornrack_lib::KeySupport;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::fault::FaultInjector;
use crate::fault::Faults;
use crate::fault::InjectedFaults;
use crate::fault::RequestInfo;
use crate::http;
use crate::http::HandlerResult;
use crate::http::HttpError;
use crate::http::HttpRequest;
use crate::http::HttpResponse;

/// Settings of a plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSettings {
    /// Name that every response carries.
    pub name: String,
    /// Version that every response carries.
    pub version: String,
    /// Support for idempotency keys.
    pub keys: KeySupport,
    /// Time that a request takes, in milliseconds.
    pub run_ms: u64,
    /// Faults that are injected.
    pub faults: Faults,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            name: String::from("plain"),
            version: String::from("v1"),
            keys: KeySupport::Ignored,
            run_ms: 1,
            faults: Faults::default(),
        }
    }
}

/// Response of a plain service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainResponse {
    /// Name of the endpoint.
    pub server: String,
    /// Version that handled the request.
    pub version: String,
    /// Attempt identifier of the request.
    pub attempt: String,
    /// Idempotency key of the request, empty if it has none.
    pub key: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request, with its query.
    pub path: String,
    /// Body of the request as text.
    pub body: String,
    /// Hash of the request body (xxh3, 64 bits) in hexadecimal.
    pub digest: String,
    /// Number of the run, counted from one since the start of the endpoint.
    pub run: u64,
}

/// Counters of a plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlainStats {
    /// Number of runs.
    pub runs: u64,
    /// Number of runs, by idempotency key; the empty key stands for requests without one.
    pub by_key: IndexMap<String, u32>,
    /// Number of runs, by attempt identifier; the empty identifier stands for requests without one.
    pub by_attempt: IndexMap<String, u32>,
    /// Number of runs, by the hash of the request body.
    pub by_digest: IndexMap<String, u32>,
    /// Number of runs, by path without the query.
    pub by_path: IndexMap<String, u32>,
    /// Number of requests that are running.
    pub running: u32,
}

/// Response of a run or the status of its error; `None` while it is running.
type RunResult = Option<Result<PlainResponse, u16>>;

struct PlainService {
    shutdown: CancellationToken,
    fault_injector: FaultInjector,
    running: AtomicU32,
    settings: Mutex<PlainSettings>,
    stats: Mutex<PlainStats>,
    /// First run of each idempotency key; empty if keys are ignored.
    first_run_by_key: Mutex<IndexMap<String, watch::Receiver<RunResult>>>,
}

/// Serves a plain service until `stop` is cancelled or a request crashes it.
pub async fn run_plain(settings: PlainSettings, listener: TcpListener, stop: CancellationToken) {
    let shutdown = stop.child_token();
    let service = Arc::new(PlainService {
        shutdown: shutdown.clone(),
        fault_injector: FaultInjector::new(&settings.faults),
        running: AtomicU32::new(0),
        settings: Mutex::new(settings),
        stats: Mutex::default(),
        first_run_by_key: Mutex::default(),
    });
    http::serve_requests(listener, shutdown, move |request| {
        let service = Arc::clone(&service);
        async move { service.handle(request).await }
    })
    .await;
}

impl PlainService {
    async fn handle(self: &Arc<Self>, request: HttpRequest) -> HandlerResult {
        match (request.method(), request.path_segments().as_slice()) {
            ("GET", ["stats"]) => Ok(http::json(200, &self.stats())),
            ("POST", ["control"]) => {
                self.fault_injector.restart_clock();
                request.update_settings(&mut *self.settings.lock())
            }
            ("GET", ["keys", key]) => self.look_up_key(key).await,
            _ => self.handle_service_request(request).await,
        }
    }

    fn stats(&self) -> PlainStats {
        PlainStats {
            running: self.running.load(Ordering::Relaxed),
            ..self.stats.lock().clone()
        }
    }

    /// Waits until the first run of a key has ended and responds with its result. Responds with
    /// status 404 if the key is unknown or keys cannot be looked up.
    async fn look_up_key(&self, key: &str) -> HandlerResult {
        let support = self.settings.lock().keys;
        let run = self.first_run_by_key.lock().get(key).cloned();
        match (support, run) {
            (KeySupport::Lookup, Some(run)) => wait_for_response(run).await,
            _ => Err(http::status_error(404, "no such key")),
        }
    }

    async fn handle_service_request(self: &Arc<Self>, request: HttpRequest) -> HandlerResult {
        let mut response = PlainResponse {
            attempt: request.header(ATTEMPT_ID_HEADER),
            key: request.header(IDEMPOTENCY_KEY_HEADER),
            method: request.method().to_owned(),
            path: request.path_with_query(),
            ..PlainResponse::default()
        };
        response.digest = http::digest(&request.body);
        response.body = String::from_utf8_lossy(&request.body).into_owned();
        let settings = self.settings.lock().clone();
        response.server = settings.name;
        response.version = settings.version;
        let attempt = response.attempt.clone();
        let faults = self.draw_faults(request.path(), &response);
        if faults.crashes {
            self.crash(settings.faults.crash_exit);
            return Err(HttpError::Abort);
        }
        let run_time = Duration::from_millis(settings.run_ms).mul_f64(faults.slow_factor);
        let run = self.start_run(settings.keys, response, faults, run_time);
        let http_response = wait_for_response(run)
            .await
            .unwrap_or_else(HttpResponse::from);
        tokio::time::sleep(faults.delay).await;
        faults.apply(http_response, &attempt)
    }

    fn draw_faults(&self, path: &str, response: &PlainResponse) -> InjectedFaults {
        let request = RequestInfo {
            path,
            text: &response.body,
            version: &response.version,
            running: self.running.load(Ordering::Relaxed),
        };
        let faults = &mut self.settings.lock().faults;
        self.fault_injector.draw(faults, request)
    }

    fn crash(&self, exit: bool) {
        if exit {
            std::process::exit(CRASH_EXIT_STATUS);
        }
        self.shutdown.cancel();
    }

    /// Starts a run, or returns the first run of the key if keys are honoured.
    fn start_run(
        self: &Arc<Self>,
        keys: KeySupport,
        response: PlainResponse,
        faults: InjectedFaults,
        run_time: Duration,
    ) -> watch::Receiver<RunResult> {
        let (sender, receiver) = watch::channel(None);
        let key = response.key.clone();
        if keys != KeySupport::Ignored && !key.is_empty() {
            let mut first_run_by_key = self.first_run_by_key.lock();
            let first_run = first_run_by_key.get(&key);
            if let (KeySupport::Honoured, Some(first_run)) = (keys, first_run) {
                return first_run.clone();
            }
            first_run_by_key
                .entry(key)
                .or_insert_with(|| receiver.clone());
        }
        let response = self.count_run(response);
        let service = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(run_time).await;
            service.running.fetch_sub(1, Ordering::Relaxed);
            sender.send_replace(Some(if faults.fails { Err(500) } else { Ok(response) }));
        });
        receiver
    }

    /// Counts a run and sets its number in the response.
    fn count_run(&self, mut response: PlainResponse) -> PlainResponse {
        self.running.fetch_add(1, Ordering::Relaxed);
        let mut stats = self.stats.lock();
        stats.runs += 1;
        response.run = stats.runs;
        let path = response
            .path
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        *stats.by_key.entry(response.key.clone()).or_default() += 1;
        *stats
            .by_attempt
            .entry(response.attempt.clone())
            .or_default() += 1;
        *stats.by_digest.entry(response.digest.clone()).or_default() += 1;
        *stats.by_path.entry(path).or_default() += 1;
        response
    }
}

/// Exit status of a process that a request has crashed.
pub(crate) const CRASH_EXIT_STATUS: i32 = 101;

/// Waits until a run has ended and returns its response.
async fn wait_for_response(mut run: watch::Receiver<RunResult>) -> HandlerResult {
    let result = run.wait_for(Option::is_some).await;
    match result.as_deref() {
        Ok(Some(Ok(response))) => Ok(http::json(200, response)),
        Ok(Some(Err(status))) => Err(http::status_error(*status, "the request failed")),
        _ => Err(HttpError::Abort),
    }
}
