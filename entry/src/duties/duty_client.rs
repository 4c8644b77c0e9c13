//! Interface to the platform operations that the duties need.

use crate::FencingToken;
use crate::FleetOrder;
use crate::LeaseRead;
use crate::LeaseRecord;
use crate::RolloutStatus;
use crate::ServiceName;
use crate::StoreEra;
use crate::UsageReport;

/// Failure of a platform operation needed by a duty.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum DutyError {
    /// a higher fencing token has already been used
    Fenced,
    /// no endpoints of this kind are available at present
    NoneAvailable,
    /// the operation was refused or failed: {0}
    Refused(String),
    /// outcome unknown, the operation may still take effect: {0}
    Unknown(String),
}

/// Outcome of a conditional append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConditionalAppend {
    /// The record was appended at this offset.
    Appended(u64),
    /// Nothing was appended because the stream ends at this offset instead.
    Conflict(u64),
}

/// Result of reading the published status of a rollout.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StatusRead {
    /// Newest status of the service, or `None` if there is none or it cannot be decoded.
    pub status: Option<RolloutStatus>,
    /// Offset after the newest status of any service.
    pub end: u64,
}

/// Platform operations that the duties need.
pub trait DutyClient: Send + Sync + 'static {
    /// Returns the newest era of the store that any of its responses has named.
    fn store_era(&self) -> StoreEra;

    /// Reads the lease stream from an offset to its end.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the stream cannot be read.
    fn read_lease(&self, from: u64) -> impl Future<Output = Result<LeaseRead, DutyError>> + Send;

    /// Appends a record on the condition that the stream ends at offset `end`.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the append failed or its outcome is unknown.
    fn append_lease(
        &self,
        record: &LeaseRecord,
        end: u64,
    ) -> impl Future<Output = Result<ConditionalAppend, DutyError>> + Send;

    /// Sends the usage report of a window to the platform.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the report was not accepted.
    fn report_usage(
        &self,
        token: FencingToken,
        report: &UsageReport,
    ) -> impl Future<Output = Result<(), DutyError>> + Send;

    /// Orders endpoints from the platform.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the order was not accepted.
    fn order(
        &self,
        token: FencingToken,
        order: &FleetOrder,
    ) -> impl Future<Output = Result<(), DutyError>> + Send;

    /// Reads the newest published status of a service's rollout.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the status cannot be read.
    fn read_rollout_status(
        &self,
        service: &ServiceName,
    ) -> impl Future<Output = Result<StatusRead, DutyError>> + Send;

    /// Publishes the status of a rollout on the condition that the statuses end at offset `end`.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the status may not have been published.
    fn publish_rollout_status(
        &self,
        status: &RolloutStatus,
        end: u64,
    ) -> impl Future<Output = Result<ConditionalAppend, DutyError>> + Send;
}
