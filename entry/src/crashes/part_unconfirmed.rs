//! Requests whose responses ended with their connection: whether they completed is not known until
//! the endpoint process responds to a later request.

use std::collections::VecDeque;

use tokio::time::Instant;

use crate::EndpointProcess;
use crate::PartId;

/// Maximum number of requests kept, one for each part; beyond it, the oldest is dropped.
const MAX_REQUESTS: usize = 1024;

/// A request with one part that may have completed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnconfirmedRequest {
    pub(crate) part: PartId,
    pub(crate) process: EndpointProcess,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
}

/// Requests that may have completed, the one that ended first comes first.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedRequests {
    requests: VecDeque<UnconfirmedRequest>,
}

impl UnconfirmedRequests {
    /// Records a request with a part whose response ended with its connection.
    pub(crate) fn record(
        &mut self,
        part: PartId,
        process: EndpointProcess,
        sent: Instant,
        ended: Instant,
    ) {
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(UnconfirmedRequest {
            part,
            process,
            sent,
            ended,
        });
    }

    /// Removes and returns the requests of a process that responded to a request sent at `sent`, as
    /// far as they had ended before.
    pub(crate) fn take_confirmed(
        &mut self,
        process: EndpointProcess,
        sent: Instant,
    ) -> Vec<UnconfirmedRequest> {
        let is_confirmed = |r: &UnconfirmedRequest| r.process == process && r.ended < sent;
        let confirmed = self.requests.iter().filter(|r| is_confirmed(r));
        let confirmed = confirmed.copied().collect();
        self.requests.retain(|request| !is_confirmed(request));
        confirmed
    }
}
