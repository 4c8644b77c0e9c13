//! Stand-in for the platform's append-only log.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_lib::AppendReply;
use hawthornrack_lib::AppendRequest;
use hawthornrack_lib::Offset;
use hawthornrack_lib::ReadReply;
use hawthornrack_lib::Record;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::http;
use crate::http::HandlerResult;
use crate::http::HttpError;
use crate::http::HttpRequest;
use crate::http::HttpResponse;
use crate::token_bucket::TokenBucket;

/// Maximum number of records in a response if the request sets no limit.
const DEFAULT_MAX_RECORDS: usize = 1000;

/// Outage mode, which determines how the log responds to appends and reads.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    Off,
    /// Appends and reads are refused with status 503.
    Refuse,
    /// Appends and reads get no response.
    Silent,
}

/// Settings of the log stand-in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Maximum rate of appends, per second; also the largest burst, which is at least 1.
    pub per_sec: f64,
    /// Maximum number of records that a stream retains.
    pub keep_records: usize,
    /// Retention of a record, in milliseconds.
    pub keep_ms: u64,
    /// Outage mode in force.
    pub outage: Outage,
    /// Delay before an append or read takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming appends that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Number of upcoming appends that are lost before they take effect.
    pub lose_requests: u32,
    /// Offset at which streams appear to end in reads, which hides newer records.
    pub old_tail: Option<u64>,
    /// Only stream to which `lose_answers`, `lose_requests` and `old_tail` apply; `None` for all.
    pub only: Option<String>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            per_sec: 500.0,
            keep_records: 1_000_000,
            keep_ms: 24 * 3_600_000,
            outage: Outage::Off,
            delay_ms: 0,
            lose_answers: 0,
            lose_requests: 0,
            old_tail: None,
            only: None,
        }
    }
}

/// Drops the oldest records of a stream: `POST /control/expire`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExpireRequest {
    /// Name of the stream.
    pub stream: String,
    /// Offset of the oldest record that is retained.
    pub before: u64,
}

/// Counters of the log stand-in.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct LogStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Appends refused by the rate limit.
    pub limited: u64,
    /// Successful reads.
    pub reads: u64,
    /// Body bytes of the responses to successful reads.
    pub sent_bytes: u64,
}

#[derive(Default)]
struct StoredStream {
    first_offset: u64,
    records: VecDeque<(Instant, Record)>,
}

impl StoredStream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn expire_before(&mut self, before: u64) {
        while self.first_offset < before && self.records.pop_front().is_some() {
            self.first_offset += 1;
        }
    }

    fn apply_retention(&mut self, settings: &LogSettings) {
        let excess = self.records.len().saturating_sub(settings.keep_records) as u64;
        self.expire_before(self.first_offset + excess);
        let retention = Duration::from_millis(settings.keep_ms);
        let expired = self
            .records
            .iter()
            .take_while(|(at, _)| at.elapsed() > retention);
        let expired = expired.count() as u64;
        self.expire_before(self.first_offset + expired);
    }
}

struct Inner {
    bucket: TokenBucket,
    settings: LogSettings,
    stats: LogStats,
    streams: IndexMap<String, StoredStream>,
}

struct Log {
    appended: Notify,
    inner: Mutex<Inner>,
}

/// Serves the log until `stop` is cancelled.
pub async fn run_log(settings: LogSettings, listener: TcpListener, stop: CancellationToken) {
    let log = Arc::new(Log {
        appended: Notify::new(),
        inner: Mutex::new(Inner {
            bucket: TokenBucket::full(settings.per_sec),
            settings,
            stats: LogStats::default(),
            streams: IndexMap::new(),
        }),
    });
    http::serve_requests(listener, stop, move |call| {
        let log = Arc::clone(&log);
        async move { log.handle(call).await }
    })
    .await;
}

impl Log {
    async fn handle(&self, call: HttpRequest) -> HandlerResult {
        match (call.method(), call.path_segments().as_slice()) {
            ("GET", ["stats"]) => Ok(http::json(200, &self.inner.lock().stats)),
            ("POST", ["control"]) => {
                let response = call.update_settings(&mut self.inner.lock().settings);
                self.appended.notify_waiters();
                response
            }
            ("POST", ["control", "expire"]) => {
                let request: ExpireRequest = call.parse_json()?;
                let mut inner = self.inner.lock();
                inner
                    .streams
                    .entry(request.stream)
                    .or_default()
                    .expire_before(request.before);
                Ok(http::text(200, "expired"))
            }
            ("GET", ["streams", stream, "records"]) => self.read(stream, &call).await,
            ("POST", ["streams", stream, "records"]) => {
                self.apply_delay_and_outage().await?;
                let request: AppendRequest = call.parse_json()?;
                self.append(stream, request)
            }
            _ => Err(http::status_error(404, "no such path")),
        }
    }

