//! How long reads of feeds wait, and how often they are made, by the number of entries.

use std::time::Duration;

use crate::Feed;
use crate::Node;

/// Minimum time that a read waits for the first update.
const MIN_POLL_WAIT: Duration = Duration::from_secs(5);

/// Poll wait per entry, which bounds the total rate of reads by all entries.
const POLL_WAIT_PER_ENTRY: Duration = Duration::from_millis(170);

/// Maximum time that a read waits, so that a dead connection is noticed.
const MAX_POLL_WAIT: Duration = Duration::from_secs(15);

/// Minimum delay after a read that returned updates, so that updates are read in batches.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(400);

/// Batch delay per entry, which bounds the total rate of reads by all entries.
const BATCH_DELAY_PER_ENTRY: Duration = Duration::from_millis(50);

/// Divisor of the batch delay that gives the poll wait and the delay of an entry that reads for its
/// failure domain, so that the others know its updates within the batch delay.
pub(crate) const READER_DIVISOR: u32 = 4;

/// Maximum batch delay as a fraction of the drain period, so that a draining endpoint is known
/// before it stops serving.
const MAX_BATCH_DELAY_FRACTION: f64 = 0.55;

/// Returns how long a read waits for the first update, by the number of entries.
pub(crate) fn poll_wait(node: &Node) -> Duration {
    let entries = u32::try_from(node.entry_count()).unwrap_or(u32::MAX);
    let wait = POLL_WAIT_PER_ENTRY.saturating_mul(entries);
    wait.clamp(MIN_POLL_WAIT, MAX_POLL_WAIT)
}

/// Returns the delay after a read that returned updates.
pub(crate) fn batch_delay(node: &Node, feed: Feed) -> Duration {
    match feed {
        Feed::Orders => MIN_BATCH_DELAY,
        Feed::Endpoints => {
            let entries = u32::try_from(node.entry_count()).unwrap_or(u32::MAX);
            let delay = BATCH_DELAY_PER_ENTRY.saturating_mul(entries);
            let max_delay = node.settings.drain.mul_f64(MAX_BATCH_DELAY_FRACTION);
            delay.min(max_delay).max(MIN_BATCH_DELAY)
        }
    }
}
