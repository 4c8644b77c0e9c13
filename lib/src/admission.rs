//! Admission control: dispatches, queues or rejects requests by concurrency and deadline.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::Error;
use crate::ErrorKind;
use crate::FairQueue;
use crate::Gate;
use crate::QueuePolicy;
use crate::QueuedRequest;
use crate::Result;
use crate::ServiceName;
use crate::call::Call;
use crate::router;

/// Weight of the newest sample in the moving average of the service rate, 0 to 1.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Minimum run time of a rate sample; keeps the rate of very short requests finite.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// Maximum run or queueing time that an estimate returns.
const MAX_ESTIMATE: Duration = Duration::from_hours(1);

/// Admission control of a gate: queued and running requests by service.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    services: Mutex<IndexMap<ServiceName, ServiceLoad>>,
}

#[derive(Debug)]
struct ServiceLoad {
    queue: FairQueue<oneshot::Sender<Permit>>,
    running: usize,
    /// Moving average of the cost that one running request completes per second; `None` until
    /// the first request has completed.
    cost_rate: Option<f64>,
}

/// Admission of one request; dropping it frees the slot for the next queued request.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
    service: ServiceName,
    cost: f64,
    started_at: Instant,
    is_completed: bool,
}

/// Outcome of [`admit`] for a request that was not rejected.
#[derive(Debug)]
pub(crate) enum AdmissionOutcome {
    /// The request may be dispatched.
    Admitted(Permit),
    /// The request was queued and is not dispatched, because the gate is leaving; see
    /// [`Gate::leave_deadline`].
    Leaving,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.admission.release(self);
    }
}

/// Waits until a request may be dispatched. `cost` is in tokens.
///
/// # Errors
///
/// Fails at once with [`ErrorKind::Overloaded`] and a retry delay when the gate is at its request
/// limit or the estimated completion is past the deadline. Fails with
/// [`ErrorKind::DeadlinePassed`] when the deadline passes while the request is queued.
pub(crate) async fn admit(gate: &Arc<Gate>, call: &Call, cost: f64) -> Result<AdmissionOutcome> {
    let permit = match gate.admission.try_admit(gate, call, cost)? {
        TryAdmitOutcome::Admitted(permit) => return Ok(AdmissionOutcome::Admitted(permit)),
        TryAdmitOutcome::Queued(permit) => permit,
    };
    let mut leave_deadline = gate.leave_deadline.subscribe();
    tokio::select! {
        permit = permit => permit
            .map(AdmissionOutcome::Admitted)
            .map_err(|_closed| Error::new(ErrorKind::Internal, "the queue was dropped")),
        _ = leave_deadline.wait_for(Option::is_some) => Ok(AdmissionOutcome::Leaving),
        () = tokio::time::sleep_until(call.deadline) => Err(Error::new(
            ErrorKind::DeadlinePassed,
            "the deadline passed while the request waited",
        )),
    }
}

/// Outcome of [`Admission::try_admit`].
enum TryAdmitOutcome {
    Admitted(Permit),
    Queued(oneshot::Receiver<Permit>),
}

impl Admission {
    /// Admits a request at once, queues it, or rejects it as overloaded.
    fn try_admit(&self, gate: &Arc<Gate>, call: &Call, cost: f64) -> Result<TryAdmitOutcome> {
        let capacity = service_capacity(gate, &call.service.name);
        let policy = gate.settings.routing.queue;
        let mut services = self.services.lock();
        let total: usize = services.values().map(|l| l.running + l.queue.len()).sum();
        let load = services
            .entry(call.service.name.clone())
            .or_insert_with(|| ServiceLoad::new(policy));
        if total >= gate.settings.limits.requests {
            let wait = load.estimate_wait(call, cost, capacity);
            let detail = "this gate has too many requests in progress";
            return Err(overloaded(detail, wait.unwrap_or_default()));
        }
        // Without an available endpoint the request is admitted, so that the router reports the
        // error.
        if load.queue.is_empty() && load.running < capacity || capacity == 0 {
            load.running += 1;
            return Ok(TryAdmitOutcome::Admitted(Permit::new(
                gate,
                &call.service.name,
                cost,
            )));
        }
        let wait = load.estimate_wait(call, cost, capacity);
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let run = load.estimate_run(cost).unwrap_or_default();
        if let Some(wait) = wait.filter(|w| *w + run >= remaining) {
            let detail = "the answer would come after the deadline";
            return Err(overloaded(detail, wait));
        }
        let (sender, receiver) = oneshot::channel();
        let request = QueuedRequest {
            customer: call.customer.clone(),
            weight: customer_weight(gate, call),
            priority: call.priority(),
            cost,
        };
        load.queue.push(&request, sender);
        Ok(TryAdmitOutcome::Queued(receiver))
    }

