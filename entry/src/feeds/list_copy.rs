//! Compressed copies of the endpoint list, with the position in the feed from which the receiver goes on.

use std::time::Duration;

use flate2::Compression;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EndpointRecord;
use crate::EndpointState;
use crate::Feed;
use crate::Node;
use crate::StoreEra;
use crate::feeds::feed_cursor::Position;
use crate::peers::packed::Packed;

/// Time for which a copy is given again, since building one takes a small VM tens of milliseconds. A
/// receiver reads the updates since then from the store.
const REUSE_TIME: Duration = Duration::from_millis(200);

/// Maximum number of copies that an entry gives in each [`COPY_INTERVAL`]: at 3,000 endpoints about two
/// thirds of a link of 10 Mbit/s. Those that are turned away ask again, or others.
const MAX_COPIES: u32 = 4;

/// Interval for [`MAX_COPIES`].
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum age of a copy that is applied; during an outage of the store an old list is better than none.
const MAX_AGE: Duration = Duration::from_hours(24);

/// A copy of the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListCopy {
    /// Era of the store.
    pub era: StoreEra,
    /// Offset after the last update that the copy contains.
    pub offset: u64,
    /// Time since the copy was known to contain all updates, in milliseconds.
    pub age_ms: u64,
    /// The records.
    pub records: Packed,
}

/// Copies that an entry has given.
#[derive(Debug, Default)]
pub(crate) struct GivenCopies(Mutex<GivenState>);

#[derive(Debug, Default)]
struct GivenState {
    /// Last copy, with the time at which its `age_ms` was valid.
    last: Option<(Instant, ListCopy)>,
    /// Start of the current interval, and the number of copies given in it.
    interval: Option<(Instant, u32)>,
}

impl GivenState {
    /// Counts a copy; returns `false` if no more are given in this interval.
    fn count(&mut self, now: Instant) -> bool {
        let current = self
            .interval
            .filter(|(start, _)| now.duration_since(*start) < COPY_INTERVAL);
        let (start, count) = current.unwrap_or((now, 0));
        self.interval = Some((start, count.saturating_add(1)));
        count < MAX_COPIES
    }

    /// Returns the last copy if it is recent enough.
    fn reusable(&self, now: Instant) -> Option<ListCopy> {
        let (built_at, copy) = self.last.as_ref()?;
        let kept = now.saturating_duration_since(*built_at);
        (kept < REUSE_TIME).then(|| ListCopy {
            age_ms: copy.age_ms.saturating_add(crate::millis(kept)),
            ..copy.clone()
        })
    }
}

/// Returns a copy of the endpoint list for a peer; `None` if the list is not known with its position, or
/// if this entry has given as many copies as it may for now.
pub fn give_list(node: &Node) -> Option<ListCopy> {
    let now = Instant::now();
    node.cursor(Feed::Endpoints).lock().position()?;
    let mut given = node.given_copies.0.lock();
    if !given.count(now) {
        return None;
    }
    if let Some(copy) = given.reusable(now) {
        return Some(copy);
    }
    let copy = copy_list(node, now)?;
    given.last = Some((now, copy.clone()));
    Some(copy)
}

/// Builds a copy of the endpoint list as of its position.
fn copy_list(node: &Node, now: Instant) -> Option<ListCopy> {
    // Updates are applied under the lock of the cursor, so that the records are those of the position.
    let cursor = node.cursor(Feed::Endpoints).lock();
    let position = cursor.position()?;
    let age_ms = crate::millis(cursor.age(now)?);
    let endpoints = node.endpoints.lock();
    let listed = endpoints.iter().filter(|(_, e)| e.is_listed());
    let records: Vec<EndpointRecord> = listed
        .map(|(_, e)| EndpointRecord {
            // Also what peers and the endpoint itself have said.
            state: if e.is_draining {
                EndpointState::Draining
            } else {
                e.record.state
            },
            ..e.record.clone()
        })
        .collect();
    drop(endpoints);
    drop(cursor);
    Some(ListCopy {
        era: position.era,
        offset: position.offset,
        age_ms,
        records: Packed::new(&records, Compression::default())?,
    })
}

/// Minimum time by which a copy is more recent than the list that it replaces.
const MIN_GAIN: Duration = Duration::from_millis(300);

/// Replaces the list by a copy of the same era that is more recent; returns `false` without any effect if it is
/// not, or is unreadable.
pub(crate) fn apply_fresher_copy(node: &Node, copy: &ListCopy) -> bool {
    let now = Instant::now();
    let Some(known_at) = now.checked_sub(Duration::from_millis(copy.age_ms)) else {
        return false;
    };
    let Some(mut records) = copy.records.unpack::<Vec<EndpointRecord>>() else {
        return false;
    };
    records.retain(EndpointRecord::is_plausible);
    let mut cursor = node.cursor(Feed::Endpoints).lock();
    let own = cursor.position();
    let follows = own.is_some_and(|own| own.era == copy.era && own.offset <= copy.offset);
    let is_fresher = cursor.known_at().is_none_or(|at| at + MIN_GAIN < known_at);
    if !follows || !is_fresher {
        return false;
    }
    node.endpoints.lock().replace(records, now);
    let position = Position {
        era: copy.era,
        offset: copy.offset,
    };
    cursor.advance(position, known_at);
    drop(cursor);
    node.slot_freed.notify_waiters();
    true
}

/// Replaces the list of a starting entry by a copy, from whose position the entry goes on; returns `false`
/// without any effect if the copy is unreadable, of an era before `min_era`, or no longer needed.
pub fn apply_list_copy(node: &Node, copy: &ListCopy, min_era: StoreEra) -> bool {
    let now = Instant::now();
    let age = Duration::from_millis(copy.age_ms);
    let Some(known_at) = now.checked_sub(age).filter(|_| age <= MAX_AGE) else {
        return false;
    };
    if copy.era < min_era {
        tracing::info!(
            event = "list_copy_dropped",
            era = copy.era.0,
            newest = min_era.0
        );
        return false;
    }
    let Some(mut records) = copy.records.unpack::<Vec<EndpointRecord>>() else {
        tracing::info!(event = "list_copy_dropped", era = copy.era.0, "unreadable");
        return false;
    };
    records.retain(EndpointRecord::is_plausible);
    let mut cursor = node.cursor(Feed::Endpoints).lock();
    if cursor.position().is_some() {
        return false;
    }
    tracing::info!(
        event = "endpoints",
        count = records.len(),
        source = "copy",
        offset = copy.offset,
        age_ms = copy.age_ms,
        bytes = copy.records.0.len(),
        "endpoint list loaded"
    );
    node.endpoints.lock().replace(records, now);
    let position = Position {
        era: copy.era,
        offset: copy.offset,
    };
    cursor.advance(position, known_at);
    drop(cursor);
    node.slot_freed.notify_waiters();
    true
}
