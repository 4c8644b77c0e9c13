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

use crate::rate::TokenBucket;
use crate::reply;
use crate::reply::Answer;
use crate::reply::Call;
use crate::reply::Refusal;
use crate::reply::Reply;

/// Records in an answer when the reader names no limit.
const DEFAULT_LIMIT: usize = 1000;

/// How the log behaves during an outage.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    Off,
    /// Requests are answered with status 503.
    Refuse,
    /// Requests are never answered.
    Silent,
}

/// Settings of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Appends admitted per second.
    pub per_sec: f64,
    /// Records kept in a stream.
    pub keep_records: usize,
    /// Time for which a record is kept, in milliseconds.
    pub keep_ms: u64,
    /// Outage in force.
    pub outage: Outage,
    /// Delay before a request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Appends still to come whose answers are lost after they took effect.
    pub lose_answers: u32,
    /// Appends still to come that are lost before they take effect.
    pub lose_requests: u32,
    /// Offset at which reads pretend that a stream ends.
    pub old_tail: Option<u64>,
    /// The only stream to which lost answers, lost requests and the old tail apply.
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

/// Asks the log to expire a stream's oldest records: `POST /control/expire`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Expiry {
    /// Stream.
    pub stream: String,
    /// Offset of the oldest record that is kept.
    pub before: u64,
}

/// Counters of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct LogStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Appends refused because of the limit.
    pub limited: u64,
    /// Reads.
    pub reads: u64,
    /// Bytes of records sent to readers.
    pub sent_bytes: u64,
}

#[derive(Default)]
struct Records {
    first: u64,
    kept: VecDeque<(Instant, Record)>,
}

impl Records {
    fn next(&self) -> u64 {
        self.first + self.kept.len() as u64
    }

    fn expire(&mut self, before: u64) {
        while self.first < before && self.kept.pop_front().is_some() {
            self.first += 1;
        }
    }

    fn retain(&mut self, settings: &LogSettings) {
        let excess = self.kept.len().saturating_sub(settings.keep_records) as u64;
        self.expire(self.first + excess);
        let limit = Duration::from_millis(settings.keep_ms);
        let aged = self.kept.iter().take_while(|(at, _)| at.elapsed() > limit);
        let aged = aged.count() as u64;
        self.expire(self.first + aged);
    }
}

struct Inner {
    bucket: TokenBucket,
    settings: LogSettings,
    stats: LogStats,
    streams: IndexMap<String, Records>,
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
    reply::host(listener, stop, move |call| {
        let log = Arc::clone(&log);
        async move { log.answer(call).await }
    })
    .await;
}

impl Log {
    async fn answer(&self, call: Call) -> Answer {
        match (call.method(), call.segments().as_slice()) {
            ("GET", ["stats"]) => Ok(reply::json(200, &self.inner.lock().stats)),
            ("POST", ["control"]) => {
                let answer = call.control(&mut self.inner.lock().settings);
                self.appended.notify_waiters();
                answer
            }
            ("POST", ["control", "expire"]) => {
                let expiry: Expiry = call.parse()?;
                let mut inner = self.inner.lock();
                inner
                    .streams
                    .entry(expiry.stream)
                    .or_default()
                    .expire(expiry.before);
                Ok(reply::text(200, "expired"))
            }
            ("GET", ["streams", stream, "records"]) => self.read(stream, &call).await,
            ("POST", ["streams", stream, "records"]) => {
                self.pass_outage().await?;
                let body: AppendRequest = call.parse()?;
                self.append(stream, body)
            }
            _ => Err(reply::refuse(404, "no such path")),
        }
    }

    async fn pass_outage(&self) -> Result<(), Refusal> {
        let settings = self.inner.lock().settings.clone();
        tokio::time::sleep(Duration::from_millis(settings.delay_ms)).await;
        match settings.outage {
            Outage::Off => Ok(()),
            Outage::Refuse => Err(Refusal::Later(503, 1)),
            Outage::Silent => std::future::pending().await,
        }
    }

    fn append(&self, stream: &str, request: AppendRequest) -> Answer {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let affected = applies(&inner.settings, stream);
        if affected && inner.settings.lose_requests > 0 {
            inner.settings.lose_requests -= 1;
            return Err(Refusal::Abort);
        }
        let rate = inner.settings.per_sec;
        if let Err(wait) = inner.bucket.take(rate, rate) {
            inner.stats.limited += 1;
            return Err(Refusal::Later(429, wait.as_secs() + 1));
        }
        let records = inner.streams.entry(stream.to_owned()).or_default();
        let first = Offset(records.next());
        for envelope in request.records {
            let offset = Offset(records.next());
            let record = Record { offset, envelope };
            records.kept.push_back((Instant::now(), record));
        }
        records.retain(&inner.settings);
        inner.stats.appends += 1;
        self.appended.notify_waiters();
        if affected && inner.settings.lose_answers > 0 {
            inner.settings.lose_answers -= 1;
            return Err(Refusal::Abort);
        }
        Ok(reply::json(200, &AppendReply { first }))
    }

    async fn read(&self, stream: &str, call: &Call) -> Answer {
        self.pass_outage().await?;
        let from = call.query("from");
        let limit = match call.query("limit") {
            0 => DEFAULT_LIMIT,
            limit => limit as usize,
        };
        let wait = Duration::from_millis(call.query("wait_ms"));
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let outage = self.inner.lock().settings.outage;
            if outage != Outage::Off {
                self.pass_outage().await?;
            }
            let reply = self.select(stream, from, limit);
            if from < reply.first.0 {
                return Ok(reply::json(410, &reply));
            }
            if !reply.records.is_empty() || Instant::now() >= deadline {
                let answer = reply::json(200, &reply);
                self.count(&answer);
                return Ok(answer);
            }
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }

    fn count(&self, answer: &Reply) {
        let bytes = hyper::body::Body::size_hint(answer.body()).lower();
        let stats = &mut self.inner.lock().stats;
        stats.reads += 1;
        stats.sent_bytes += bytes;
    }

    fn select(&self, stream: &str, from: u64, limit: usize) -> ReadReply {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let affected = applies(&inner.settings, stream);
        let records = inner.streams.entry(stream.to_owned()).or_default();
        records.retain(&inner.settings);
        let tail = inner.settings.old_tail.filter(|_| affected);
        let next = tail.map_or(records.next(), |tail| tail.min(records.next()));
        let first = records.first.min(next);
        let start = from.clamp(records.first, next.max(records.first)) - records.first;
        let count = (next.saturating_sub(from.max(records.first)) as usize).min(limit);
        let selected = records.kept.iter().skip(start as usize).take(count);
        ReadReply {
            first: Offset(first),
            next: Offset(next),
            records: if from < records.first {
                Vec::new()
            } else {
                selected.map(|(_, record)| record.clone()).collect()
            },
        }
    }
}

fn applies(settings: &LogSettings, stream: &str) -> bool {
    settings.only.as_deref().is_none_or(|only| only == stream)
}
