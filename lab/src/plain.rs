//! Stand-in for a plain service.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornrack_lib::ATTEMPT_HEADER;
use hawthornrack_lib::IDEMPOTENCY_HEADER;
use hawthornrack_lib::KeySupport;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::fault::FaultPicker;
use crate::fault::Faults;
use crate::fault::Subject;
use crate::fault::Verdict;
use crate::reply;
use crate::reply::Answer;
use crate::reply::Call;
use crate::reply::Refusal;
use crate::reply::Reply;

/// Settings of a plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSettings {
    /// Name in every answer.
    pub name: String,
    /// Version in every answer.
    pub version: String,
    /// What is done with idempotency keys.
    pub keys: KeySupport,
    /// Time that a request takes, in milliseconds.
    pub run_ms: u64,
    /// Faults.
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

/// Answer of a plain service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainAnswer {
    /// Name of the service's process.
    pub server: String,
    /// Version that answered.
    pub version: String,
    /// Attempt that was answered.
    pub attempt: String,
    /// Idempotency key, empty without one.
    pub key: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request, with its query.
    pub path: String,
    /// Body of the request as text.
    pub body: String,
    /// Hash (xxh3, 64 bits) of the request's body in hexadecimal.
    pub digest: String,
    /// Number of this run in the process, from one.
    pub run: u64,
}

/// Counters of a plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlainStats {
    /// Runs.
    pub runs: u64,
    /// Runs by idempotency key.
    pub by_key: IndexMap<String, u32>,
    /// Runs by attempt.
    pub by_attempt: IndexMap<String, u32>,
    /// Runs by hash of the body.
    pub by_digest: IndexMap<String, u32>,
    /// Runs by path, without the query.
    pub by_path: IndexMap<String, u32>,
    /// Requests running.
    pub running: u32,
}

type Outcome = Option<Result<PlainAnswer, u16>>;

struct Plain {
    down: CancellationToken,
    picker: FaultPicker,
    running: AtomicU32,
    settings: Mutex<PlainSettings>,
    stats: Mutex<PlainStats>,
    stored: Mutex<IndexMap<String, watch::Receiver<Outcome>>>,
}

/// Serves a plain service until `stop` is cancelled or a request crashes it.
pub async fn run_plain(settings: PlainSettings, listener: TcpListener, stop: CancellationToken) {
    let down = stop.child_token();
    let plain = Arc::new(Plain {
        down: down.clone(),
        picker: FaultPicker::new(&settings.faults),
        running: AtomicU32::new(0),
        settings: Mutex::new(settings),
        stats: Mutex::default(),
        stored: Mutex::default(),
    });
    reply::host(listener, down, move |call| {
        let plain = Arc::clone(&plain);
        async move { plain.answer(call).await }
    })
    .await;
}

impl Plain {
    async fn answer(self: &Arc<Self>, call: Call) -> Answer {
        match (call.method(), call.segments().as_slice()) {
            ("GET", ["stats"]) => Ok(reply::json(200, &self.stats())),
            ("POST", ["control"]) => {
                self.picker.restart();
                call.control(&mut *self.settings.lock())
            }
            ("GET", ["keys", key]) => self.look_up(key).await,
            _ => self.call(call).await,
        }
    }

    fn stats(&self) -> PlainStats {
        PlainStats {
            running: self.running.load(Ordering::Relaxed),
            ..self.stats.lock().clone()
        }
    }

    async fn look_up(&self, key: &str) -> Answer {
        let support = self.settings.lock().keys;
        let stored = self.stored.lock().get(key).cloned();
        match (support, stored) {
            (KeySupport::Lookup, Some(stored)) => outcome(stored).await,
            _ => Err(reply::refuse(404, "no such key")),
        }
    }

    async fn call(self: &Arc<Self>, call: Call) -> Answer {
        let mut answer = PlainAnswer {
            attempt: call.header(ATTEMPT_HEADER),
            key: call.header(IDEMPOTENCY_HEADER),
            method: call.method().to_owned(),
            path: call.uri(),
            ..PlainAnswer::default()
        };
        answer.digest = reply::digest(&call.body);
        answer.body = String::from_utf8_lossy(&call.body).into_owned();
        let settings = self.settings.lock().clone();
        answer.server = settings.name;
        answer.version = settings.version;
        let attempt = answer.attempt.clone();
        let verdict = self.pick(call.path(), &answer);
        if verdict.crashes {
            self.crash(settings.faults.crash_exit);
            return Err(Refusal::Abort);
        }
        let run_time = Duration::from_millis(settings.run_ms).mul_f64(verdict.slow);
        let result = self.start(settings.keys, answer, verdict, run_time);
        let reply = outcome(result).await.unwrap_or_else(Reply::from);
        tokio::time::sleep(verdict.late).await;
        verdict.finish(reply, &attempt)
    }

    fn pick(&self, path: &str, answer: &PlainAnswer) -> Verdict {
        let subject = Subject {
            path,
            body: &answer.body,
            version: &answer.version,
            running: self.running.load(Ordering::Relaxed),
        };
        let faults = &mut self.settings.lock().faults;
        self.picker.pick(faults, subject)
    }

    fn crash(&self, exit: bool) {
        if exit {
            std::process::exit(CRASH_STATUS);
        }
        self.down.cancel();
    }

    /// Starts a run, or returns the first run of a key that is honoured.
    fn start(
        self: &Arc<Self>,
        keys: KeySupport,
        answer: PlainAnswer,
        verdict: Verdict,
        run_time: Duration,
    ) -> watch::Receiver<Outcome> {
        let (sender, receiver) = watch::channel(None);
        let key = answer.key.clone();
        if keys != KeySupport::Ignored && !key.is_empty() {
            let mut stored = self.stored.lock();
            let known = stored.get(&key);
            if let (KeySupport::Honoured, Some(known)) = (keys, known) {
                return known.clone();
            }
            stored.entry(key).or_insert_with(|| receiver.clone());
        }
        let answer = self.count(answer);
        let plain = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(run_time).await;
            plain.running.fetch_sub(1, Ordering::Relaxed);
            sender.send_replace(Some(if verdict.fails { Err(500) } else { Ok(answer) }));
        });
        receiver
    }

    fn count(&self, mut answer: PlainAnswer) -> PlainAnswer {
        self.running.fetch_add(1, Ordering::Relaxed);
        let mut stats = self.stats.lock();
        stats.runs += 1;
        answer.run = stats.runs;
        let path = answer.path.split('?').next().unwrap_or_default().to_owned();
        *stats.by_key.entry(answer.key.clone()).or_default() += 1;
        *stats.by_attempt.entry(answer.attempt.clone()).or_default() += 1;
        *stats.by_digest.entry(answer.digest.clone()).or_default() += 1;
        *stats.by_path.entry(path).or_default() += 1;
        answer
    }
}

/// Exit status of a process that a request crashed.
pub(crate) const CRASH_STATUS: i32 = 101;

async fn outcome(mut result: watch::Receiver<Outcome>) -> Answer {
    let result = result.wait_for(Option::is_some).await;
    match result.as_deref() {
        Ok(Some(Ok(answer))) => Ok(reply::json(200, answer)),
        Ok(Some(Err(status))) => Err(reply::refuse(*status, "the request failed")),
        _ => Err(Refusal::Abort),
    }
}
