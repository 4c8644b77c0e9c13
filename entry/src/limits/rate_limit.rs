//! Rate limits that endpoints state in their responses: of the requests that they take, or of those that
//! they reject for want of room while they are brittle.
//!
//! A limit holds for all entries together, but a response reaches one of them. Entries therefore
//! tell each other what they have heard. Statements are ordered by when an endpoint made them.

use std::time::Duration;

use hyper::header::HeaderValue;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EndpointId;
use crate::EndpointProcess;

/// Minimum time between two announcements of changes of one limit, so that an endpoint that changes
/// its limit in each response does not keep all entries busy.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an entry tells its peers what it has heard itself, and for which the end of a
/// limit is remembered.
const REPORT_RETENTION: Duration = Duration::from_mins(1);

/// Time after which a limit is forgotten if no entry has heard of it again.
const LIMIT_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of limits that an entry includes in its state for peers.
const MAX_SHARED_LIMITS: usize = 32;

/// Maximum number of limits that an entry remembers.
const MAX_LIMITS: usize = 4096;

/// What a rate limit is about.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum LimitKind {
    /// Requests that the endpoint takes.
    #[default]
    Requests,
    /// Requests that the endpoint can reject for want of room before it falls over.
    Rejections,
}

impl LimitKind {
    /// All kinds, those that are checked first come first.
    pub(crate) const ALL: [Self; 2] = [Self::Rejections, Self::Requests];
}

/// Number per second that an endpoint states for all entries together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a limit; `None` if the rate is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Parses a decimal number per second, without sign or exponent.
    fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let rate = is_decimal.then(|| text.parse().ok()).flatten();
        rate.and_then(Self::new)
    }

    /// Returns the number per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

/// Error of a rate that is negative or not finite.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("not a number per second")]
pub struct InvalidRate;

impl TryFrom<f64> for RateLimit {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        Self::new(per_second).ok_or(InvalidRate)
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

impl LimitNotice {
    /// Parses the header values of a response; the lowest applies if there are several.
    pub fn parse<'a>(values: impl IntoIterator<Item = &'a HeaderValue>) -> Self {
        let mut lowest: Option<RateLimit> = None;
        for value in values {
            let Some(limit) = value.to_str().ok().and_then(RateLimit::parse) else {
                return Self::Malformed;
            };
            let is_lowest = lowest.is_none_or(|lowest| limit < lowest);
            lowest = if is_lowest { Some(limit) } else { lowest };
        }
        lowest.map_or(Self::Unlimited, Self::Limited)
    }
}

/// What an entry tells its peers of an endpoint's rate limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Start of the endpoint's incarnation, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// What the limit is about.
    #[serde(default)]
    pub kind: LimitKind,
    /// Limit; `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// Time since the endpoint said so, in milliseconds.
    pub age_ms: u64,
}

impl LimitReport {
    /// Returns a report that names an endpoint process and says nothing of its limits: a statement of
    /// this age is older than any that is known.
    pub(crate) fn unknown(endpoint: &EndpointId, incarnation: u64) -> Self {
        Self {
            endpoint: endpoint.clone(),
            incarnation,
            kind: LimitKind::Requests,
            limit: None,
            age_ms: u64::MAX,
        }
    }

    /// Adds the time for which the report was kept before it is sent.
    pub(crate) fn add_age(&mut self, kept: Duration) {
        self.age_ms = self.age_ms.saturating_add(crate::millis(kept));
    }
}

/// A change of what is known of an endpoint's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before; `None` if there was none.
    pub previous: Option<RateLimit>,
    /// Limit from now on; `None` if it has ended.
    pub limit: Option<RateLimit>,
}

/// Newest statement of an endpoint process.
#[derive(Clone, Debug)]
struct Statement {
    endpoint: EndpointId,
    incarnation: u64,
    kind: LimitKind,
    limit: Option<RateLimit>,
    /// Time as of which the endpoint said so.
    stated_at: Instant,
    /// Whether this entry has received a response that says so.
    is_own: bool,
    /// Time before which no further change is announced.
    next_announcement: Instant,
}

impl Statement {
    fn report(&self, now: Instant) -> LimitReport {
        LimitReport {
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            kind: self.kind,
            limit: self.limit,
            age_ms: crate::millis(now.saturating_duration_since(self.stated_at)),
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        let retention = match self.limit {
            Some(_) => LIMIT_RETENTION,
            None => REPORT_RETENTION,
        };
        now.saturating_duration_since(self.stated_at) >= retention
    }
}

/// Key of a limit.
type LimitKey = (EndpointProcess, LimitKind);

/// Newest rate limit of each kind of each endpoint process that has stated one.
#[derive(Debug, Default)]
pub struct LimitTable {
    statements: IndexMap<LimitKey, Statement>,
    /// Limits with a change that has not been announced to peers.
    unannounced: IndexSet<LimitKey>,
}

impl LimitTable {
    /// Returns the limit of an endpoint process; `None` if there is none.
    pub fn limit_of(
        &self,
        kind: LimitKind,
        endpoint: &EndpointId,
        incarnation: u64,
    ) -> Option<RateLimit> {
        if self.statements.is_empty() {
            return None;
        }
        let process = EndpointProcess::new(endpoint, incarnation);
        self.statements.get(&(process, kind))?.limit
    }

