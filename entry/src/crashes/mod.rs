//! Requests and prompt parts that crash endpoints.

pub(crate) mod crash;
pub(crate) mod part_completions;
pub(crate) mod part_crash;
pub(crate) mod part_evidence;
pub(crate) mod part_report;
pub(crate) mod part_suspect;
pub(crate) mod part_unconfirmed;
