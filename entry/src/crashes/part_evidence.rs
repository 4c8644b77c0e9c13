//! Evidence against one prompt part, and how much of it is enough to suspect the part.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::EndpointProcess;
use crate::PartId;

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

/// Retry-After of requests with a part that may be found sound, as soon as a request with it completes
/// or an endpoint responds that seemed to have crashed.
const SUSPECTED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Retry-After of requests that crash endpoints.
const CERTAIN_RETRY_AFTER: Duration = Duration::from_mins(1);

/// How sure it is that a request crashes its endpoint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Suspicion {
    /// The evidence may be taken back.
    Suspected,
    /// The evidence is enough even against a part that completed requests before.
    Certain,
}

impl Suspicion {
    /// Returns the time after which a caller may retry.
    pub(crate) const fn retry_after(self) -> Duration {
        match self {
            Self::Suspected => SUSPECTED_RETRY_AFTER,
            Self::Certain => CERTAIN_RETRY_AFTER,
        }
    }
}

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

/// Parts whose evidence is the same, of which at least one crashes endpoints.
#[derive(Debug)]
pub(crate) struct Culprit {
    pub(crate) parts: Vec<PartId>,
    pub(crate) crashes: IndexSet<EndpointProcess>,
    pub(crate) suspicion: Suspicion,
}

impl Evidence {
    /// Returns whether the crashes are enough, and at enough moments.
    pub(crate) fn is_pattern(&self) -> bool {
        let needed = if self.is_known_part {
            KNOWN_PART
        } else {
            NEW_PART
        };
        self.matches(needed)
    }

    /// Returns how sure it is that the part crashes endpoints, if the crashes are enough.
    pub(crate) fn suspicion(&self) -> Suspicion {
        if self.matches(KNOWN_PART) {
            Suspicion::Certain
        } else {
            Suspicion::Suspected
        }
    }

    fn matches(&self, pattern: CrashPattern) -> bool {
        self.crashes.len() >= pattern.crashes && self.moments() >= pattern.moments
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