    /// Waits for the configured delay, then refuses or blocks the request during an outage.
    async fn apply_delay_and_outage(&self) -> Result<(), HttpError> {
        let settings = self.inner.lock().settings.clone();
        tokio::time::sleep(Duration::from_millis(settings.delay_ms)).await;
        match settings.outage {
            Outage::Off => Ok(()),
            Outage::Refuse => Err(HttpError::RetryAfter(503, 1)),
            Outage::Silent => std::future::pending().await,
        }
    }

    fn append(&self, stream: &str, request: AppendRequest) -> HandlerResult {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let affected = faults_apply(&inner.settings, stream);
        if affected && inner.settings.lose_requests > 0 {
            inner.settings.lose_requests -= 1;
            return Err(HttpError::Abort);
        }
        let rate = inner.settings.per_sec;
        if let Err(wait) = inner.bucket.take(rate, rate) {
            inner.stats.limited += 1;
            return Err(HttpError::RetryAfter(429, wait.as_secs() + 1));
        }
        let stored = inner.streams.entry(stream.to_owned()).or_default();
        let first = Offset(stored.next_offset());
        for envelope in request.records {
            let offset = Offset(stored.next_offset());
            let record = Record { offset, envelope };
            stored.records.push_back((Instant::now(), record));
        }
        stored.apply_retention(&inner.settings);
        inner.stats.appends += 1;
        self.appended.notify_waiters();
        if affected && inner.settings.lose_answers > 0 {
            inner.settings.lose_answers -= 1;
            return Err(HttpError::Abort);
        }
        Ok(http::json(200, &AppendReply { first }))
    }

    async fn read(&self, stream: &str, call: &HttpRequest) -> HandlerResult {
        self.apply_delay_and_outage().await?;
        let from = call.query_number("from");
        let limit = match call.query_number("limit") {
            0 => DEFAULT_MAX_RECORDS,
            limit => limit as usize,
        };
        let wait = Duration::from_millis(call.query_number("wait_ms"));
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let outage = self.inner.lock().settings.outage;
            if outage != Outage::Off {
                self.apply_delay_and_outage().await?;
            }
            let reply = self.collect_records(stream, from, limit);
            if from < reply.first.0 {
                return Ok(http::json(410, &reply));
            }
            if !reply.records.is_empty() || Instant::now() >= deadline {
                let response = http::json(200, &reply);
                self.count_read(&response);
                return Ok(response);
            }
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }

    fn count_read(&self, response: &HttpResponse) {
        let bytes = hyper::body::Body::size_hint(response.body()).lower();
        let stats = &mut self.inner.lock().stats;
        stats.reads += 1;
        stats.sent_bytes += bytes;
    }

    fn collect_records(&self, stream: &str, from: u64, limit: usize) -> ReadReply {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let affected = faults_apply(&inner.settings, stream);
        let stored = inner.streams.entry(stream.to_owned()).or_default();
        stored.apply_retention(&inner.settings);
        let old_tail = inner.settings.old_tail.filter(|_| affected);
        let next = old_tail.map_or(stored.next_offset(), |tail| tail.min(stored.next_offset()));
        let first = stored.first_offset.min(next);
        let start =
            from.clamp(stored.first_offset, next.max(stored.first_offset)) - stored.first_offset;
        let count = (next.saturating_sub(from.max(stored.first_offset)) as usize).min(limit);
        let selected = stored.records.iter().skip(start as usize).take(count);
        ReadReply {
            first: Offset(first),
            next: Offset(next),
            records: if from < stored.first_offset {
                Vec::new()
            } else {
                selected.map(|(_, record)| record.clone()).collect()
            },
        }
    }
}

/// Returns whether lost responses, lost requests and the old tail apply to the stream.
fn faults_apply(settings: &LogSettings, stream: &str) -> bool {
    settings.only.as_deref().is_none_or(|only| only == stream)
}
