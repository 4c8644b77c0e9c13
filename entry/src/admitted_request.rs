//! A request that an entry has accepted.

use std::sync::Arc;

use tokio::time::Instant;

use crate::Call;
use crate::Config;
use crate::CustomerName;
use crate::Fingerprint;
use crate::Route;

/// An admitted request with its route, customer, priority and deadline.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) call: Arc<Call>,
    pub(crate) config: Arc<Config>,
    pub(crate) route: Route,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) priority: u8,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Instant,
    /// Whether a peer has admitted, charged and forwarded the request.
    pub(crate) is_forwarded: bool,
}
