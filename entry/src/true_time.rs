//! True time from the clocks of several VMs.
//!
//! The time of day of a VM may jump; the median over the VMs does not while most are right.

use indexmap::IndexMap;

use crate::EntryName;

/// Change of the own offset from which a jump of the own clock is assumed, in milliseconds.
const JUMP_MS: i64 = 250;

/// Offsets between clocks of day and the own steady clock.
#[derive(Clone, Debug, Default)]
pub struct TrueTime {
    own: Option<i64>,
    peers: IndexMap<EntryName, i64>,
}

impl TrueTime {
    /// Notes the own time of day at a moment of the steady clock, both in milliseconds.
    ///
    /// A jump against the steady clock is distrusted unless there is no other clock.
    pub fn note_own(&mut self, wall: u64, steady: u64) {
        let offset = offset(wall, steady);
        match self.own {
            Some(old) if (old - offset).abs() > JUMP_MS && !self.peers.is_empty() => {}
            _ => self.own = Some(offset),
        }
    }

    /// Notes a peer's time of day at a moment of the own steady clock.
    pub fn note_peer(&mut self, peer: &EntryName, wall: u64, steady: u64) {
        self.peers.insert(peer.clone(), offset(wall, steady));
    }

    /// Forgets a peer.
    pub fn forget(&mut self, peer: &EntryName) {
        self.peers.swap_remove(peer);
    }

    /// Returns true time in milliseconds since 1970 at a moment of the own steady clock.
    pub fn at(&self, steady: u64) -> u64 {
        let mut offsets: Vec<i64> = self.peers.values().copied().chain(self.own).collect();
        offsets.sort_unstable();
        let middle = offsets.get(offsets.len() / 2).copied().unwrap_or_default();
        u64::try_from(i64::try_from(steady).unwrap_or_default() + middle).unwrap_or_default()
    }
}

fn offset(wall: u64, steady: u64) -> i64 {
    i64::try_from(wall).unwrap_or_default() - i64::try_from(steady).unwrap_or_default()
}
