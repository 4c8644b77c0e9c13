//! Sends one request: sends it to an endpoint, and retries or refuses by the outcome.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::Branch;
use crate::EndpointClient;
use crate::EndpointKey;
use crate::EndpointResponse;
use crate::EntryName;
use crate::FULL_SHARE_PERMILLE;
use crate::Node;
use crate::Refusal;
use crate::RefusalKind;
use crate::RouteKind;
use crate::SendFailure;
use crate::ServiceName;
use crate::admitted_request::AdmittedRequest;
use crate::forwarding::forward::MAX_UNREACHED_ENDPOINTS;
use crate::forwarding::forward::SendPath;
use crate::forwarding::forward::SentBody;
use crate::placement::reservation::Reservation;
use crate::send_outcome::notice_of;
use crate::send_outcome::record_send_failure;
use crate::shutdown::time_left_in_shutdown;

/// Number of endpoints tried, including unreachable ones, after which a request that could not be
/// written is refused.
const MAX_TRIED_ENDPOINTS: usize = 5;

/// Minimum time left until the deadline for a send to be attempted.
pub(crate) const MIN_SEND_TIME: Duration = Duration::from_millis(20);

/// Minimum Retry-After when no endpoint is left to try, and Retry-After when
/// [`MAX_TRIED_ENDPOINTS`] is reached.
pub(crate) const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Minimum Retry-After when all endpoints are full, and when an endpoint rejected the request and no
/// further retry is allowed.
pub(crate) const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Response of an endpoint, received from it or through a peer.
pub(crate) type SentResponse<E> = EndpointResponse<SentBody<<E as EndpointClient>::Body>>;

/// Response to a request, with the reservation at the endpoint unless a peer has passed it on, or the
/// final refusal.
pub(crate) type RunOutcome<E> = Result<(SentResponse<E>, Option<Reservation>), Refusal>;

/// State of one request across its sends.
#[derive(Debug)]
pub(crate) struct Attempts {
    pub(crate) request: AdmittedRequest,
    pub(crate) service: ServiceName,
    pub(crate) tried: Vec<EndpointKey>,
    /// Number of endpoints that the request could not be written to.
    pub(crate) unreached: usize,
    /// Peers through which the request was sent.
    pub(crate) tried_peers: Vec<EntryName>,
    pub(crate) sends: u32,
    /// Whether the request is being sent, to an endpoint or through a peer, so that it may run.
    pub(crate) is_sending: bool,
    /// Random position in `0..FULL_SHARE_PERMILLE` that decides whether the request goes to a new
    /// version during a rollout.
    pub(crate) split_point: u32,
    pub(crate) may_have_run: bool,
    pub(crate) last_event: Option<u64>,
}

impl Attempts {
    /// Starts with a service drawn from the route's branches by weight.
    pub(crate) fn new(request: AdmittedRequest) -> Self {
        let last_event = request.call.last_event;
        Self {
            service: choose_branch(&request.route.branches),
            request,
            tried: Vec::new(),
            unreached: 0,
            tried_peers: Vec::new(),
            sends: 0,
            is_sending: false,
            split_point: rand::rng().random_range(0..FULL_SHARE_PERMILLE),
            may_have_run: false,
            last_event,
        }
    }

