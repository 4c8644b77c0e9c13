//! Counts over a sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Slices into which a window is divided.
const SLICES: u32 = 20;

/// A count of events over the newest span of time.
#[derive(Debug)]
pub struct RateWindow {
    span: Duration,
    slices: VecDeque<(Instant, u64)>,
    sum: u64,
}

impl RateWindow {
    /// Creates an empty window.
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            slices: VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds events.
    pub fn add(&mut self, now: Instant, count: u64) {
        self.expire(now);
        self.sum += count;
        match self.slices.back_mut() {
            Some((start, slice)) if now.duration_since(*start) < self.span / SLICES => {
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
        // A slice is dropped when its last moment has left the window.
        let keep = self.span + self.span / SLICES;
        while let Some((start, count)) = self.slices.front().copied() {
            if now.duration_since(start) < keep {
                return;
            }
            self.sum -= count;
            self.slices.pop_front();
        }
    }
}
