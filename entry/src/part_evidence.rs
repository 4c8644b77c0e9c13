//! Evidence against one prompt part, and how much of it is enough to suspect the part.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointProcess;

/// Minimum number of crashes of any suspected part.
pub(crate) const MIN_CRASHES: usize = 3;

/// What must have crashed under requests with a part that completed none before.
const NEW_PART: CrashPattern = CrashPattern {
    crashes: MIN_CRASHES,
    moments: 2,
};

/// What must have crashed under requests with a part that completed some before.
const KNOWN_PART: CrashPattern = CrashPattern {
    crashes: 5,
    moments: 4,
};

/// Minimum time between two moments; failures at one moment have another cause, such as the loss of a
/// failure domain or of all connections of an entry.
const MIN_MOMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Crashes that are enough to suspect a part.
#[derive(Clone, Copy, Debug)]
struct CrashPattern {
    /// Minimum number of crashed endpoint processes.
    crashes: usize,
    /// Minimum number of moments at which they crashed.
    moments: usize,
}

/// Crashes of a part that completed requests do not outweigh.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Crashes, the first one first.
    pub(crate) crashes: IndexMap<EndpointProcess, Instant>,
    /// Whether requests with the part that were sent before completed.
    pub(crate) is_known_part: bool,
}

impl Evidence {
    /// Returns whether the crashes are enough, and at enough moments.
    pub(crate) fn is_pattern(&self) -> bool {
        let needed = if self.is_known_part {
            KNOWN_PART
        } else {
            NEW_PART
        };
        self.crashes.len() >= needed.crashes && self.moments() >= needed.moments
    }

    fn moments(&self) -> usize {
        let mut moments = 0;
        let mut last: Option<Instant> = None;
        for at in self.crashes.values() {
            if last.is_none_or(|last| at.duration_since(last) >= MIN_MOMENT_INTERVAL) {
                moments += 1;
                last = Some(*at);
            }
        }
        moments
    }
}
