//! Wall-clock time that is robust against faulty clocks of single VMs.
//!
//! The wall clock of a VM may jump; the median over all VMs does not while most are correct.

use indexmap::IndexMap;

use crate::EntryName;

/// Change of the local clock's offset above which it is taken for a jump, in milliseconds.
const CLOCK_JUMP_THRESHOLD_MS: i64 = 250;

/// Offsets in milliseconds between the wall clocks of several VMs and the local monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct MedianClock {
    own: Option<i64>,
    peers: IndexMap<EntryName, i64>,
}

impl MedianClock {
    /// Records the local wall-clock time at a time of the monotonic clock, both in milliseconds.
    ///
    /// A jump against the monotonic clock is ignored unless no other clock is known.
    pub fn record_own(&mut self, wall_ms: u64, monotonic_ms: u64) {
        let offset = offset(wall_ms, monotonic_ms);
        match self.own {
            Some(old)
                if (old - offset).abs() > CLOCK_JUMP_THRESHOLD_MS && !self.peers.is_empty() => {}
            _ => self.own = Some(offset),
        }
    }

    /// Records a peer's wall-clock time at a time of the local monotonic clock, both in
    /// milliseconds.
    pub fn record_peer(&mut self, peer: &EntryName, wall_ms: u64, monotonic_ms: u64) {
        self.peers
            .insert(peer.clone(), offset(wall_ms, monotonic_ms));
    }

    /// Removes a peer's clock.
    pub fn remove_peer(&mut self, peer: &EntryName) {
        self.peers.swap_remove(peer);
    }

    /// Returns the median wall-clock time at a time of the local monotonic clock, in milliseconds
    /// since the Unix epoch.
    pub fn wall_ms_at(&self, monotonic_ms: u64) -> u64 {
        let mut offsets: Vec<i64> = self.peers.values().copied().chain(self.own).collect();
        offsets.sort_unstable();
        let median = offsets.get(offsets.len() / 2).copied().unwrap_or_default();
        u64::try_from(i64::try_from(monotonic_ms).unwrap_or_default() + median).unwrap_or_default()
    }
}

fn offset(wall_ms: u64, monotonic_ms: u64) -> i64 {
    i64::try_from(wall_ms).unwrap_or_default() - i64::try_from(monotonic_ms).unwrap_or_default()
}
