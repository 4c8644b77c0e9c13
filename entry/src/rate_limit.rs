//! Rate limits that endpoints state in their responses.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EndpointProcess;

/// Requests per second that an endpoint takes from all entries together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a limit; `None` if the rate is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

/// What a response says of its endpoint's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// There is no limit.
    #[default]
    Unlimited,
    /// There is a limit.
    Limited(RateLimit),
    /// The statement cannot be read; what was known before stays in force.
    Malformed,
}

/// A change of what is known of an endpoint's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before; `None` if there was none.
    pub previous: Option<RateLimit>,
    /// Limit from now on; `None` if it has ended.
    pub limit: Option<RateLimit>,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: Option<RateLimit>,
    /// Time as of which the endpoint said so.
    stated_at: Instant,
}

/// Newest rate limit of each endpoint process that has stated one.
#[derive(Debug, Default)]
pub struct LimitTable {
    limits: IndexMap<EndpointProcess, KnownLimit>,
}

impl LimitTable {
    /// Returns the limit of an endpoint process; `None` if there is none.
    pub fn limit_of(&self, process: EndpointProcess) -> Option<RateLimit> {
        self.limits.get(&process)?.limit
    }

    /// Records what the response to a request that was sent at `sent` says.
    ///
    /// A response without a limit ends one that was stated before the request was sent: the
    /// endpoint may have written the response before it stated the limit in another one.
    ///
    /// Returns the change, if there is one.
    pub fn record_response(
        &mut self,
        process: EndpointProcess,
        notice: LimitNotice,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        match notice {
            LimitNotice::Limited(limit) => self.update(process, Some(limit), now),
            LimitNotice::Unlimited if self.limits.contains_key(&process) => {
                self.update(process, None, sent)
            }
            LimitNotice::Malformed | LimitNotice::Unlimited => None,
        }
    }

    fn update(
        &mut self,
        process: EndpointProcess,
        limit: Option<RateLimit>,
        stated_at: Instant,
    ) -> Option<LimitChange> {
        let known = self.limits.get(&process);
        if known.is_some_and(|known| known.stated_at > stated_at) {
            return None;
        }
        let previous = known.and_then(|known| known.limit);
        self.limits.insert(process, KnownLimit { limit, stated_at });
        (previous != limit).then_some(LimitChange { previous, limit })
    }
}
