//! Opens a relay's engine streams: the first one, the same one on a new connection, or one that
//! continues the response on another engine.

use std::time::Duration;

use tokio::time::Instant;

use crate::AttemptId;
use crate::Endpoint;
use crate::EngineGeneration;
use crate::Error;
use crate::ErrorKind;
use crate::Outcome;
use crate::Result;
use crate::Reuse;
use crate::SampleOutcome;
use crate::attempt;
use crate::attempt::AttemptError;
use crate::attempt::EndpointResponse;
use crate::counters::GateCounter;
use crate::engine_stream;
use crate::engine_stream::EngineStream;
use crate::retry;
use crate::router;
use crate::stream_relay::BYTES_PER_TOKEN;
use crate::stream_relay::RelayItem;
use crate::stream_relay::StreamRelay;

/// Maximum number of attempts of a request that no engine has accepted.
const MAX_OPEN_ATTEMPTS: u32 = 3;

/// Time within which an engine must respond when a stream is resumed.
pub(crate) const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

impl StreamRelay {
    /// Resumes the engine's stream on a new connection; leaves `stream` empty on failure.
    pub(crate) async fn resume(&mut self) {
        let Some(generation) = self.generation.clone() else {
            return;
        };
        let position = self.text.position();
        let guard = self.gate.in_flight.enter(&generation.endpoint.name);
        let opened =
            engine_stream::resume(&self.gate.http, &generation, position, RESUME_TIMEOUT).await;
        match opened {
            Ok(response) => {
                self.record_event("stream.resumed", &generation.endpoint);
                self.gate.counters.add(GateCounter::Resumed, 1);
                self.stream = Some(EngineStream::new(generation, position, response, guard));
            }
            Err(error) => {
                tracing::debug!(
                    %error,
                    endpoint = %generation.endpoint.name,
                    "failed to resume a stream"
                );
                self.record_failure(&generation.endpoint, &error).await;
                self.excluded_endpoints.push(generation.endpoint.name);
            }
        }
    }

    /// Starts a generation that continues the text so far.
    ///
    /// Returns `true` when a stream was opened or the request must be handed over, and `false` when
    /// a response other than a stream was forwarded to the caller.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::EndpointFailed`] when the text so far is lost or all attempts
    /// failed, and with [`ErrorKind::NoEndpoint`] when no endpoint accepts the request.
    pub(crate) async fn open(&mut self) -> Result<bool> {
        // A new generation may differ from the one that the caller has received in part, so it must
        // continue after the text sent.
        let known = self
            .text
            .full_text()
            .filter(|_| self.text.position() >= self.sent_position);
        let Some(text) = known else {
            let detail = "the engine lost the stream; resume again with resume_text";
            return Err(Error::new(ErrorKind::EndpointFailed, detail));
        };
        let mut attempts = 0;
        loop {
            if self.must_hand_over() {
                return Ok(true);
            }
            self.check_crashes()?;
            let Some(endpoint) = self.select_endpoint() else {
                if self.generation.is_none() && self.excluded_endpoints.is_empty() {
                    let detail = "no endpoint takes new work";
                    return Err(Error::new(ErrorKind::NoEndpoint, detail));
                }
                self.excluded_endpoints.clear();
                attempts += 1;
                tokio::time::sleep(retry::backoff(attempts)).await;
                continue;
            };
            if attempts > 0 {
                self.gate.counters.add(GateCounter::Retries, 1);
            }
            let failed = match self.try_endpoint(&endpoint, &text).await {
                Ok(opened) => return Ok(opened),
                Err(error) => error,
            };
            attempts += 1;
            self.record_failure(&endpoint, &failed).await;
            self.excluded_endpoints.push(endpoint.name);
            if self.generation.is_none() && attempts >= MAX_OPEN_ATTEMPTS {
                return Err(open_error(&failed));
            }
            tokio::time::sleep(retry::backoff(attempts)).await;
        }
    }

