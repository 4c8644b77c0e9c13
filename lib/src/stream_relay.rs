//! Runs a completion on engines and passes its tokens on, whatever happens to one engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::response::Parts;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Endpoint;
use crate::EndpointName;
use crate::EngineRun;
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
use crate::admission::Admitted;
use crate::admission::Permit;
use crate::attempt::AttemptError;
use crate::call::Call;
use crate::completion::Completion;
use crate::counters::Count;
use crate::crash;
use crate::engine_stream;
use crate::engine_stream::EngineStream;
use crate::engine_stream::StreamItem;
use crate::engine_stream::Token;
use crate::text_so_far::TextSoFar;

/// Bytes of text taken for one token where the count is not known.
pub(crate) const TOKEN_BYTES: u64 = 4;

/// What a relay tells the task that answers the caller.
#[derive(Debug)]
pub(crate) enum RelayItem {
    /// An endpoint answered with something other than a stream.
    Answer(Box<(Parts, Bytes)>),
    /// A generation runs on an engine; the token resumes it.
    Opened(String),
    /// The next token.
    Token(Token),
    /// The answer is complete.
    Done(Usage),
    /// Another gate goes on with the request.
    HandedOver(HandedOver),
    /// The request failed.
    Failed(Error),
}

/// Where a request goes on.
#[derive(Clone, Debug)]
pub(crate) struct HandedOver {
    /// Gate that goes on.
    pub(crate) gate: GateInfo,
    /// Token for it, when a generation runs.
    pub(crate) token: Option<String>,
    /// Position of the last token passed on.
    pub(crate) position: u32,
}

/// One completion on its way.
pub(crate) struct Relay {
    pub(crate) gate: Arc<Gate>,
    pub(crate) call: Call,
    pub(crate) wanted: Completion,
    pub(crate) text: TextSoFar,
    /// Position of the last token passed on.
    pub(crate) shown: u32,
    pub(crate) run: Option<EngineRun>,
    pub(crate) stream: Option<EngineStream>,
    pub(crate) version: Option<VersionName>,
    pub(crate) tried: Vec<EndpointName>,
    /// Failures since the last token.
    pub(crate) failures: u32,
    pub(crate) usage: Usage,
    pub(crate) finished: bool,
    /// Time of the first dispatch.
    pub(crate) dispatched: Option<Instant>,
    /// Time from the first dispatch to the first token.
    pub(crate) first: Option<Duration>,
    /// Whether the request stays at this gate though its VM is under notice.
    pub(crate) stays: bool,
    /// Endpoint under notice on which the stream is to finish.
    pub(crate) finishing: Option<EndpointName>,
    /// Held while the request is in progress.
    pub(crate) permit: Option<Permit>,
    pub(crate) out: UnboundedSender<RelayItem>,
    pub(crate) table: watch::Receiver<Option<Arc<RoutingTable>>>,
    pub(crate) notice: watch::Receiver<Option<Timestamp>>,
}

/// Why a relay ends, but for a failure.
enum End {
    /// The caller has everything.
    Done,
    /// Another gate goes on.
    HandedOver,
}

impl Relay {
    /// Creates a relay for a new request.
    pub(crate) fn new(
        gate: &Arc<Gate>,
        call: Call,
        wanted: Completion,
        out: UnboundedSender<RelayItem>,
    ) -> Self {
        Self {
            gate: Arc::clone(gate),
            call,
            wanted,
            text: TextSoFar::default(),
            shown: 0,
            run: None,
            stream: None,
            version: None,
            tried: Vec::new(),
            failures: 0,
            usage: Usage::default(),
            finished: false,
            dispatched: None,
            first: None,
            stays: false,
            finishing: None,
            permit: None,
            out,
            table: gate.subscribe_table(),
            notice: gate.notice.subscribe(),
        }
    }

    /// Turns the relay into one that goes on after token `shown` of a request begun elsewhere.
    pub(crate) fn resumed(mut self, run: EngineRun, text: TextSoFar, shown: u32) -> Self {
        self.version = Some(run.endpoint.version.clone());
        self.run = Some(run);
        self.text = text;
        self.shown = shown;
        self
    }

    /// Runs until the answer is complete, has failed or has no reader any more.
    pub(crate) async fn run(mut self) {
        let out = self.out.clone();
        let deadline = self.call.deadline;
        let end = tokio::select! {
            () = out.closed() => {
                self.abandon();
                return;
            }
            () = tokio::time::sleep_until(deadline) => Err(self.late()),
            end = self.drive() => end,
        };
        match end {
            Ok(End::Done) => {
                self.judge(SampleOutcome::Ok);
                if let Some(permit) = self.permit.take() {
                    permit.finish();
                }
                let _ = out.send(RelayItem::Done(self.usage));
            }
            Ok(End::HandedOver) => {}
            Err(error) => {
                self.abandon();
                let _ = out.send(RelayItem::Failed(error));
            }
        }
    }

    fn abandon(&mut self) {
        self.stream = None;
        if let Some(run) = &self.run {
            engine_stream::cancel(&self.gate.http, run);
            self.record("stream.cancelled", &run.endpoint);
        }
    }

    fn late(&self) -> Error {
        let (kind, detail) = match self.run {
            None => (ErrorKind::DeadlinePassed, "no engine took the request"),
            Some(_) => (ErrorKind::DeadlineExceeded, "the answer is not complete"),
        };
        Error::new(kind, detail)
    }

