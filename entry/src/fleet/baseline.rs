//! Number of endpoints that a service had when the deployment started, which stands for the load
//! that operators expect before any request arrives.
//!
//! The endpoints of a new deployment become known one after the other. A number that was read
//! before all are known would make the fleet shrink, so it counts only once the list has stopped
//! growing for a while.

use std::time::Duration;

use tokio::time::Instant;

/// Time without a new endpoint, in addition to two batch delays of the endpoint list, after which
/// the list is taken for complete.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Baseline of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Baseline {
    /// The list of endpoints may still be incomplete.
    Discovering {
        /// Largest number of endpoints in one failure domain so far.
        largest: u32,
        /// Largest number of endpoints in all failure domains so far.
        total: u32,
        /// Time at which `total` last grew.
        grown_at: Instant,
    },
    /// Largest number of endpoints in one failure domain.
    Known(u32),
}

impl Baseline {
    /// Starts a discovery without endpoints.
    pub(crate) fn new(now: Instant) -> Self {
        Self::Discovering {
            largest: 0,
            total: 0,
            grown_at: now,
        }
    }

    /// Returns the baseline if it is known.
    pub(crate) fn known(self) -> Option<u32> {
        match self {
            Self::Known(count) => Some(count),
            Self::Discovering { .. } => None,
        }
    }

    /// Updates a discovery with the endpoints that are listed now, by failure domain.
    ///
    /// `batch_delay` is the delay with which changes of the list become known.
    pub(crate) fn update(
        &mut self,
        counts: impl Iterator<Item = u32>,
        batch_delay: Duration,
        now: Instant,
    ) {
        let Self::Discovering {
            largest,
            total,
            grown_at,
        } = self
        else {
            return;
        };
        let mut sum = 0;
        for count in counts {
            *largest = count.max(*largest);
            sum += count;
        }
        if sum > *total {
            *total = sum;
            *grown_at = now;
        }
        let is_settled = now.duration_since(*grown_at) >= SETTLE_TIME + batch_delay * 2;
        if is_settled && *total > 0 {
            *self = Self::Known(*largest);
        }
    }
}
