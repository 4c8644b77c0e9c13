//! Stream of a caller's connection, whose reads are bounded and recorded in a budget.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::callers::caller_budget::CallerConnection;

/// Maximum size of a read, in bytes. One byte less than hyper's initial read buffer: hyper doubles the
/// buffer after a read that fills it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Maximum number of bytes that are read and dropped after a response to a request whose body has not been
/// read, and the time for that. A close with unread bytes is a reset, which may overtake the response.
const MAX_LINGER_BYTES: usize = 256 * 1024;
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Stream of a caller's connection.
#[derive(Debug)]
pub(crate) struct CallerIo {
    pub(crate) stream: TcpStream,
    pub(crate) connection: Arc<CallerConnection>,
}

impl AsyncRead for CallerIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            // The buffer of a connection without data is not touched.
            ready!(self.stream.poll_read_ready(cx))?;
            let size = buf.remaining().min(MAX_READ_BYTES);
            match self.stream.try_read(buf.initialize_unfilled_to(size)) {
                Ok(count) => {
                    let recorded = self.connection.record_read(count);
                    if recorded.is_err() {
                        self.connection.record("head_refused");
                        return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
                    }
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl CallerIo {
    /// Reads and drops a bounded part of what the caller still sends after the response.
    pub(crate) async fn linger(mut self) {
        let mut buffer = [0; 4096];
        let mut left = MAX_LINGER_BYTES;
        let reading = async {
            while left > 0 {
                match self.stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => left = left.saturating_sub(count),
                }
            }
        };
        if tokio::time::timeout(LINGER_TIMEOUT, reading).await.is_err() {
            tracing::debug!(event = "linger_ended");
        }
    }
}
