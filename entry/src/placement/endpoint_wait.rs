//! Waits for an endpoint that takes a request, or refuses the request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::Choice;
use crate::Node;
use crate::RateLimit;
use crate::Refusal;
use crate::RefusalKind;
use crate::attempt::Attempts;
use crate::attempt::MIN_SEND_TIME;
use crate::attempt::NO_ENDPOINT_RETRY_AFTER;
use crate::attempt::OVERLOAD_RETRY_AFTER;
use crate::log_limit;
use crate::placement::reservation::Reservation;

/// A request waits for a free slot for at most its objective divided by this.
const MAX_WAIT_DIVISOR: u32 = 8;

impl Attempts {
    /// Reserves a slot at the best endpoint, with a permit if the endpoint has stated a rate limit.
    ///
    /// The first send waits briefly while all endpoints are full; a retry does not wait.
    pub(crate) async fn acquire_reservation(
        &mut self,
        node: &Arc<Node>,
    ) -> Result<Reservation, Refusal> {
        let wait_deadline = Instant::now() + self.request.route.objective / MAX_WAIT_DIVISOR;
        loop {
            let now = Instant::now();
            if self.request.deadline.saturating_duration_since(now) < MIN_SEND_TIME {
                return Err(self.final_refusal(RefusalKind::Expired, None));
            }
            let request = &self.request;
            if let Some(suspicion) = node.crash_suspicion(request.fingerprint, &request.call) {
                let after = Some(suspicion.retry_after());
                return Err(self.final_refusal(RefusalKind::Crashing, after));
            }
            let freed = node.slot_freed.notified();
            match self.choose_by_rollout(node, now) {
                Ok(placement) => {
                    if let Some(reservation) = self.reserve_with_permit(node, &placement).await {
                        self.log_placement(&reservation);
                        return Ok(reservation);
                    }
                }
                Err(Choice::Unavailable { wait, limited }) => {
                    // Nothing but time helps: waits only if that is soon enough.
                    if self.sends > 0 || now + wait > wait_deadline {
                        return Err(self.unavailable_refusal(node, wait, limited));
                    }
                    tokio::time::sleep(wait).await;
                }
                Err(Choice::Full(wait)) if now >= wait_deadline || self.sends > 0 => {
                    self.log_unplaced(node, Some(wait));
                    let after = wait.max(OVERLOAD_RETRY_AFTER);
                    return Err(self.final_refusal(RefusalKind::Overloaded, Some(after)));
                }
                Err(Choice::Full(_)) => {
                    // Tries again when a slot is freed; refuses in the next pass if none was freed
                    // in time.
                    let _ = tokio::time::timeout_at(wait_deadline, freed).await;
                }
                Err(_) => {
                    self.log_unplaced(node, None);
                    let after = self.time_until_available(node).max(NO_ENDPOINT_RETRY_AFTER);
                    return Err(self.final_refusal(RefusalKind::NoEndpoint, Some(after)));
                }
            }
        }
    }

    /// Returns the refusal of a request that no endpoint takes for the time `wait`, for a rate limit
    /// if `limited`.
    fn unavailable_refusal(&self, node: &Node, wait: Duration, limited: bool) -> Refusal {
        self.log_unplaced(node, Some(wait));
        if limited {
            self.final_refusal(RefusalKind::Limited, Some(wait))
        } else {
            let after = wait.max(OVERLOAD_RETRY_AFTER);
            self.final_refusal(RefusalKind::Overloaded, Some(after))
        }
    }

    /// Logs the chosen endpoint; first sends are rate-limited, retries are always logged.
    fn log_placement(&self, reservation: &Reservation) {
        if self.sends == 0 && !log_limit::allows("placed") {
            return;
        }
        tracing::info!(
            event = "placed",
            id = self.request.call.id,
            service = %self.service,
            endpoint = %reservation.endpoint,
            side = ?reservation.side,
            prefill = reservation.occupancy.prefill,
            limit = reservation.limit().map(RateLimit::per_second),
            sends = self.sends,
            last_event = self.last_event,
            config = self.request.config.version,
        );
    }

    /// Logs that no endpoint was chosen, with counts of the candidates; `wait` is the shortest
    /// expected wait for a slot.
    fn log_unplaced(&self, node: &Node, wait: Option<Duration>) {
        let now = Instant::now();
        let endpoints = node.endpoints.lock();
        let candidates = || endpoints.candidates(&self.service, now);
        let running = candidates().map(|(_, e)| u64::from(e.load.running()));
        let slots = candidates().map(|(_, e)| u64::from(e.record.slots));
        tracing::info!(
            event = "unplaced",
            id = self.request.call.id,
            service = %self.service,
            endpoints = candidates().count(),
            avoided = candidates().filter(|(_, e)| e.load.is_avoided(now)).count(),
            held = candidates().filter(|(_, e)| !e.load.hold_left(now).is_zero()).count(),
            running = running.sum::<u64>(),
            slots = slots.sum::<u64>(),
            sends = self.sends,
            wait_ms = wait.map(crate::millis),
            left_ms = crate::millis(self.request.deadline.saturating_duration_since(now)),
            config = self.request.config.version,
        );
    }

    /// Returns the time until an endpoint of the service takes requests again; zero if one does or
    /// none is known.
    pub(crate) fn time_until_available(&self, node: &Node) -> Duration {
        let now = Instant::now();
        let endpoints = node.endpoints.lock();
        let candidates = endpoints.candidates(&self.service, now);
        let waits = candidates.map(|(_, e)| e.load.unavailable_left(now));
        waits.min().unwrap_or_default()
    }
}
