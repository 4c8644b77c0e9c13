//! Bounds the number of log lines of one kind in a second; what is left out is counted.

use std::sync::LazyLock;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

/// Lines of one kind in a second.
const LINES_PER_SECOND: u32 = 5;

#[derive(Debug)]
struct Kind {
    since: Instant,
    lines: u32,
    left_out: u64,
}

static KINDS: LazyLock<Mutex<IndexMap<&'static str, Kind>>> = LazyLock::new(Mutex::default);

/// Tells whether one more line of a kind may be written now.
pub(crate) fn allows(kind: &'static str) -> bool {
    let now = Instant::now();
    let mut kinds = KINDS.lock();
    let entry = kinds.entry(kind).or_insert_with(|| Kind {
        since: now,
        lines: 0,
        left_out: 0,
    });
    if now.duration_since(entry.since) >= Duration::from_secs(1) {
        if entry.left_out > 0 {
            tracing::info!(event = "lines_left_out", kind, count = entry.left_out);
        }
        entry.since = now;
        entry.lines = 0;
        entry.left_out = 0;
    }
    if entry.lines >= LINES_PER_SECOND {
        entry.left_out += 1;
        return false;
    }
    entry.lines += 1;
    true
}
