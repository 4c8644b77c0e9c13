//! What becomes of a stream whose endpoint, which may be sound, sends nothing for a while.

use std::time::Duration;

use tokio::time::Instant;

use crate::EndpointClient;
use crate::EventSplitter;
use crate::Interruption;
use crate::Node;
use crate::SendFailure;
use crate::admitted_request::AdmittedRequest;
use crate::attempt::Attempts;
use crate::attempt::RunOutcome;
use crate::log_limit;
use crate::send::RETRY_CHECK_INTERVAL;
use crate::send_outcome::record_send_failure;
use crate::streams::relay::EventRelay;
use crate::streams::relay::StreamBroken;
use crate::streams::stream_source::ReadOutcome;
use crate::streams::stream_source::StreamSource;

/// Multiple of the route's maximum pause after which a resumable stream is resumed elsewhere.
const RESUME_PAUSE_FACTOR: u32 = 3;

/// Minimum time without an event after which a stream counts as broken, as its caller is assumed to
/// have abandoned it; the greatest of this and the following two multiples applies.
const MIN_ABANDON_TIMEOUT: Duration = Duration::from_secs(2);

/// Multiple of the route's maximum pause used for that time.
const ABANDON_PAUSE_FACTOR: u32 = 8;

/// Multiple of the route's objective used for that time.
const ABANDON_OBJECTIVE_FACTOR: u32 = 4;

/// Maximum time for which a silent source is kept while another endpoint is asked to go on with the
/// stream; the request must not run at both for longer.
const MAX_HANDOVER: Duration = Duration::from_millis(200);

/// Reason for which a stream without events ends.
const NO_EVENT: &str = "no event within the timeout";

/// Outcome of an attempt to have another endpoint go on with the stream of a silent one.
enum Handover<E: EndpointClient> {
    /// The silent source goes on.
    Awake(ReadOutcome),
    /// Another endpoint has responded, or none takes the request.
    Settled(Box<RunOutcome<E>>),
}

impl<E: EndpointClient> EventRelay<E> {
    /// Decides what becomes of a stream that is silent: another endpoint goes on with it if the request
    /// may be sent again; otherwise it is waited for.
    ///
    /// Returns what the source has sent meanwhile.
    ///
    /// # Errors
    ///
    /// Returns [`StreamBroken`] when nothing is left to wait for.
    pub(crate) async fn handle_silence(&mut self) -> Result<ReadOutcome, StreamBroken> {
        let now = Instant::now();
        let is_over = now >= self.attempts.request.deadline;
        let silent = self.wait.map_or(Duration::ZERO, |w| now - w.since);
        // A shutdown waits: the silence of an endpoint is no reason to cut a stream that nobody can
        // go on with.
        let is_abandoned =
            silent >= abandon_timeout(&self.attempts) && self.node.shutdown_started().is_none();
        let may_resume = !is_over && self.attempts.can_resend();
        let is_resumed = may_resume && self.attempts.take_retry(&self.node);
        self.log_silence(silent, is_resumed);
        self.set_next_check(now, is_resumed);
        if is_resumed {
            let outcome = self.hand_over().await?;
            if !matches!(outcome, ReadOutcome::Silent) || !is_abandoned {
                return Ok(outcome);
            }
        }
        if self.wait.is_some() && (is_over || is_abandoned) {
            self.give_up_source();
            return Err(StreamBroken(NO_EVENT.to_owned()));
        }
        Ok(ReadOutcome::Silent)
    }

    /// Sets when the stream is next considered if its silence lasts; another endpoint is not asked
    /// again at once.
    fn set_next_check(&mut self, now: Instant, is_resumed: bool) {
        let pause = if is_resumed {
            first_check(&self.attempts, false).max(RETRY_CHECK_INTERVAL)
        } else {
            RETRY_CHECK_INTERVAL
        };
        let abandon = abandon_timeout(&self.attempts);
        if let Some(wait) = &mut self.wait {
            let abandoned = Some(wait.since + abandon).filter(|at| *at > now);
            let next = now + pause;
            wait.next_check = abandoned.map_or(next, |at| at.min(next));
        }
    }

