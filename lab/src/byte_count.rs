//! Counts the bytes that pass through a TCP forwarder.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Forwarder to a server that is named later.
#[derive(Clone, Debug)]
pub(crate) struct ByteCount {
    /// Address on which connections are accepted.
    pub(crate) listen: SocketAddr,
    server: Arc<OnceLock<SocketAddr>>,
    bytes: Arc<AtomicU64>,
}

impl ByteCount {
    /// Starts a forwarder, all of which add to `bytes`.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub(crate) async fn start(bytes: Arc<AtomicU64>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let forwarder = Self {
            listen: listener.local_addr()?,
            server: Arc::new(OnceLock::new()),
            bytes,
        };
        let accepting = forwarder.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let forwarder = accepting.clone();
                tokio::spawn(async move { forwarder.forward(client).await });
            }
        });
        Ok(forwarder)
    }

    /// Names the server.
    pub(crate) fn set_server(&self, server: SocketAddr) {
        let _ = self.server.set(server);
    }

    async fn forward(&self, mut client: TcpStream) {
        let Some(server) = self.server.get() else {
            return;
        };
        let Ok(mut server) = TcpStream::connect(server).await else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let counted = counted_copy(&mut client, &mut server, &self.bytes);
        let _ = counted.await;
    }
}

async fn counted_copy(
    client: &mut TcpStream,
    server: &mut TcpStream,
    bytes: &AtomicU64,
) -> std::io::Result<()> {
    let mut client = Counted {
        inner: client,
        bytes,
    };
    let mut server = Counted {
        inner: server,
        bytes,
    };
    copy_bidirectional(&mut client, &mut server).await?;
    Ok(())
}

/// A stream that counts the bytes read from it.
struct Counted<'a> {
    inner: &'a mut TcpStream,
    bytes: &'a AtomicU64,
}

impl tokio::io::AsyncRead for Counted<'_> {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = std::pin::Pin::new(&mut *self.inner).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        self.bytes.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl tokio::io::AsyncWrite for Counted<'_> {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut *self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut *self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut *self.inner).poll_shutdown(cx)
    }
}