    pub(crate) fn kind(&self) -> RouteKind {
        self.request.route.kind
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Continues the attempts that a peer has begun.
    pub(crate) fn resume(request: AdmittedRequest, service: &ServiceName, sends: u32) -> Self {
        let mut attempts = Self::new(request);
        let branches = &attempts.request.route.branches;
        if branches.iter().any(|b| b.service == *service) {
            attempts.service = service.clone();
        }
        attempts.sends = sends;
        attempts
    }

    pub(crate) const fn is_forwarded(&self) -> bool {
        self.request.is_forwarded
    }

    /// Sends the request until an endpoint responds or no retry is allowed; through a peer while this
    /// entry does not reach the endpoints.
    ///
    /// # Errors
    ///
    /// Returns the final refusal when no endpoint responds.
    pub(crate) async fn run<E: EndpointClient>(
        &mut self,
        node: &Arc<Node>,
        client: &Arc<E>,
    ) -> RunOutcome<E> {
        loop {
            if let SendPath::ThroughPeer(peer) = self.choose_path(node)? {
                if let Some(response) = self.forward(node, peer).await? {
                    return Ok((response, None));
                }
                continue;
            }
            let reservation = self.acquire_reservation(node).await?;
            let sent = self.send(node, client, &reservation).await;
            if let Some(notice) = notice_of(&sent) {
                reservation.apply_notice(notice, Instant::now());
            }
            match sent {
                Ok(response) if self.is_retryable_failure(&response) && self.take_retry(node) => {
                    reservation.record_failed_response();
                    self.may_have_run = true;
                }
                Ok(response) => {
                    let response = response.map_body(SentBody::Direct);
                    return Ok((response, Some(reservation)));
                }
                Err(failure) => {
                    record_send_failure(node, &self.request, self.sends, &reservation, &failure);
                    drop(reservation);
                    self.handle_failure(node, &failure)?;
                }
            }
        }
    }

    /// Returns whether a response is a server error that another endpoint may avoid.
    fn is_retryable_failure<B>(&self, response: &EndpointResponse<B>) -> bool {
        response.status >= 500 && self.kind().is_retryable()
    }

    /// Takes a retry from the budget; returns whether the request may be sent again.
    pub(crate) fn take_retry(&self, node: &Node) -> bool {
        let now = Instant::now();
        let entries = node.entry_count();
        let take = || node.retries.lock().try_take(&self.service, entries, now);
        self.allows_retry(node, now) && take()
    }

    /// Returns whether [`Attempts::take_retry`] would take a retry.
    pub(crate) fn has_retry(&self, node: &Node) -> bool {
        let now = Instant::now();
        let entries = node.entry_count();
        let has_left = || node.retries.lock().has_left(&self.service, entries, now);
        self.allows_retry(node, now) && has_left()
    }

    /// Returns whether the request may be sent again, ignoring the retry budget.
    fn allows_retry(&self, node: &Node, now: Instant) -> bool {
        let left = self.request.deadline.saturating_duration_since(now);
        let needed = self.shortest_duration(node).max(MIN_SEND_TIME * 2);
        let suspicion = || node.crash_suspicion(self.request.fingerprint, &self.request.call);
        self.sends < self.request.route.attempts
            && left > needed
            && self.fits_shutdown(node)
            && suspicion().is_none()
    }

    /// Returns a duration that the request takes at least; zero for the rest of a stream, whose
    /// length is unknown.
    fn shortest_duration(&self, node: &Node) -> Duration {
        if self.last_event.is_some() {
            return Duration::ZERO;
        }
        let tokens = self.request.call.prompt.as_ref().map(|p| p.max_output);
        let route = &self.request.route.name;
        let durations = node.durations.lock();
        let estimator = durations.get(&self.service);
        estimator.map_or(Duration::ZERO, |e| e.lower_bound(route, tokens))
    }

    /// Returns whether another send is expected to end before a shutdown in progress does.
    fn fits_shutdown(&self, node: &Node) -> bool {
        let request = &self.request;
        node.shutdown_started().is_none_or(|started| {
            let left = time_left_in_shutdown(node.settings.grace, started.elapsed());
            node.expected_duration(&request.route, &request.call) <= left
        })
    }

    /// Returns whether the request is of a kind that may be sent again, and has attempts left.
    pub(crate) fn can_resend(&self) -> bool {
        self.kind().is_retryable() && self.sends < self.request.route.attempts
    }

    /// Records a complete response by its status.
    pub(crate) fn record_response(
        &self,
        node: &Node,
        reservation: &Reservation,
        status: u16,
        states_end: bool,
    ) {
        if status >= 500 {
            reservation.record_failed_response();
            return;
        }
        reservation.record_success(Instant::now());
        if (200..300).contains(&status) {
            self.record_completed(node, reservation, states_end);
        }
    }

    /// Records that an endpoint ran the request to its end, unless the response ended with its
    /// connection, which may also be how the endpoint crashed.
    pub(crate) fn record_completed(
        &self,
        node: &Node,
        reservation: &Reservation,
        states_end: bool,
    ) {
        let now = Instant::now();
        let sent = reservation.started;
        let process = reservation.process();
        let mut tracker = node.part_crashes.lock();
        for part in self.request.call.shared_parts() {
            if states_end {
                tracker.record_completed(part, sent, now);
            } else {
                tracker.record_ended(part, process, sent, now);
            }
        }
    }

    /// Records that an endpoint failed after it may have run the request.
    pub(crate) fn record_stream_failure(
        &self,
        node: &Node,
        reservation: &Reservation,
        failure: &SendFailure,
    ) {
        record_send_failure(node, &self.request, self.sends, reservation, failure);
    }

    /// Decides whether to retry after a failed send.
    ///
    /// # Errors
    ///
    /// Returns the final refusal when the request is not sent again.
    pub(crate) fn handle_failure(
        &mut self,
        node: &Node,
        failure: &SendFailure,
    ) -> Result<(), Refusal> {
        match failure {
            SendFailure::NotWritten(_) => {
                // No endpoint received the request, so this counts neither as an attempt nor as
                // a retry.
                self.sends -= 1;
                self.unreached += 1;
                let max_unreached = if self.is_forwarded() {
                    MAX_UNREACHED_ENDPOINTS
                } else {
                    MAX_TRIED_ENDPOINTS
                };
                if self.unreached >= max_unreached || self.tried.len() >= MAX_TRIED_ENDPOINTS {
                    let after = Some(NO_ENDPOINT_RETRY_AFTER);
                    return Err(self.final_refusal(RefusalKind::NoEndpoint, after));
                }
            }
            SendFailure::Rejected { misdirected, .. } => {
                if *misdirected {
                    // The endpoint that the request was sent to has not received it, so this does
                    // not count as an attempt.
                    self.sends -= 1;
                }
                if !self.take_retry(node) {
                    let after = self.time_until_available(node).max(OVERLOAD_RETRY_AFTER);
                    return Err(self.final_refusal(RefusalKind::Rejected, Some(after)));
                }
            }
            SendFailure::MayHaveRun(_) => {
                self.may_have_run = true;
                if !self.kind().is_retryable() || !self.take_retry(node) {
                    return Err(self.final_refusal(RefusalKind::Broken, None));
                }
            }
        }
        Ok(())
    }

    /// Returns the refusal of a request that shutdown ends; `after` applies if it cannot have run.
    pub(crate) fn shutdown_refusal(&mut self, after: Duration) -> Refusal {
        self.may_have_run |= self.is_sending;
        self.final_refusal(RefusalKind::Stopping, Some(after))
    }

    /// Returns `kind`, or a refusal that does not rule out execution if the request may have run.
    pub(crate) fn final_refusal(&self, kind: RefusalKind, after: Option<Duration>) -> Refusal {
        if !self.may_have_run {
            return Refusal {
                kind,
                retry_after: after,
            };
        }
        let late = Instant::now() + MIN_SEND_TIME >= self.request.deadline;
        Refusal::new(if late {
            RefusalKind::TimedOut
        } else {
            RefusalKind::Broken
        })
    }
}

fn choose_branch(branches: &[Branch]) -> ServiceName {
    let sum: u32 = branches.iter().map(|b| b.weight).sum();
    let mut draw = rand::rng().random_range(0..sum.max(1));
    for branch in branches {
        if draw < branch.weight {
            return branch.service.clone();
        }
        draw -= branch.weight;
    }
    branches[0].service.clone()
}
