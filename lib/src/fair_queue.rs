//! Queue of waiting requests, fair between customers.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::Priority;

/// Every so many requests, one that can wait goes first if there is one.
const DEFERRED_TURN: u32 = 10;

/// In which order waiting requests are taken.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// In the order in which they came.
    Fifo,
    /// Interactive ones first, and among these each customer by its weight and their cost.
    #[default]
    Fair,
}

/// What the queue needs to know of a request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Customer.
    pub customer: CustomerName,
    /// Weight of the customer, 1 or more.
    pub weight: u32,
    /// Urgency.
    pub priority: Priority,
    /// Cost, in tokens.
    pub cost: f64,
}

#[derive(Debug)]
struct Entry<T> {
    start: f64,
    cost: f64,
    item: T,
}

#[derive(Debug)]
struct Level<T> {
    lanes: IndexMap<CustomerName, (f64, VecDeque<Entry<T>>)>,
    clock: f64,
    cost: f64,
    count: usize,
}

/// Queue by start-time fair queueing, within each priority.
///
/// Source: Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1996.
#[derive(Debug)]
pub struct FairQueue<T> {
    policy: QueuePolicy,
    interactive: Level<T>,
    deferred: Level<T>,
    arrivals: f64,
    turns: u32,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            interactive: Level::new(),
            deferred: Level::new(),
            arrivals: 0.0,
            turns: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.interactive.count + self.deferred.count
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the cost of the requests that a new one of this priority has to wait for at most.
    pub fn cost_ahead(&self, priority: Priority) -> f64 {
        match (self.policy, priority) {
            (QueuePolicy::Fair, Priority::Interactive) => self.interactive.cost,
            _ => self.interactive.cost + self.deferred.cost,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: &Waiting, item: T) {
        self.arrivals += 1.0;
        match (self.policy, waiting.priority) {
            (QueuePolicy::Fifo, _) => self.interactive.push_at(waiting, self.arrivals, item),
            (QueuePolicy::Fair, Priority::Interactive) => self.interactive.push(waiting, item),
            (QueuePolicy::Fair, Priority::Deferred) => self.deferred.push(waiting, item),
        }
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<T> {
        self.turns = (self.turns + 1) % DEFERRED_TURN;
        if self.turns == 0 {
            return self.deferred.pop().or_else(|| self.interactive.pop());
        }
        self.interactive.pop().or_else(|| self.deferred.pop())
    }
}

impl<T> Level<T> {
    fn new() -> Self {
        Self {
            lanes: IndexMap::new(),
            clock: 0.0,
            cost: 0.0,
            count: 0,
        }
    }

    fn push(&mut self, waiting: &Waiting, item: T) {
        let finish = self.lanes.get(&waiting.customer).map_or(0.0, |lane| lane.0);
        let start = finish.max(self.clock);
        self.push_at(waiting, start, item);
    }

    fn push_at(&mut self, waiting: &Waiting, start: f64, item: T) {
        let lane = self.lanes.entry(waiting.customer.clone()).or_default();
        lane.0 = start + waiting.cost / f64::from(waiting.weight.max(1));
        lane.1.push_back(Entry {
            start,
            cost: waiting.cost,
            item,
        });
        self.cost += waiting.cost;
        self.count += 1;
    }

    fn pop(&mut self) -> Option<T> {
        let heads = self.lanes.values().enumerate();
        let heads = heads.filter_map(|(i, lane)| lane.1.front().map(|e| (i, e.start)));
        let (lane, start) = heads.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let entry = self.lanes.get_index_mut(lane)?.1.1.pop_front()?;
        self.clock = self.clock.max(start);
        self.cost -= entry.cost;
        self.count -= 1;
        let clock = self.clock;
        self.lanes
            .retain(|_, lane| !lane.1.is_empty() || lane.0 > clock);
        Some(entry.item)
    }
}
