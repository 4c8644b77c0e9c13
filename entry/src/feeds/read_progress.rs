//! When something of a response was last received.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Time at which a part of a response was last received; clones share it.
#[derive(Clone, Debug, Default)]
pub struct ReadProgress(Arc<Mutex<Option<Instant>>>);

impl ReadProgress {
    /// Records that a part of a response was received.
    pub fn record(&self) {
        *self.0.lock() = Some(Instant::now());
    }

    /// Waits until nothing was received for a time.
    pub(crate) async fn wait_for_silence(&self, time: Duration) {
        while let Some(silent_at) = self.silent_at(time) {
            tokio::time::sleep_until(silent_at).await;
        }
    }

    /// Returns when nothing will have been received for a time if nothing more is; `None` if that is so now.
    fn silent_at(&self, time: Duration) -> Option<Instant> {
        let silent_at = (*self.0.lock())? + time;
        (silent_at > Instant::now()).then_some(silent_at)
    }
}