    /// Records what the response to a request that was sent at `sent` says.
    ///
    /// A response without a limit ends one that was stated before the request was sent: the
    /// endpoint may have written the response before it stated the limit in another one.
    ///
    /// Returns the change, if there is one.
    pub fn record_response(
        &mut self,
        kind: LimitKind,
        endpoint: &EndpointId,
        incarnation: u64,
        notice: LimitNotice,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let (limit, stated_at) = match notice {
            LimitNotice::Unlimited if self.statements.is_empty() => return None,
            LimitNotice::Malformed => return None,
            LimitNotice::Limited(limit) => (Some(limit), now),
            LimitNotice::Unlimited => (None, sent),
        };
        let statement = Statement {
            endpoint: endpoint.clone(),
            incarnation,
            kind,
            limit,
            stated_at,
            is_own: true,
            next_announcement: now,
        };
        self.update(statement)
    }

    /// Records a peer's report; returns the change, if there is one.
    pub fn merge(&mut self, report: &LimitReport, now: Instant) -> Option<LimitChange> {
        let age = Duration::from_millis(report.age_ms);
        let statement = Statement {
            endpoint: report.endpoint.clone(),
            incarnation: report.incarnation,
            kind: report.kind,
            limit: report.limit,
            stated_at: now.checked_sub(age)?,
            is_own: false,
            next_announcement: now,
        };
        if statement.is_expired(now) {
            return None;
        }
        self.update(statement)
    }

    /// Returns what this entry knows of the limits of an endpoint process.
    pub fn reports_of(
        &self,
        endpoint: &EndpointId,
        incarnation: u64,
        now: Instant,
    ) -> Vec<LimitReport> {
        if self.statements.is_empty() {
            return Vec::new();
        }
        let process = EndpointProcess::new(endpoint, incarnation);
        let statements = LimitKind::ALL.map(|kind| self.statements.get(&(process, kind)));
        let limited = statements.into_iter().flatten();
        let limited = limited.filter(|s| s.limit.is_some());
        limited.map(|s| s.report(now)).collect()
    }

    /// Returns what this entry has heard itself, newest first, to be sent to peers.
    pub fn reports(&self, now: Instant) -> Vec<LimitReport> {
        let own = self.statements.values().filter(|s| s.is_own);
        let age = |s: &Statement| now.saturating_duration_since(s.stated_at);
        let mut own: Vec<&Statement> = own.filter(|s| age(s) < REPORT_RETENTION).collect();
        own.sort_by_key(|s| age(s));
        own.truncate(MAX_SHARED_LIMITS);
        own.into_iter().map(|s| s.report(now)).collect()
    }

    /// Returns all limits that are in force, for an entry that knows none.
    pub fn limited(&self, now: Instant) -> Vec<LimitReport> {
        let limited = self.statements.values().filter(|s| s.limit.is_some());
        limited.map(|s| s.report(now)).collect()
    }

    /// Takes the changes that are to be announced to peers at `now`.
    pub fn take_announcements(&mut self, now: Instant) -> Vec<LimitReport> {
        let mut due = Vec::new();
        let statements = &mut self.statements;
        self.unannounced.retain(|key| {
            let Some(statement) = statements.get_mut(key) else {
                return false;
            };
            if now < statement.next_announcement {
                return true;
            }
            statement.next_announcement = now + MIN_ANNOUNCEMENT_INTERVAL;
            due.push(statement.report(now));
            false
        });
        due
    }

    /// Returns when the next announcement is due; `None` if there is none.
    pub fn next_announcement(&self) -> Option<Instant> {
        let unannounced = self.unannounced.iter();
        let statements = unannounced.filter_map(|key| self.statements.get(key));
        statements.map(|s| s.next_announcement).min()
    }

    /// Forgets limits of which no entry has heard for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.statements.retain(|_, s| !s.is_expired(now));
    }

    fn update(&mut self, mut statement: Statement) -> Option<LimitChange> {
        let process = EndpointProcess::new(&statement.endpoint, statement.incarnation);
        let key = (process, statement.kind);
        let Some(known) = self.statements.get(&key) else {
            let limit = statement.limit?;
            self.insert(key, statement);
            let (previous, limit) = (None, Some(limit));
            return Some(LimitChange { previous, limit });
        };
        if known.stated_at > statement.stated_at {
            return None;
        }
        let (previous, limit) = (known.limit, statement.limit);
        statement.next_announcement = known.next_announcement;
        if previous == limit {
            statement.is_own |= known.is_own;
            self.statements.insert(key, statement);
            return None;
        }
        self.insert(key, statement);
        Some(LimitChange { previous, limit })
    }

    fn insert(&mut self, key: LimitKey, statement: Statement) {
        self.statements.insert(key, statement);
        self.unannounced.insert(key);
        if self.statements.len() > MAX_LIMITS {
            self.statements.shift_remove_index(0);
        }
    }
}
