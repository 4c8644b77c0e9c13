//! Sends a request to the endpoint that was reserved for it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::Dispatch;
use crate::EndpointClient;
use crate::EndpointResponse;
use crate::Interruption;
use crate::MAX_IDLE_PER_SERVER;
use crate::Node;
use crate::RouteKind;
use crate::SendFailure;
use crate::attempt::Attempts;
use crate::connections::connection::MAX_NON_RETRYABLE_IDLE_TIME;
use crate::connections::connection::idle_connection_share;
use crate::forwarding::reach_probe::apply_reach_change;
use crate::forwarding::reach_probe::probe_if_doubtful;
use crate::placement::reservation::Reservation;
use crate::prefill_time;
use crate::send_outcome::outcome_name;
use crate::send_outcome::record_reach;

/// Multiple of the objective after which a retryable request is sent to another endpoint.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;

/// Interval at which an entry checks whether a request may be sent elsewhere while its endpoint is
/// silent.
pub(crate) const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time to wait for the head of a resumable stream's response before trying another
/// endpoint.
const MIN_STREAM_HEAD_TIMEOUT: Duration = Duration::from_millis(1500);

impl Attempts {
    /// Sends the request once and waits for the response, or for a stream's head.
    ///
    /// # Errors
    ///
    /// Returns a [`SendFailure`] that tells whether the request may have run.
    pub(crate) async fn send<E: EndpointClient>(
        &mut self,
        node: &Arc<Node>,
        client: &Arc<E>,
        reservation: &Reservation,
    ) -> Result<EndpointResponse<E::Body>, SendFailure> {
        let now = Instant::now();
        self.tried.push(reservation.key);
        self.sends += 1;
        let request = &self.request;
        let left = request.deadline.saturating_duration_since(now);
        let limit = self.attempt_timeout(reservation);
        let dispatch = Dispatch {
            call: &request.call,
            address: reservation.address,
            endpoint: &reservation.endpoint,
            customer: request.customer.as_ref(),
            time_left: left,
            priority: request.call.prompt.as_ref().map(|_| request.priority),
            last_event: self.last_event,
            max_idle: if request.route.kind.is_retryable() {
                Duration::MAX
            } else {
                MAX_NON_RETRYABLE_IDLE_TIME
            },
            max_idle_connections: self.max_idle_connections(node),
            stream: request.route.kind.is_stream(),
        };
        let change = node.reach.lock().record_send(&reservation.endpoint, now);
        apply_reach_change(node, change);
        probe_if_doubtful(node, client);
        // Stays set if shutdown drops the send.
        self.is_sending = true;
        let response = self.wait_for_response(node, client.send(dispatch), limit);
        let response = response.await;
        self.is_sending = false;
        node.metrics.record_send(outcome_name(&response));
        record_reach(node, &reservation.endpoint, &response);
        probe_if_doubtful(node, client);
        response
    }

    /// Waits for the response to a send until the request's deadline; gives the send up after `limit`
    /// if the request may be sent to another endpoint then, or else as soon as it may.
    async fn wait_for_response<B>(
        &self,
        node: &Node,
        sending: impl Future<Output = Result<EndpointResponse<B>, SendFailure>>,
        limit: Duration,
    ) -> Result<EndpointResponse<B>, SendFailure> {
        let started = Instant::now();
        let deadline = self.request.deadline;
        let mut wait = limit;
        tokio::pin!(sending);
        loop {
            let until = Instant::now().checked_add(wait);
            let until = until.map_or(deadline, |until| until.min(deadline));
            if let Ok(response) = tokio::time::timeout_at(until, &mut sending).await {
                return response;
            }
            if Instant::now() >= deadline || self.has_retry(node) {
                let waited = started.elapsed().as_millis();
                let reason = format!("no response within {waited} ms");
                return Err(SendFailure::MayHaveRun(Interruption::TimedOut(reason)));
            }
            wait = RETRY_CHECK_INTERVAL;
        }
    }

    /// Returns how many idle connections this entry may keep to an endpoint of the service.
    fn max_idle_connections(&self, node: &Node) -> usize {
        let services = &self.request.config.services;
        let stated = services.get(&self.service).map(|s| s.max_connections);
        // A service without a number states no limit.
        let stated = stated.filter(|number| *number > 0);
        stated.map_or(MAX_IDLE_PER_SERVER, |number| {
            idle_connection_share(number, node.entry_count())
        })
    }

    /// Returns the time after which this send is given up for another endpoint, if it may be sent to
    /// one; unlimited for the last attempt.
    ///
    /// For a resumable stream, three times the estimated prefill time is added.
    fn attempt_timeout(&self, reservation: &Reservation) -> Duration {
        let route = &self.request.route;
        let last = self.sends >= route.attempts || !route.kind.is_retryable();
        if last {
            return Duration::MAX;
        }
        match route.kind {
            RouteKind::ResumableStream => {
                let prefill = prefill_time(reservation.occupancy.prefill) * 3;
                (route.objective * ATTEMPT_TIMEOUT_FACTOR).max(MIN_STREAM_HEAD_TIMEOUT) + prefill
            }
            _ => route.objective * ATTEMPT_TIMEOUT_FACTOR,
        }
    }
}
