//! Runs a completion on engines and forwards its tokens, failing over when an engine is lost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::response::Parts;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Endpoint;
use crate::EndpointName;
use crate::EngineGeneration;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::GateInfo;
use crate::Result;
use crate::ResumeToken;
use crate::RoutingTable;
use crate::SampleOutcome;
use crate::Timestamp;
use crate::Usage;
use crate::VersionName;
use crate::admission;
use crate::admission::AdmissionOutcome;
use crate::admission::Permit;
use crate::attempt::AttemptError;
use crate::call::Call;
use crate::completion::Completion;
use crate::counters::GateCounter;
use crate::crash;
use crate::engine_stream;
use crate::engine_stream::EngineStream;
use crate::engine_stream::StreamItem;
use crate::engine_stream::Token;
use crate::response_text::ResponseText;

/// Estimated bytes of text per token, where the token count is not known.
pub(crate) const BYTES_PER_TOKEN: u64 = 4;

/// Item that a relay sends to the task that responds to the caller.
#[derive(Debug)]
pub(crate) enum RelayItem {
    /// Response of an endpoint that is not a stream.
    Response(Box<(Parts, Bytes)>),
    /// Resume token of a generation that has started on an engine.
    ResumeToken(String),
    /// The next token.
    Token(Token),
    /// The response is complete; carries its token counts.
    Done(Usage),
    /// Another gate continues the request.
    HandedOver(HandoverTarget),
    /// The request failed.
    Failed(Error),
}

/// Gate that continues a request.
#[derive(Clone, Debug)]
pub(crate) struct HandoverTarget {
    /// Addresses and load of the gate.
    pub(crate) gate: GateInfo,
    /// Resume token, if a generation runs.
    pub(crate) token: Option<String>,
    /// Position of the last token sent to the caller.
    pub(crate) position: u32,
}

/// State of a completion in progress.
pub(crate) struct StreamRelay {
    pub(crate) gate: Arc<Gate>,
    pub(crate) call: Call,
    pub(crate) completion: Completion,
    pub(crate) text: ResponseText,
    /// Position of the last token sent to the caller.
    pub(crate) sent_position: u32,
    /// Current or latest generation.
    pub(crate) generation: Option<EngineGeneration>,
    pub(crate) stream: Option<EngineStream>,
    pub(crate) version: Option<VersionName>,
    /// Endpoints that are not selected until the next token.
    pub(crate) excluded_endpoints: Vec<EndpointName>,
    /// Number of stream failures since the last token.
    pub(crate) failures: u32,
    pub(crate) usage: Usage,
    pub(crate) is_finished: bool,
    /// Time of the first dispatch.
    pub(crate) dispatched_at: Option<Instant>,
    /// Time from the first dispatch to the first token.
    pub(crate) first_token: Option<Duration>,
    /// Whether the request finishes at this gate in spite of a reclaim notice for its VM.
    pub(crate) is_pinned: bool,
    /// Endpoint whose reclaim notice has been handled.
    pub(crate) handled_notice: Option<EndpointName>,
    /// Admission permit, held while the request is in progress.
    pub(crate) permit: Option<Permit>,
    pub(crate) items: UnboundedSender<RelayItem>,
    pub(crate) table: watch::Receiver<Option<Arc<RoutingTable>>>,
    pub(crate) leave_deadline: watch::Receiver<Option<Timestamp>>,
}

/// How a relay ends without an error.
enum RelayEnd {
    /// The whole response has been sent.
    Done,
    /// Nothing is left to send: another gate continues the request, or a response that is not a
    /// stream was forwarded.
    FinalItemSent,
}

impl StreamRelay {
    /// Creates a relay for a new request.
    pub(crate) fn new(
        gate: &Arc<Gate>,
        call: Call,
        completion: Completion,
        items: UnboundedSender<RelayItem>,
    ) -> Self {
        Self {
            gate: Arc::clone(gate),
            call,
            completion,
            text: ResponseText::default(),
            sent_position: 0,
            generation: None,
            stream: None,
            version: None,
            excluded_endpoints: Vec::new(),
            failures: 0,
            usage: Usage::default(),
            is_finished: false,
            dispatched_at: None,
            first_token: None,
            is_pinned: false,
            handled_notice: None,
            permit: None,
            items,
            table: gate.subscribe_table(),
            leave_deadline: gate.leave_deadline.subscribe(),
        }
    }

