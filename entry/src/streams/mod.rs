//! Relaying of event streams to callers.

pub(crate) mod relay;
pub(crate) mod relay_silence;
pub(crate) mod sse;
pub(crate) mod stream_source;