    fn check_crashes(&self) -> Result<()> {
        let table = self.gate.table();
        let live = table.as_ref().map(|t| &t.live);
        self.gate.crashes.check(self.call.digest(), live)
    }

    fn select_endpoint(&self) -> Option<Endpoint> {
        let table = self.gate.table()?;
        let version = self.version.as_ref();
        router::select_endpoint(
            &self.gate,
            &table,
            &self.call,
            version,
            &self.excluded_endpoints,
        )
    }

    /// Sends the request to an endpoint; returns whether its response is a stream.
    async fn try_endpoint(
        &mut self,
        endpoint: &Endpoint,
        text: &str,
    ) -> Result<bool, AttemptError> {
        let position = self.text.position();
        let attempt = AttemptId::random();
        let body = self.completion.continuation_body(text, position);
        let request = attempt::endpoint_request(endpoint, &self.call, body, attempt);
        let guard = self.gate.in_flight.enter(&endpoint.name);
        let has_idle = self.gate.http.has_idle(endpoint.address);
        let reuse = if self.excluded_endpoints.is_empty() && has_idle {
            Reuse::Idle
        } else {
            Reuse::Never
        };
        self.record_event("request.dispatched", endpoint);
        self.dispatched_at.get_or_insert_with(Instant::now);
        let timeout = self.gate.settings.limits.progress;
        let sent = attempt::send(
            &self.gate.http,
            endpoint.address,
            request,
            attempt,
            reuse,
            timeout,
        );
        let response = match sent.await {
            Err(AttemptError::TimedOut) if reuse == Reuse::Idle => {
                Err(AttemptError::StaleConnection)
            }
            other => other,
        }?;
        if !engine_stream::is_event_stream(&response) {
            return self.forward_response(endpoint, response).await;
        }
        let id = engine_stream::stream_id(&response)
            .ok_or_else(|| AttemptError::InvalidBody(String::from("the stream has no name")))?;
        let generation = EngineGeneration {
            endpoint: endpoint.clone(),
            stream: id,
            base: position,
        };
        if self.generation.is_some() {
            let prompt = self.completion.request.prompt.len() as u64 / BYTES_PER_TOKEN;
            let tokens = u64::from(position) + prompt;
            self.gate.counters.add(GateCounter::Continued, 1);
            self.gate.counters.add(GateCounter::Recomputed, tokens);
            self.record_event("stream.continued", endpoint);
        }
        self.attach(EngineStream::new(generation, position, response, guard));
        Ok(true)
    }

    /// Makes `stream` the current stream and sends the caller a resume token for it.
    pub(crate) fn attach(&mut self, stream: EngineStream) {
        self.generation = Some(stream.generation.clone());
        self.version = Some(stream.generation.endpoint.version.clone());
        self.stream = Some(stream);
        if let Some(token) = self.signed_token() {
            let _ = self.items.send(RelayItem::ResumeToken(token));
        }
    }

    /// Forwards a response that is not a stream, unless a stream has been opened before.
    async fn forward_response(
        &self,
        endpoint: &Endpoint,
        response: EndpointResponse,
    ) -> Result<bool, AttemptError> {
        let status = response.inner.status();
        if self.generation.is_some() || matches!(status.as_u16(), 429 | 503) {
            return Err(AttemptError::Status(status.as_u16()));
        }
        let progress = self.gate.settings.limits.progress;
        let response = attempt::read_to_end(&self.gate.http, response, progress).await?;
        if status.is_server_error() {
            self.record_sample(endpoint, SampleOutcome::Failed);
        }
        let _ = self.items.send(RelayItem::Response(Box::new(response)));
        Ok(false)
    }
}

/// Returns the error of a request whose attempts all failed before an engine accepted it.
fn open_error(error: &AttemptError) -> Error {
    match error {
        AttemptError::NotSent(_) | AttemptError::Status(429 | 503) => {
            Error::new(ErrorKind::NoEndpoint, error.to_string())
        }
        _ => {
            Error::new(ErrorKind::EndpointFailed, error.to_string()).with_outcome(Outcome::Unknown)
        }
    }
}