    /// Makes the relay continue an earlier request after the token at `position`.
    pub(crate) fn resume_from(
        mut self,
        generation: EngineGeneration,
        text: ResponseText,
        position: u32,
    ) -> Self {
        self.version = Some(generation.endpoint.version.clone());
        self.generation = Some(generation);
        self.text = text;
        self.sent_position = position;
        self
    }

    /// Runs until the response is complete, the request has failed, another gate continues it, or
    /// the caller has disconnected.
    pub(crate) async fn run(mut self) {
        let items = self.items.clone();
        let deadline = self.call.deadline;
        let end = tokio::select! {
            () = items.closed() => {
                self.cancel();
                return;
            }
            () = tokio::time::sleep_until(deadline) => Err(self.deadline_error()),
            end = self.drive() => end,
        };
        match end {
            Ok(RelayEnd::Done) => {
                self.record_final_sample(SampleOutcome::Ok);
                if let Some(permit) = self.permit.take() {
                    permit.complete();
                }
                let _ = items.send(RelayItem::Done(self.usage));
            }
            Ok(RelayEnd::FinalItemSent) => {}
            Err(error) => {
                self.cancel();
                let _ = items.send(RelayItem::Failed(error));
            }
        }
    }

    /// Drops the stream and cancels the generation on its engine.
    fn cancel(&mut self) {
        self.stream = None;
        if let Some(generation) = &self.generation {
            engine_stream::cancel(&self.gate.http, generation);
            self.record_event("stream.cancelled", &generation.endpoint);
        }
    }

    fn deadline_error(&self) -> Error {
        let (kind, detail) = match self.generation {
            None => (ErrorKind::DeadlinePassed, "no engine took the request"),
            Some(_) => (ErrorKind::DeadlineExceeded, "the answer is not complete"),
        };
        Error::new(kind, detail)
    }

    /// Resumes or admits the request, then reads tokens until the relay ends.
    async fn drive(&mut self) -> Result<RelayEnd> {
        if self.generation.is_some() {
            self.replay_known_tokens();
            self.resume().await;
        } else if let AdmissionOutcome::Admitted(permit) =
            admission::admit(&self.gate, &self.call, self.completion.cost()).await?
        {
            self.permit = Some(permit);
        }
        loop {
            if self.is_finished || self.text.position() >= self.completion.request.max_tokens {
                return Ok(RelayEnd::Done);
            }
            if self.must_hand_over() {
                if self.hand_over().await {
                    return Ok(RelayEnd::FinalItemSent);
                }
                self.is_pinned = true;
            }
            if self.stream.is_none() {
                if self.open().await? {
                    continue;
                }
                return Ok(RelayEnd::FinalItemSent);
            }
            self.handle_next_event().await?;
        }
    }

    /// Waits for the next token, a routing table change or a reclaim notice, and handles it.
    async fn handle_next_event(&mut self) -> Result<()> {
        let Some(stream) = &mut self.stream else {
            return Ok(());
        };
        let idle_timeout = self.gate.settings.limits.progress;
        tokio::select! {
            biased;
            _ = self.leave_deadline.changed() => {}
            _ = self.table.changed() => self.handle_endpoint_notice().await,
            item = stream.next(idle_timeout) => match item {
                Ok(StreamItem::Token(token)) => self.forward_token(token),
                Ok(StreamItem::Done) => self.is_finished = true,
                Err(error) => self.recover(&error).await?,
            },
        }
        Ok(())
    }

    /// Appends a token to the text and sends it unless the caller has it already.
    fn forward_token(&mut self, token: Token) {
        self.failures = 0;
        self.excluded_endpoints.clear();
        if let (None, Some(at)) = (self.first_token, self.dispatched_at) {
            let latency = at.elapsed();
            self.first_token = Some(latency);
            if let Some(generation) = &self.generation {
                self.gate
                    .record_first_byte(&generation.endpoint.name, &self.call, latency);
            }
        }
        self.is_finished |= token.finish_reason.is_some();
        if let (Some(usage), Some(generation)) = (token.usage, &self.generation) {
            self.usage = Usage {
                prompt_tokens: usage.prompt_tokens.saturating_sub(generation.base),
                ..usage
            };
        }
        self.usage.completion_tokens = token.position;
        self.text.push(token.text.clone());
        if token.position > self.sent_position {
            self.sent_position = token.position;
            let _ = self.items.send(RelayItem::Token(token));
        }
    }

