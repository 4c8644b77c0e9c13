//! TCP forwarder that counts the bytes it transfers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// TCP forwarder to a server whose address is set after the start.
#[derive(Clone, Debug)]
pub(crate) struct CountingForwarder {
    /// Address on which the forwarder accepts connections.
    pub(crate) listen: SocketAddr,
    server: Arc<OnceLock<SocketAddr>>,
    byte_count: Arc<AtomicU64>,
}

impl CountingForwarder {
    /// Starts a forwarder that adds the bytes of both directions to `byte_count`, which other
    /// forwarders may share. Connections are closed at once until the server's address is set.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub(crate) async fn start(byte_count: Arc<AtomicU64>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let forwarder = Self {
            listen: listener.local_addr()?,
            server: Arc::new(OnceLock::new()),
            byte_count,
        };
        let acceptor = forwarder.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let forwarder = acceptor.clone();
                tokio::spawn(async move { forwarder.forward(client).await });
            }
        });
        Ok(forwarder)
    }

    /// Sets the address of the server; only the first call has an effect.
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
        let copied = copy_and_count(&mut client, &mut server, &self.byte_count);
        let _ = copied.await;
    }
}

/// Copies both directions until both are closed or one fails, and adds the bytes read from either
/// side to `byte_count`.
async fn copy_and_count(
    client: &mut TcpStream,
    server: &mut TcpStream,
    byte_count: &AtomicU64,
) -> std::io::Result<()> {
    let mut client = CountingStream {
        inner: client,
        byte_count,
    };
    let mut server = CountingStream {
        inner: server,
        byte_count,
    };
    copy_bidirectional(&mut client, &mut server).await?;
    Ok(())
}

/// Stream that counts the bytes read from it.
struct CountingStream<'a> {
    inner: &'a mut TcpStream,
    byte_count: &'a AtomicU64,
}

impl tokio::io::AsyncRead for CountingStream<'_> {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = std::pin::Pin::new(&mut *self.inner).poll_read(cx, buffer);
        let read_bytes = buffer.filled().len() - filled_before;
        self.byte_count
            .fetch_add(read_bytes as u64, Ordering::Relaxed);
        result
    }
}

impl tokio::io::AsyncWrite for CountingStream<'_> {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        data: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut *self.inner).poll_write(cx, data)
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
