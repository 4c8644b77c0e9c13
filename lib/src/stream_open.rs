//! Opens a relay's streams: on a first engine, again on the same one, or on another.

use std::time::Duration;

use tokio::time::Instant;

use crate::AttemptId;
use crate::Endpoint;
use crate::EngineRun;
use crate::Error;
use crate::ErrorKind;
use crate::Outcome;
use crate::Result;
use crate::Reuse;
use crate::SampleOutcome;
use crate::attempt;
use crate::attempt::Answer;
use crate::attempt::AttemptError;
use crate::counters::Count;
use crate::engine_stream;
use crate::engine_stream::EngineStream;
use crate::retry;
use crate::router;
use crate::stream_relay::Relay;
use crate::stream_relay::RelayItem;
use crate::stream_relay::TOKEN_BYTES;

/// Attempts at a request that no engine has accepted yet.
const MAX_ATTEMPTS: u32 = 3;

/// Time within which an engine must answer the reopening of a stream.
pub(crate) const REOPEN_TIMEOUT: Duration = Duration::from_secs(1);

impl Relay {
    /// Picks the engine's stream up on a new connection; leaves `stream` empty on failure.
    pub(crate) async fn reopen(&mut self) {
        let Some(run) = self.run.clone() else { return };
        let position = self.text.position();
        let guard = self.gate.in_flight.enter(&run.endpoint.name);
        let opened = engine_stream::reopen(&self.gate.http, &run, position, REOPEN_TIMEOUT).await;
        match opened {
            Ok(answer) => {
                self.record("stream.resumed", &run.endpoint);
                self.gate.counters.add(Count::Resumed, 1);
                self.stream = Some(EngineStream::new(run, position, answer, guard));
            }
            Err(error) => {
                tracing::debug!(%error, endpoint = %run.endpoint.name, "stream not resumed");
                self.blame(&run.endpoint, &error).await;
                self.tried.push(run.endpoint.name);
            }
        }
    }

    /// Starts a generation that continues the text so far.
    ///
    /// Returns whether a stream was opened; otherwise the caller has been answered.
    pub(crate) async fn open(&mut self) -> Result<bool> {
        // A new generation may differ from the one that the caller has begun to read.
        let known = self
            .text
            .whole()
            .filter(|_| self.text.position() >= self.shown);
        let Some(text) = known else {
            let detail = "the engine lost the stream; resume again with resume_text";
            return Err(Error::new(ErrorKind::EndpointFailed, detail));
        };
        let mut attempts = 0;
        loop {
            if self.must_leave() {
                return Ok(true);
            }
            self.check_crashes()?;
            let Some(endpoint) = self.choose() else {
                if self.run.is_none() && self.tried.is_empty() {
                    let detail = "no endpoint takes new work";
                    return Err(Error::new(ErrorKind::NoEndpoint, detail));
                }
                self.tried.clear();
                attempts += 1;
                tokio::time::sleep(retry::backoff(attempts)).await;
                continue;
            };
            if attempts > 0 {
                self.gate.counters.add(Count::Retries, 1);
            }
            let failed = match self.attempt(&endpoint, &text).await {
                Ok(done) => return Ok(done),
                Err(error) => error,
            };
            attempts += 1;
            self.blame(&endpoint, &failed).await;
            self.tried.push(endpoint.name);
            if self.run.is_none() && attempts >= MAX_ATTEMPTS {
                return Err(refusal(&failed));
            }
            tokio::time::sleep(retry::backoff(attempts)).await;
        }
    }

    fn check_crashes(&self) -> Result<()> {
        let table = self.gate.table();
        let live = table.as_ref().map(|t| &t.live);
        self.gate.crashes.check(self.call.digest(), live)
    }

    fn choose(&self) -> Option<Endpoint> {
        let table = self.gate.table()?;
        let wanted = self.version.as_ref();
        router::choose(&self.gate, &table, &self.call, wanted, &self.tried)
    }

    async fn attempt(&mut self, endpoint: &Endpoint, text: &str) -> Result<bool, AttemptError> {
        let position = self.text.position();
        let attempt = AttemptId::random();
        let body = self.wanted.body_after(text, position);
        let request = attempt::endpoint_request(endpoint, &self.call, body, attempt);
        let guard = self.gate.in_flight.enter(&endpoint.name);
        let has_idle = self.gate.http.has_idle(endpoint.address);
        let reuse = if self.tried.is_empty() && has_idle {
            Reuse::Idle
        } else {
            Reuse::Never
        };
        self.record("request.dispatched", endpoint);
        self.dispatched.get_or_insert_with(Instant::now);
        let limit = self.gate.settings.limits.progress;
        let sent = attempt::send(
            &self.gate.http,
            endpoint.address,
            request,
            attempt,
            reuse,
            limit,
        );
        let answer = match sent.await {
            Err(AttemptError::Silent) if reuse == Reuse::Idle => Err(AttemptError::Stale),
            other => other,
        }?;
        if !engine_stream::is_event_stream(&answer) {
            return self.pass_on(endpoint, answer).await;
        }
        let stream = engine_stream::stream_name(&answer)
            .ok_or_else(|| AttemptError::Truncated(String::from("the stream has no name")))?;
        let run = EngineRun {
            endpoint: endpoint.clone(),
            stream,
            base: position,
        };
        if self.run.is_some() {
            let prompt = self.wanted.known.prompt.len() as u64 / TOKEN_BYTES;
            let tokens = u64::from(position) + prompt;
            self.gate.counters.add(Count::Continued, 1);
            self.gate.counters.add(Count::Recomputed, tokens);
            self.record("stream.continued", endpoint);
        }
        self.adopt(EngineStream::new(run, position, answer, guard));
        Ok(true)
    }

    pub(crate) fn adopt(&mut self, stream: EngineStream) {
        self.run = Some(stream.run.clone());
        self.version = Some(stream.run.endpoint.version.clone());
        self.stream = Some(stream);
        if let Some(token) = self.token() {
            let _ = self.out.send(RelayItem::Opened(token));
        }
    }

    /// Passes on an answer that is no stream, if nothing has been passed on yet.
    async fn pass_on(&self, endpoint: &Endpoint, answer: Answer) -> Result<bool, AttemptError> {
        let status = answer.response.status();
        if self.run.is_some() || matches!(status.as_u16(), 429 | 503) {
            return Err(AttemptError::Status(status.as_u16()));
        }
        let progress = self.gate.settings.limits.progress;
        let answer = attempt::read_whole(&self.gate.http, answer, progress).await?;
        if status.is_server_error() {
            self.judge_fault(endpoint, SampleOutcome::Failed);
        }
        let _ = self.out.send(RelayItem::Answer(Box::new(answer)));
        Ok(false)
    }
}

/// Returns the answer to a request whose attempts all failed before any engine accepted it.
fn refusal(error: &AttemptError) -> Error {
    match error {
        AttemptError::Unsent(_) | AttemptError::Status(429 | 503) => {
            Error::new(ErrorKind::NoEndpoint, error.to_string())
        }
        _ => {
            Error::new(ErrorKind::EndpointFailed, error.to_string()).with_outcome(Outcome::Unknown)
        }
    }
}
