//! Limit on what a server may send without a response, or any of its body, coming of it; ends of connections
//! whose exchange is given up.
//!
//! The HTTP library goes on parsing for as long as the socket has bytes: interim heads, or the frame
//! of a chunk that never begins, would keep the process from everything else.

use std::io::Error;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of bytes that are read without a complete head or a part of a body; more than the
/// read buffer of a connection holds, as that may be filled before its contents are delivered.
const MAX_UNDELIVERED_BYTES: usize = 24 * 1024;

/// Number of bytes that an interim head counts for, in addition to its own: parsing it takes longer than
/// reading it.
const INTERIM_HEAD_BYTES: usize = 1024;

/// Counts the bytes that were read from a server since something was delivered; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadMeter {
    undelivered: Arc<AtomicUsize>,
    in_exchange: Arc<AtomicBool>,
}

impl ReadMeter {
    /// Records that a request is sent.
    pub(crate) fn begin_exchange(&self) {
        self.in_exchange.store(true, Ordering::Relaxed);
        self.reset();
    }

    /// Records that the whole response was delivered.
    pub(crate) fn end_exchange(&self) {
        self.in_exchange.store(false, Ordering::Relaxed);
    }

    fn is_in_exchange(&self) -> bool {
        self.in_exchange.load(Ordering::Relaxed)
    }

    /// Records that a head or a part of a body was delivered.
    pub(crate) fn reset(&self) {
        self.undelivered.store(0, Ordering::Relaxed);
    }

    /// Records an interim head.
    pub(crate) fn record_interim_head(&self) {
        self.record(INTERIM_HEAD_BYTES);
    }

    fn record(&self, count: usize) {
        self.undelivered.fetch_add(count, Ordering::Relaxed);
    }

    fn is_exhausted(&self) -> bool {
        self.undelivered.load(Ordering::Relaxed) >= MAX_UNDELIVERED_BYTES
    }
}

/// Connection to a server whose reads fail once its meter is exhausted.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: ReadMeter,
}

impl MeteredStream {
    pub(crate) const fn new(stream: TcpStream, meter: ReadMeter) -> Self {
        Self { stream, meter }
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        if !self.meter.is_in_exchange() {
            return;
        }
        // What the system has not sent yet must not arrive long after the request was given up.
        if let Err(error) = self.stream.set_zero_linger() {
            tracing::debug!(event = "socket_option_refused", %error);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.meter.is_exhausted() {
            let error = Error::new(
                ErrorKind::InvalidData,
                "bytes without end that are no response",
            );
            return Poll::Ready(Err(error));
        }
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.meter.record(buf.filled().len() - filled);
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.meter.is_in_exchange() {
            // The connection is reset when it is dropped.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
