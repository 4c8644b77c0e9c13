//! Event counter over a sliding time window.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Number of slices into which a window is divided.
const SLICE_COUNT: u32 = 20;

/// Number of events within a sliding time window.
#[derive(Debug)]
pub struct SlidingCounter {
    window: Duration,
    slices: VecDeque<(Instant, u64)>,
    sum: u64,
}

impl SlidingCounter {
    /// Creates a counter without events over a window of the given length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            slices: VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds `count` events that happened at `now`.
    pub fn add(&mut self, now: Instant, count: u64) {
        self.expire(now);
        self.sum += count;
        match self.slices.back_mut() {
            Some((start, slice)) if now.duration_since(*start) < self.window / SLICE_COUNT => {
                *slice += count;
            }
            _ => self.slices.push_back((now, count)),
        }
    }

    /// Returns the number of events in the window.
    pub fn sum(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.sum
    }

    fn expire(&mut self, now: Instant) {
        // A slice is removed once its end has left the window.
        let retention = self.window + self.window / SLICE_COUNT;
        while let Some((start, count)) = self.slices.front().copied() {
            if now.duration_since(start) < retention {
                return;
            }
            self.sum -= count;
            self.slices.pop_front();
        }
    }
}