    /// Sends the tokens known from another gate that the caller has not received.
    fn replay_known_tokens(&mut self) {
        if let Some(token) = self.signed_token() {
            let _ = self.items.send(RelayItem::ResumeToken(token));
        }
        for (position, text) in self.text.tokens_after(self.sent_position) {
            self.sent_position = position;
            let _ = self.items.send(RelayItem::Token(Token {
                position,
                text,
                finish_reason: None,
                usage: None,
            }));
        }
    }

    /// Handles a failure of the current stream.
    ///
    /// The first failure since the last token resumes the stream on the same engine. A further one
    /// counts against the endpoint's version, and another endpoint continues.
    async fn recover(&mut self, error: &AttemptError) -> Result<()> {
        let Some(stream) = self.stream.take() else {
            return Ok(());
        };
        let endpoint = stream.generation.endpoint.clone();
        drop(stream);
        tracing::debug!(%error, endpoint = %endpoint.name, "stream failed");
        self.record_event("stream.broken", &endpoint);
        if matches!(error, AttemptError::Mismatched) {
            self.gate.counters.add(GateCounter::Mismatched, 1);
        }
        self.failures += 1;
        if self.failures == 1 {
            self.resume().await;
        } else {
            self.record_sample(&endpoint, SampleOutcome::Failed);
            self.excluded_endpoints.push(endpoint.name);
        }
        Ok(())
    }

    /// Returns the resume token of the current or latest generation, `None` before the first.
    pub(crate) fn resume_token(&self) -> Option<ResumeToken> {
        let remaining = self.call.deadline.saturating_duration_since(Instant::now());
        Some(ResumeToken {
            request: self.call.id,
            customer: self.call.customer.clone(),
            service: self.call.service.name.clone(),
            digest: self.completion.digest(),
            deadline: self.gate.kernel.clock.now().plus(remaining),
            generation: self.generation.clone()?,
        })
    }

    /// Returns the signed resume token of the current or latest generation.
    pub(crate) fn signed_token(&self) -> Option<String> {
        let token = self.resume_token()?;
        Some(token.sign(&self.gate.key))
    }

    /// Records the outcome of the whole response as evidence about the endpoint's version.
    fn record_final_sample(&self, outcome: SampleOutcome) {
        if let Some(generation) = &self.generation {
            self.record_sample(&generation.endpoint, outcome);
        }
    }

    /// Records an outcome as evidence about the endpoint's version.
    ///
    /// Failures of an endpoint whose VM is being reclaimed are not counted.
    pub(crate) fn record_sample(&self, endpoint: &Endpoint, outcome: SampleOutcome) {
        if outcome == SampleOutcome::Failed && self.gate.reclaim_deadline(endpoint).is_some() {
            return;
        }
        if outcome == SampleOutcome::Ok {
            self.gate.crashes.mark_up(&endpoint.name);
        }
        let first_token = self.first_token.unwrap_or_default();
        self.gate
            .evidence
            .record_call(&self.call, &endpoint.version, outcome, first_token);
    }

    /// Records a failed attempt as evidence about the endpoint, its version or the request.
    pub(crate) async fn record_failure(&self, endpoint: &Endpoint, error: &AttemptError) {
        match error {
            AttemptError::StaleConnection | AttemptError::NotSent(_) => {}
            AttemptError::Status(429 | 503) => self.gate.limits.update(&endpoint.name, |limit| {
                limit.record_rejection(Instant::now());
            }),
            AttemptError::Mismatched => self.gate.counters.add(GateCounter::Mismatched, 1),
            AttemptError::MaybeSent(_) => {
                crash::record_if_down(&self.gate, &self.call, endpoint).await;
            }
            AttemptError::TimedOut | AttemptError::InvalidBody(_) | AttemptError::Status(_) => {
                self.record_sample(endpoint, SampleOutcome::Failed);
            }
        }
    }

    pub(crate) fn record_event(&self, event: &str, endpoint: &Endpoint) {
        self.gate.kernel.events.record(
            event,
            &[
                ("request", &self.call.id),
                ("endpoint", &endpoint.name),
                ("version", &endpoint.version),
            ],
        );
    }
}