    async fn drive(&mut self) -> Result<End> {
        if self.run.is_some() {
            self.pass_on_known();
            self.reopen().await;
        } else if let Admitted::Now(permit) =
            admission::admit(&self.gate, &self.call, self.wanted.cost()).await?
        {
            self.permit = Some(permit);
        }
        loop {
            if self.finished || self.text.position() >= self.wanted.known.max_tokens {
                return Ok(End::Done);
            }
            if self.must_leave() {
                if self.hand_over().await {
                    return Ok(End::HandedOver);
                }
                self.stays = true;
            }
            if self.stream.is_none() {
                if self.open().await? {
                    continue;
                }
                return Ok(End::HandedOver);
            }
            self.step().await?;
        }
    }

    /// Waits for the next token, a new table or a notice, and acts on it.
    async fn step(&mut self) -> Result<()> {
        let Some(stream) = &mut self.stream else {
            return Ok(());
        };
        let progress = self.gate.settings.limits.progress;
        tokio::select! {
            biased;
            _ = self.notice.changed() => {}
            _ = self.table.changed() => self.check_endpoint().await,
            item = stream.next(progress) => match item {
                Ok(StreamItem::Token(token)) => self.take(token),
                Ok(StreamItem::Done) => self.finished = true,
                Err(error) => self.recover(&error).await?,
            },
        }
        Ok(())
    }

    fn take(&mut self, token: Token) {
        self.failures = 0;
        self.tried.clear();
        if let (None, Some(at)) = (self.first, self.dispatched) {
            let first = at.elapsed();
            self.first = Some(first);
            if let Some(run) = &self.run {
                self.gate.learn(&run.endpoint.name, &self.call, first);
            }
        }
        self.finished |= token.finish.is_some();
        if let (Some(usage), Some(run)) = (token.usage, &self.run) {
            self.usage = Usage {
                prompt_tokens: usage.prompt_tokens.saturating_sub(run.base),
                ..usage
            };
        }
        self.usage.completion_tokens = token.position;
        self.text.push(token.text.clone());
        if token.position > self.shown {
            self.shown = token.position;
            let _ = self.out.send(RelayItem::Token(token));
        }
    }

    /// Sends the tokens that another gate had and the caller has not.
    fn pass_on_known(&mut self) {
        if let Some(token) = self.token() {
            let _ = self.out.send(RelayItem::Opened(token));
        }
        for (position, text) in self.text.after(self.shown) {
            self.shown = position;
            let _ = self.out.send(RelayItem::Token(Token {
                position,
                text,
                finish: None,
                usage: None,
            }));
        }
    }

    /// Goes on after a failure of the current stream.
    async fn recover(&mut self, error: &AttemptError) -> Result<()> {
        let Some(stream) = self.stream.take() else {
            return Ok(());
        };
        let endpoint = stream.run.endpoint.clone();
        drop(stream);
        tracing::debug!(%error, endpoint = %endpoint.name, "stream broke");
        self.record("stream.broken", &endpoint);
        if matches!(error, AttemptError::Crossed) {
            self.gate.counters.add(Count::Crossed, 1);
        }
        self.failures += 1;
        if self.failures == 1 {
            self.reopen().await;
        } else {
            self.judge_fault(&endpoint, SampleOutcome::Failed);
            self.tried.push(endpoint.name);
        }
        Ok(())
    }

    pub(crate) fn resume_token(&self) -> Option<ResumeToken> {
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        Some(ResumeToken {
            request: self.call.id,
            customer: self.call.customer.clone(),
            service: self.call.service.name.clone(),
            digest: self.wanted.digest(),
            deadline: self.gate.kernel.clock.now().plus(left),
            run: self.run.clone()?,
        })
    }

    pub(crate) fn token(&self) -> Option<String> {
        let token = self.resume_token()?;
        Some(token.seal(&self.gate.key))
    }

    /// Records the outcome of the whole answer.
    fn judge(&self, outcome: SampleOutcome) {
        if let Some(run) = &self.run {
            self.judge_fault(&run.endpoint, outcome);
        }
    }

    /// Records an outcome, unless a reclaim of the endpoint explains it.
    pub(crate) fn judge_fault(&self, endpoint: &Endpoint, outcome: SampleOutcome) {
        if outcome == SampleOutcome::Failed && self.gate.leaving(endpoint).is_some() {
            return;
        }
        if outcome == SampleOutcome::Ok {
            self.gate.crashes.answers(&endpoint.name);
        }
        let first = self.first.unwrap_or_default();
        self.gate
            .evidence
            .record_call(&self.call, &endpoint.version, outcome, first);
    }

    /// Records what a failed attempt says of the version and of the request.
    pub(crate) async fn blame(&self, endpoint: &Endpoint, error: &AttemptError) {
        match error {
            AttemptError::Stale | AttemptError::Unsent(_) => {}
            AttemptError::Status(429 | 503) => self.gate.limits.update(&endpoint.name, |limit| {
                limit.refused(Instant::now());
            }),
            AttemptError::Crossed => self.gate.counters.add(Count::Crossed, 1),
            AttemptError::MaybeSent(_) => {
                crash::observe(&self.gate, &self.call, endpoint).await;
            }
            AttemptError::Silent | AttemptError::Truncated(_) | AttemptError::Status(_) => {
                self.judge_fault(endpoint, SampleOutcome::Failed);
            }
        }
    }

    pub(crate) fn record(&self, what: &str, endpoint: &Endpoint) {
        self.gate.kernel.events.record(
            what,
            &[
                ("request", &self.call.id),
                ("endpoint", &endpoint.name),
                ("version", &endpoint.version),
            ],
        );
    }
}
