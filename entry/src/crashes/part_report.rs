//! What entries tell each other of prompt parts that crash endpoints.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::EndpointId;
use crate::PartId;

/// One process of an endpoint, as a hash of its id and incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct EndpointProcess(pub u64);

impl EndpointProcess {
    /// Returns the process that an endpoint started with an incarnation.
    pub fn new(id: &EndpointId, incarnation: u64) -> Self {
        let id = id.as_str().as_bytes();
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(id, incarnation))
    }
}

/// What an entry tells its peers of a part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// Part of prompts.
    pub part: PartId,
    /// Endpoint processes that crashed under requests with the part, each with the time since, in
    /// milliseconds.
    pub crashes: Vec<(EndpointProcess, u64)>,
    /// Requests with the part that completed through the reporting entry.
    pub completed: u64,
    /// Times since the newest of them were sent, in milliseconds.
    #[serde(default)]
    pub completed_sends: Vec<u64>,
}

impl PartReport {
    /// Adds the time for which the report was kept before it is sent.
    pub(crate) fn add_age(&mut self, kept: Duration) {
        let kept_ms = crate::millis(kept);
        let crash_ages = self.crashes.iter_mut().map(|(_, age_ms)| age_ms);
        for age_ms in crash_ages.chain(&mut self.completed_sends) {
            *age_ms = age_ms.saturating_add(kept_ms);
        }
    }
}
