//! Accepted deferred requests and their results, as a fold over the log's deferred stream.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::Body;
use crate::CustomerName;
use crate::DeferredChange;
use crate::DeferredRequest;
use crate::FoldClock;
use crate::Record;
use crate::RequestId;
use crate::StoredResponse;
use crate::Timestamp;

/// Time for which an answered request is kept after its response was stored.
pub const JOB_RETENTION: Duration = Duration::from_hours(24);

/// Maximum total size of the response bodies kept over all requests, in bytes.
const MAX_TOTAL_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Number of offsets between two removals of expired requests.
const SWEEP_INTERVAL_OFFSETS: u64 = 1024;

/// A deferred request and its response, as far as they have been read from the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Request, without its body once it is answered; `None` while only the response is
    /// known.
    pub request: Option<DeferredRequest>,
    /// Digest of method, path and body; zero while only the response is known.
    pub digest: u64,
    /// Response, `None` until the request is answered.
    pub reply: Option<StoredResponse>,
    /// Time of the last change.
    pub at: Timestamp,
}

/// State of a deferred request as a reader sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "view")]
pub enum JobView {
    /// There is no such request.
    #[serde(rename = "absent")]
    NotFound,
    /// The request is unknown, but it may have been in records that expired before they were read.
    #[serde(rename = "missing")]
    Unknown,
    /// The request is not answered yet.
    Pending {
        /// Customer that made the request.
        customer: CustomerName,
    },
    /// The request is answered.
    Finished {
        /// Customer that made the request.
        customer: CustomerName,
        /// Response to the request.
        reply: StoredResponse,
    },
}

/// Deferred requests up to an offset of the deferred stream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DeferredState {
    jobs: IndexMap<RequestId, Job>,
    /// Requests whose responses still have their body, oldest first.
    bodies: VecDeque<RequestId>,
    body_bytes: usize,
    clock: FoldClock,
    /// Whether records expired from the log before this state read them.
    #[serde(rename = "is_partial")]
    has_gap: bool,
}

impl DeferredState {
    /// Returns the state before the first record read when earlier ones have expired.
    pub fn after_gap() -> Self {
        Self {
            has_gap: true,
            ..Self::default()
        }
    }

    /// Returns whether every request is known.
    pub fn is_complete(&self) -> bool {
        !self.has_gap
    }

    /// Applies a record of the deferred stream; records with other content only advance the clock.
    pub fn apply(&mut self, record: &Record) {
        let at = record.envelope.at;
        self.clock.observe(&record.envelope.writer, at);
        let at = at.max(self.clock.now());
        match &record.envelope.body {
            Body::Deferred(DeferredChange::Accept { request }) => self.accept(request, at),
            Body::Deferred(DeferredChange::Finish { id, reply }) => self.finish(*id, reply, at),
            _ => {}
        }
        if record.offset.0.is_multiple_of(SWEEP_INTERVAL_OFFSETS) {
            self.sweep();
        }
    }

    /// Returns a request if it is kept.
    pub fn job(&self, id: RequestId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns the number of requests kept.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns at most `limit` unanswered requests in the order of their first record.
    pub fn pending(&self, limit: usize) -> Vec<RequestId> {
        let pending = self
            .jobs
            .iter()
            .filter(|(_, job)| job.reply.is_none())
            .map(|(id, _)| *id);
        pending.take(limit).collect()
    }

    /// Returns the state of a request.
    pub fn view(&self, id: RequestId) -> JobView {
        let job = self.jobs.get(&id);
        let request = job.and_then(|j| j.request.as_ref());
        let customer = request.map(|r| r.customer.clone());
        match (customer, job.and_then(|j| j.reply.clone())) {
            (Some(customer), Some(reply)) => JobView::Finished { customer, reply },
            (Some(customer), None) => JobView::Pending { customer },
            (None, _) if self.has_gap => JobView::Unknown,
            (None, _) => JobView::NotFound,
        }
    }

    fn accept(&mut self, request: &DeferredRequest, at: Timestamp) {
        let job = self.jobs.entry(request.id).or_insert_with(|| Job {
            request: None,
            digest: request_digest(request),
            reply: None,
            at,
        });
        if job.request.is_none() {
            job.digest = request_digest(request);
            job.request = Some(request.clone());
            job.drop_request_body();
        }
    }

    fn finish(&mut self, id: RequestId, response: &StoredResponse, at: Timestamp) {
        let job = self.jobs.entry(id).or_insert_with(|| Job {
            request: None,
            digest: 0,
            reply: None,
            at,
        });
        if job.reply.is_some() {
            return;
        }
        job.reply = Some(response.clone());
        job.at = at;
        job.drop_request_body();
        self.bodies.push_back(id);
        self.body_bytes += response.body.len();
        self.drop_oldest_bodies();
    }

    /// Drops the bodies of the oldest responses beyond [`MAX_TOTAL_BODY_BYTES`].
    fn drop_oldest_bodies(&mut self) {
        while self.body_bytes > MAX_TOTAL_BODY_BYTES {
            let Some(id) = self.bodies.pop_front() else {
                return;
            };
            let reply = self.jobs.get_mut(&id).and_then(|j| j.reply.as_mut());
            if let Some(reply) = reply {
                self.body_bytes -= reply.body.len();
                *reply = reply.without_body();
            }
        }
    }

    /// Removes answered requests that have passed their retention period.
    fn sweep(&mut self) {
        let now = self.clock.now();
        let is_kept = |j: &Job| j.reply.is_none() || now.since(j.at) < JOB_RETENTION;
        self.jobs.retain(|_, job| is_kept(job));
        let jobs = &self.jobs;
        self.bodies.retain(|id| jobs.contains_key(id));
        self.body_bytes = self
            .bodies
            .iter()
            .filter_map(|id| jobs[id].reply.as_ref())
            .map(|r| r.body.len())
            .sum();
    }
}

impl Job {
    /// Drops the body of the request if it is answered.
    fn drop_request_body(&mut self) {
        if let (Some(request), Some(_)) = (&mut self.request, &self.reply) {
            request.body = Vec::new();
        }
    }
}

/// Returns the hash (xxh3, 64 bits) of a request's method, path and body.
pub fn request_digest(request: &DeferredRequest) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
