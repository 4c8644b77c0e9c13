//! Limits that endpoints state: request rates and rejections, kept by all entries together.

pub(crate) mod brittle;
pub(crate) mod permit;
pub(crate) mod permit_bucket;
pub(crate) mod rate_limit;
pub(crate) mod warm_up;
