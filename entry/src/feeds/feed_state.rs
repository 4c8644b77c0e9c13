//! What an entry knows of a feed, has been told of it, and receives of it.

use parking_lot::Mutex;

use crate::FeedCursor;
use crate::ReadProgress;
use crate::feeds::feed_news::ToldFeed;

/// State of an entry's reading of one feed.
#[derive(Debug, Default)]
pub(crate) struct FeedState {
    /// How much of the feed is known.
    pub(crate) cursor: Mutex<FeedCursor>,
    /// What peers have told of it, and what they are to be told.
    pub(crate) told: ToldFeed,
    /// When something of it was last received.
    pub(crate) progress: ReadProgress,
}