    /// Releases a permit and admits queued requests up to the capacity.
    fn release(&self, permit: &Permit) {
        let capacity = service_capacity(&permit.gate, &permit.service);
        let mut undelivered = Vec::new();
        let mut services = self.services.lock();
        let Some(load) = services.get_mut(&permit.service) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        if permit.is_completed {
            load.record_completion(permit);
        }
        while load.running < capacity.max(1) {
            let Some(sender) = load.queue.pop() else {
                break;
            };
            if sender.is_closed() {
                continue;
            }
            load.running += 1;
            let next = Permit::new(&permit.gate, &permit.service, permit.cost);
            undelivered.extend(sender.send(next).err());
        }
        // Permits whose receiver was dropped meanwhile release themselves when dropped, which
        // takes the lock again.
        drop(services);
        drop(undelivered);
    }
}

impl ServiceLoad {
    fn new(policy: QueuePolicy) -> Self {
        Self {
            queue: FairQueue::new(policy),
            running: 0,
            cost_rate: None,
        }
    }

    /// Estimates the queueing time of a request: the time in which all slots together complete the
    /// cost queued ahead of it and its own cost.
    ///
    /// Returns `None` while the service rate is unknown.
    fn estimate_wait(&self, call: &Call, cost: f64, capacity: usize) -> Option<Duration> {
        let ahead = self.queue.cost_ahead(call.priority()) + cost;
        self.estimate_run(ahead / capacity.max(1) as f64)
    }

    /// Estimates the run time of a request, at most [`MAX_ESTIMATE`].
    fn estimate_run(&self, cost: f64) -> Option<Duration> {
        let seconds = (cost / self.cost_rate?).min(MAX_ESTIMATE.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    /// Adds a completed request to the moving average of the service rate.
    fn record_completion(&mut self, permit: &Permit) {
        let elapsed = permit.started_at.elapsed().max(MIN_RUN_TIME).as_secs_f64();
        let sample = permit.cost / elapsed;
        let cost_rate = self.cost_rate.get_or_insert(sample);
        *cost_rate += (sample - *cost_rate) * SMOOTHING_FACTOR;
    }
}

impl Permit {
    fn new(gate: &Arc<Gate>, service: &ServiceName, cost: f64) -> Self {
        Self {
            gate: Arc::clone(gate),
            service: service.clone(),
            cost,
            started_at: Instant::now(),
            is_completed: false,
        }
    }

    /// Releases the permit of a completed request, whose run time counts as a rate sample.
    pub(crate) fn complete(mut self) {
        self.is_completed = true;
    }
}

/// Returns the sum of the concurrency limits of the service's available endpoints.
fn service_capacity(gate: &Gate, service: &ServiceName) -> usize {
    let Some(table) = gate.table() else {
        return 0;
    };
    router::serving_endpoints(&table, service)
        .iter()
        .map(|e| gate.limits.get(&e.name))
        .sum()
}

/// Returns the fair-queueing weight of the call's customer, 1 when the customer is unknown.
fn customer_weight(gate: &Gate, call: &Call) -> u32 {
    let table = gate.table();
    let customer = table
        .as_ref()
        .and_then(|t| t.config.customers.get(&call.customer));
    customer.map_or(1, |c| c.value.weight)
}

fn overloaded(detail: &str, wait: Duration) -> Error {
    Error::new(ErrorKind::Overloaded, detail).with_retry(wait)
}
