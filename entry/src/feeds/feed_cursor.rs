//! How much of a feed an entry knows.

use std::time::Duration;

use tokio::time::Instant;

use crate::StoreEra;

/// Position in a feed; it is valid in one era of the store only.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Position {
    pub(crate) era: StoreEra,
    pub(crate) offset: u64,
}

/// How much of a feed an entry knows.
#[derive(Debug, Default)]
pub struct FeedCursor {
    /// Position after the last known update; `None` until a snapshot has been read.
    position: Option<Position>,
    /// Time as of which all updates are known.
    known_at: Option<Instant>,
}

impl FeedCursor {
    pub(crate) fn position(&self) -> Option<Position> {
        self.position
    }

    /// Records that all updates before `position` and until `known_at` are known.
    pub(crate) fn advance(&mut self, position: Position, known_at: Instant) {
        let older = self.position.filter(|p| p.era == position.era);
        let offset = older.map_or(0, |p| p.offset).max(position.offset);
        self.position = Some(Position { offset, ..position });
        self.known_at = self.known_at.max(Some(known_at));
    }

    /// Makes the next read start from a snapshot.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the time as of which all updates are known.
    pub(crate) fn known_at(&self) -> Option<Instant> {
        self.known_at
    }

    /// Returns the time since all updates were known; `None` if they never were.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let known_at = self.known_at?;
        Some(now.saturating_duration_since(known_at))
    }
}
