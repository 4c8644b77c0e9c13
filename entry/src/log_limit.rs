//! Rate limit for log lines by kind; suppressed lines are counted.

use std::sync::LazyLock;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

/// Maximum number of lines of one kind per second.
const MAX_LINES_PER_SECOND: u32 = 5;

#[derive(Debug)]
struct LineWindow {
    start: Instant,
    lines: u32,
    suppressed: u64,
}

static WINDOWS: LazyLock<Mutex<IndexMap<&'static str, LineWindow>>> = LazyLock::new(Mutex::default);

/// Counts one line of a kind and returns whether it may be written.
pub(crate) fn allows(kind: &'static str) -> bool {
    let now = Instant::now();
    let mut windows = WINDOWS.lock();
    let window = windows.entry(kind).or_insert_with(|| LineWindow {
        start: now,
        lines: 0,
        suppressed: 0,
    });
    if now.duration_since(window.start) >= Duration::from_secs(1) {
        if window.suppressed > 0 {
            tracing::info!(event = "lines_left_out", kind, count = window.suppressed);
        }
        window.start = now;
        window.lines = 0;
        window.suppressed = 0;
    }
    if window.lines >= MAX_LINES_PER_SECOND {
        window.suppressed += 1;
        return false;
    }
    window.lines += 1;
    true
}
