//! How many random peers an entry tells of what is new.

/// Number of peers in a small system, and for what is announced again and again.
pub(crate) const FAN_OUT: usize = 8;

/// Number of peers for what is announced once in a large system. If each entry tells 8 others once, one of 300
/// entries is left out with a probability of 0.1 (300 / e^8).
pub(crate) const LARGE_FAN_OUT: usize = 16;

/// Number of entries above which a system is large.
pub(crate) const MAX_SMALL_ENTRIES: usize = 100;