    /// Asks another endpoint to go on with the stream, and leaves the silent source for it once it has
    /// accepted, or after [`MAX_HANDOVER`].
    ///
    /// Returns what the source has sent meanwhile.
    ///
    /// # Errors
    ///
    /// Returns [`StreamBroken`] when no endpoint goes on and the source was left.
    async fn hand_over(&mut self) -> Result<ReadOutcome, StreamBroken> {
        self.attempts.may_have_run = true;
        let request = self.attempts.request.clone();
        let sends = self.attempts.sends;
        let outcome = {
            let run = self.attempts.run(&self.node, &self.client);
            tokio::pin!(run);
            let early: Option<Handover<E>> = tokio::select! {
                biased;
                outcome = read_source(&mut self.source, &mut self.splitter, request.deadline) => {
                    Some(Handover::Awake(outcome))
                }
                outcome = &mut run => Some(Handover::Settled(Box::new(outcome))),
                () = tokio::time::sleep(MAX_HANDOVER) => None,
            };
            if let Some(outcome) = early {
                outcome
            } else {
                record_silence(&self.node, &request, sends, self.source.take());
                Handover::Settled(Box::new(run.await))
            }
        };
        let settled = match outcome {
            Handover::Awake(outcome) => return Ok(outcome),
            Handover::Settled(settled) => settled.map_err(|r| StreamBroken(r.kind.to_string())),
        };
        let next = settled.and_then(|(response, reservation)| self.accept(response, reservation));
        match next {
            Ok(next) => {
                record_silence(&self.node, &request, sends, self.source.take());
                self.start_source(next);
                Ok(ReadOutcome::Silent)
            }
            Err(_) if self.source.is_some() => Ok(ReadOutcome::Silent),
            Err(broken) => Err(broken),
        }
    }

    fn give_up_source(&mut self) {
        let sends = self.attempts.sends;
        record_silence(
            &self.node,
            &self.attempts.request,
            sends,
            self.source.take(),
        );
    }

    fn log_silence(&self, silent: Duration, is_resumed: bool) {
        if !is_resumed && !log_limit::allows("stream_silent") {
            return;
        }
        let reservation = self.source.as_ref().and_then(|s| s.reservation.as_ref());
        tracing::info!(
            event = "stream_silent",
            id = self.attempts.request.call.id,
            endpoint = reservation.map(|r| r.endpoint.as_str()),
            last_event = self.attempts.last_event,
            silent_ms = crate::millis(silent),
            sends = self.attempts.sends,
            resumed = is_resumed,
        );
    }
}

/// Reads from a source until its deadline; waits without end if there is none.
async fn read_source<E: EndpointClient>(
    source: &mut Option<StreamSource<E>>,
    splitter: &mut EventSplitter,
    deadline: Instant,
) -> ReadOutcome {
    match source {
        Some(source) => source.read(splitter, deadline).await,
        None => std::future::pending().await,
    }
}

/// Records that a source was given up because it sent nothing, and drops it.
fn record_silence<E: EndpointClient>(
    node: &Node,
    request: &AdmittedRequest,
    sends: u32,
    source: Option<StreamSource<E>>,
) {
    if let Some(reservation) = source.and_then(|s| s.reservation) {
        let interruption = Interruption::TimedOut(NO_EVENT.to_owned());
        let failure = SendFailure::MayHaveRun(interruption);
        record_send_failure(node, request, sends, &reservation, &failure);
    }
}

/// Returns the time without an event after which the stream counts as broken.
fn abandon_timeout(attempts: &Attempts) -> Duration {
    let route = &attempts.request.route;
    MIN_ABANDON_TIMEOUT
        .max(route.objective * ABANDON_OBJECTIVE_FACTOR)
        .max(route.max_pause * ABANDON_PAUSE_FACTOR)
}

/// Returns the time without an event after which the stream may be resumed at another endpoint; a peer
/// that passes it on resumes it itself.
pub(crate) fn first_check(attempts: &Attempts, is_forwarded: bool) -> Duration {
    let abandon = abandon_timeout(attempts);
    if attempts.can_resend() && !is_forwarded {
        abandon.min(attempts.request.route.max_pause * RESUME_PAUSE_FACTOR)
    } else {
        abandon
    }
}
