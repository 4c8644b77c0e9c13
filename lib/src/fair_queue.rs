//! Weighted fair queue of requests, by priority and customer.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::Priority;

/// One in this many dequeues takes a deferred request first, so that deferred requests are not
/// starved.
const DEFERRED_POP_INTERVAL: u32 = 10;

/// Order in which queued requests are dequeued.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// In order of arrival.
    Fifo,
    /// Interactive requests first; within a priority, fair between customers by weight and cost.
    #[default]
    Fair,
}

/// Scheduling attributes of a queued request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Weight of the customer; 0 counts as 1.
    pub weight: u32,
    /// Priority of the route.
    pub priority: Priority,
    /// Cost of the request, in tokens.
    pub cost: f64,
}

#[derive(Debug)]
struct QueueItem<T> {
    start_tag: f64,
    cost: f64,
    item: T,
}

#[derive(Debug)]
struct PriorityClass<T> {
    /// Finish tag of the last request and the queued requests, by customer.
    flows: IndexMap<CustomerName, (f64, VecDeque<QueueItem<T>>)>,
    /// Highest start tag that has been dequeued.
    virtual_time: f64,
    /// Total cost of the queued requests, in tokens.
    cost: f64,
    count: usize,
}

/// Start-time fair queue for each priority.
///
/// Source: Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1996.
#[derive(Debug)]
pub struct FairQueue<T> {
    policy: QueuePolicy,
    interactive: PriorityClass<T>,
    deferred: PriorityClass<T>,
    /// Number of requests enqueued so far, which is the start tag of the newest one under FIFO.
    last_arrival: f64,
    pops: u32,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            interactive: PriorityClass::new(),
            deferred: PriorityClass::new(),
            last_arrival: 0.0,
            pops: 0,
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.interactive.count + self.deferred.count
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the total cost, in tokens, of the queued requests of this or a higher priority, or
    /// of all queued requests under FIFO.
    pub fn cost_ahead(&self, priority: Priority) -> f64 {
        match (self.policy, priority) {
            (QueuePolicy::Fair, Priority::Interactive) => self.interactive.cost,
            _ => self.interactive.cost + self.deferred.cost,
        }
    }

    /// Enqueues a request.
    pub fn push(&mut self, request: &QueuedRequest, item: T) {
        self.last_arrival += 1.0;
        // Under FIFO all requests share one class, with the arrival number as start tag.
        match (self.policy, request.priority) {
            (QueuePolicy::Fifo, _) => self.interactive.push_at(request, self.last_arrival, item),
            (QueuePolicy::Fair, Priority::Interactive) => self.interactive.push(request, item),
            (QueuePolicy::Fair, Priority::Deferred) => self.deferred.push(request, item),
        }
    }

    /// Dequeues the next request.
    pub fn pop(&mut self) -> Option<T> {
        self.pops = (self.pops + 1) % DEFERRED_POP_INTERVAL;
        if self.pops == 0 {
            return self.deferred.pop().or_else(|| self.interactive.pop());
        }
        self.interactive.pop().or_else(|| self.deferred.pop())
    }
}

impl<T> PriorityClass<T> {
    fn new() -> Self {
        Self {
            flows: IndexMap::new(),
            virtual_time: 0.0,
            cost: 0.0,
            count: 0,
        }
    }

    fn push(&mut self, request: &QueuedRequest, item: T) {
        let finish_tag = self.flows.get(&request.customer).map_or(0.0, |flow| flow.0);
        let start_tag = finish_tag.max(self.virtual_time);
        self.push_at(request, start_tag, item);
    }

    /// Enqueues a request with an explicit start tag.
    fn push_at(&mut self, request: &QueuedRequest, start_tag: f64, item: T) {
        let flow = self.flows.entry(request.customer.clone()).or_default();
        flow.0 = start_tag + request.cost / f64::from(request.weight.max(1));
        flow.1.push_back(QueueItem {
            start_tag,
            cost: request.cost,
            item,
        });
        self.cost += request.cost;
        self.count += 1;
    }

    fn pop(&mut self) -> Option<T> {
        let heads = self.flows.values().enumerate();
        let heads = heads.filter_map(|(i, flow)| flow.1.front().map(|e| (i, e.start_tag)));
        let (flow, start_tag) = heads.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let queued = self.flows.get_index_mut(flow)?.1.1.pop_front()?;
        self.virtual_time = self.virtual_time.max(start_tag);
        self.cost -= queued.cost;
        self.count -= 1;
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.1.is_empty() || flow.0 > virtual_time);
        Some(queued.item)
    }
}
