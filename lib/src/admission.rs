//! Decides whether and when a request may be dispatched.

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
use crate::Result;
use crate::ServiceName;
use crate::Waiting;
use crate::call::Call;
use crate::router;

/// Weight of a new reading in the learnt speed.
const LEARN_WEIGHT: f64 = 0.1;

/// Shortest time that a request is taken to run.
const MIN_RUN: Duration = Duration::from_millis(1);

/// Longest wait that is predicted.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Requests of all services, waiting and admitted.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    services: Mutex<IndexMap<ServiceName, ServiceLine>>,
}

#[derive(Debug)]
struct ServiceLine {
    queue: FairQueue<oneshot::Sender<Permit>>,
    running: usize,
    /// Cost done per second by one request in progress, once known.
    speed: Option<f64>,
}

/// Allows a request to be in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
    service: ServiceName,
    cost: f64,
    since: Instant,
    is_finished: bool,
}

/// How an admission ended.
#[derive(Debug)]
pub(crate) enum Admitted {
    /// The request may be dispatched.
    Now(Permit),
    /// The gate's machine came under notice while the request waited.
    Leaving,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.admission.release(self);
    }
}

/// Waits until a request of so much cost may be dispatched.
///
/// # Errors
///
/// Fails with [`ErrorKind::Overloaded`] at once when too many requests are in progress or the
/// answer would come after the deadline; the error tells when to come back.
pub(crate) async fn admit(gate: &Arc<Gate>, call: &Call, cost: f64) -> Result<Admitted> {
    let permit = match gate.admission.enter(gate, call, cost)? {
        Entered::Now(permit) => return Ok(Admitted::Now(permit)),
        Entered::Wait(permit) => permit,
    };
    let mut notice = gate.notice.subscribe();
    tokio::select! {
        permit = permit => permit
            .map(Admitted::Now)
            .map_err(|_closed| Error::new(ErrorKind::Internal, "the queue was dropped")),
        _ = notice.wait_for(Option::is_some) => Ok(Admitted::Leaving),
        () = tokio::time::sleep_until(call.deadline) => Err(Error::new(
            ErrorKind::DeadlinePassed,
            "the deadline passed while the request waited",
        )),
    }
}

enum Entered {
    Now(Permit),
    Wait(oneshot::Receiver<Permit>),
}

impl Admission {
    fn enter(&self, gate: &Arc<Gate>, call: &Call, cost: f64) -> Result<Entered> {
        let capacity = capacity(gate, &call.service.name);
        let policy = gate.settings.routing.queue;
        let mut services = self.services.lock();
        let total: usize = services.values().map(|l| l.running + l.queue.len()).sum();
        let line = services
            .entry(call.service.name.clone())
            .or_insert_with(|| ServiceLine::new(policy));
        if total >= gate.settings.limits.requests {
            let wait = line.wait_for(call, cost, capacity);
            let detail = "this gate has too many requests in progress";
            return Err(overloaded(detail, wait.unwrap_or_default()));
        }
        // Without any endpoint the router gives the answer.
        if line.queue.is_empty() && line.running < capacity || capacity == 0 {
            line.running += 1;
            return Ok(Entered::Now(Permit::new(gate, &call.service.name, cost)));
        }
        let wait = line.wait_for(call, cost, capacity);
        let left = call.deadline.saturating_duration_since(Instant::now());
        let run = line.run_time(cost).unwrap_or_default();
        if let Some(wait) = wait.filter(|w| *w + run >= left) {
            let detail = "the answer would come after the deadline";
            return Err(overloaded(detail, wait));
        }
        let (sender, receiver) = oneshot::channel();
        let waiting = Waiting {
            customer: call.customer.clone(),
            weight: weight(gate, call),
            priority: call.priority(),
            cost,
        };
        line.queue.push(&waiting, sender);
        Ok(Entered::Wait(receiver))
    }

    /// Ends a request and lets waiting ones go on.
    fn release(&self, permit: &Permit) {
        let capacity = capacity(&permit.gate, &permit.service);
        let mut gone = Vec::new();
        let mut services = self.services.lock();
        let Some(line) = services.get_mut(&permit.service) else {
            return;
        };
        line.running = line.running.saturating_sub(1);
        if permit.is_finished {
            line.learn(permit);
        }
        while line.running < capacity.max(1) {
            let Some(sender) = line.queue.pop() else {
                break;
            };
            if sender.is_closed() {
                continue;
            }
            line.running += 1;
            let next = Permit::new(&permit.gate, &permit.service, permit.cost);
            gone.extend(sender.send(next).err());
        }
        // A permit that its request no longer waited for is released in its turn.
        drop(services);
        drop(gone);
    }
}

impl ServiceLine {
    fn new(policy: QueuePolicy) -> Self {
        Self {
            queue: FairQueue::new(policy),
            running: 0,
            speed: None,
        }
    }

    /// Returns the time that a request waits: until the queue ahead of it has been taken, and
    /// then for one request in progress, taken to be as large, to end.
    fn wait_for(&self, call: &Call, cost: f64, capacity: usize) -> Option<Duration> {
        let ahead = self.queue.cost_ahead(call.priority()) + cost;
        self.run_time(ahead / capacity.max(1) as f64)
    }

    /// Returns the time that a request of so much cost runs.
    fn run_time(&self, cost: f64) -> Option<Duration> {
        let seconds = (cost / self.speed?).min(MAX_WAIT.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    fn learn(&mut self, permit: &Permit) {
        let took = permit.since.elapsed().max(MIN_RUN).as_secs_f64();
        let reading = permit.cost / took;
        let speed = self.speed.get_or_insert(reading);
        *speed += (reading - *speed) * LEARN_WEIGHT;
    }
}

impl Permit {
    fn new(gate: &Arc<Gate>, service: &ServiceName, cost: f64) -> Self {
        Self {
            gate: Arc::clone(gate),
            service: service.clone(),
            cost,
            since: Instant::now(),
            is_finished: false,
        }
    }

    /// Ends the request, whose answer is complete, so that its time counts as usual.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
    }
}

/// Returns the requests that the service's endpoints take well, together.
fn capacity(gate: &Gate, service: &ServiceName) -> usize {
    let Some(table) = gate.table() else {
        return 0;
    };
    router::served(&table, service)
        .iter()
        .map(|e| gate.limits.of(&e.name))
        .sum()
}

fn weight(gate: &Gate, call: &Call) -> u32 {
    let table = gate.table();
    let customer = table
        .as_ref()
        .and_then(|t| t.config.customers.get(&call.customer));
    customer.map_or(1, |c| c.value.weight)
}

fn overloaded(detail: &str, wait: Duration) -> Error {
    Error::new(ErrorKind::Overloaded, detail).with_retry(wait)
}
