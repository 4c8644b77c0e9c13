//! Bound on the bodies of peers' calls.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use jsonrpsee::core::BoxError;
use jsonrpsee::server::HttpBody;
use tokio::time::Sleep;

use crate::BufferBudget;
use crate::connections::buffer_budget::BufferLease;

/// Time within which the body of a peer's call must have arrived; peers wait much less for the response.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of a peer's call, whose bytes occupy a budget while it is read.
///
/// It fails when the budget is used up or the time is over.
#[derive(Debug)]
pub(crate) struct PeerBody {
    body: HttpBody,
    lease: BufferLease,
    bytes: usize,
    timeout: Pin<Box<Sleep>>,
}

impl PeerBody {
    /// Bounds a body by what is left of a budget.
    pub(crate) fn new(body: HttpBody, budget: Arc<BufferBudget>) -> Self {
        Self {
            body,
            lease: BufferLease::new(budget),
            bytes: 0,
            timeout: Box::pin(tokio::time::sleep(BODY_TIMEOUT)),
        }
    }
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err("the body has not arrived in time".into())));
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            let bytes = self.bytes + data.len();
            if let Err(error) = self.lease.resize(bytes) {
                tracing::warn!(event = "peer_body_refused", bytes);
                return Poll::Ready(Some(Err(error.into())));
            }
            self.bytes = bytes;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
