//! Fault-injecting TCP proxy, which serves any number of links in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::http;
use crate::http::HandlerResult;
use crate::http::HttpRequest;

/// Size of the read buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of chunks queued in each direction of a connection.
const MAX_CHUNKS: usize = 256;

/// How a link treats connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Open connections and all new ones are reset.
    Refuse,
    /// Open connections are reset once; new ones are forwarded.
    Cut,
    /// Open connections and those opened in this mode stay open but never forward anything again,
    /// not even in a later mode. A later `Refuse` or `Cut` resets only those that were opened
    /// before the freeze.
    Freeze,
    /// Open connections stay open but never forward anything again, not even in a later mode; new
    /// ones are forwarded. A later `Refuse` or `Cut` resets the frozen ones, except those that were
    /// opened in `Freeze`.
    FreezeExisting,
    /// Bytes are forwarded after this delay in each direction, in milliseconds.
    Delay(u64),
    /// As soon as the server sends bytes, they are discarded and the connection is reset.
    DropAnswers,
    /// As soon as the client sends bytes, they are discarded and the connection is reset.
    DropRequests,
}

/// Creates a link: `POST /links`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkRequest {
    /// Unique name of the link.
    pub name: String,
    /// Address of the server; without one, the link resets every connection.
    #[serde(default)]
    pub target: Option<SocketAddr>,
}

/// Changes a link: `PUT /links/{name}`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkChange {
    /// New address of the server; `None` keeps the current one.
    pub target: Option<SocketAddr>,
    /// New mode; `None` keeps the current one.
    pub mode: Option<LinkMode>,
}

/// Current state of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkInfo {
    /// Unique name of the link.
    pub name: String,
    /// Address on which the link accepts connections.
    pub listen: SocketAddr,
    /// Address of the server.
    pub target: Option<SocketAddr>,
    /// Mode in force; `Pass` after `Cut` and `FreezeExisting`, which act once.
    pub mode: LinkMode,
    /// Number of open connections.
    pub open: u64,
    /// Number of connections accepted so far.
    pub accepted: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    target: Option<SocketAddr>,
    mode: LinkMode,
    /// Number of changes that reset the open connections.
    resets: u64,
    /// Number of changes that froze the open connections.
    freezes: u64,
}

struct Link {
    name: String,
    listen: SocketAddr,
    state: watch::Sender<LinkState>,
    open: AtomicU64,
    accepted: AtomicU64,
}

struct Proxy {
    links: Mutex<IndexMap<String, Arc<Link>>>,
    stop: CancellationToken,
}

/// Serves the proxy's control API and its links until `stop` is cancelled.
pub async fn run_proxy(listener: TcpListener, stop: CancellationToken) {
    let proxy = Arc::new(Proxy {
        links: Mutex::default(),
        stop: stop.clone(),
    });
    http::serve_requests(listener, stop, move |call| {
        let proxy = Arc::clone(&proxy);
        async move { proxy.handle(call).await }
    })
    .await;
}

impl Proxy {
    async fn handle(&self, call: HttpRequest) -> HandlerResult {
        match (call.method(), call.path_segments().as_slice()) {
            ("GET", ["links"]) => {
                let links = self.links.lock();
                let infos: Vec<LinkInfo> = links.values().map(|l| l.info()).collect();
                Ok(http::json(200, &infos))
            }
            ("POST", ["links"]) => {
                let request: LinkRequest = call.parse_json()?;
                self.create_link(request).await
            }
            ("PUT", ["links", name]) => {
                let change: LinkChange = call.parse_json()?;
                let link = self.links.lock().get(*name).cloned();
                let link = link.ok_or_else(|| http::status_error(404, "no such link"))?;
                link.apply(change);
                Ok(http::json(200, &link.info()))
            }
            _ => Err(http::status_error(404, "no such path")),
        }
    }

    async fn create_link(&self, request: LinkRequest) -> HandlerResult {
        let to_http_error = |error: std::io::Error| http::status_error(500, &error.to_string());
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(to_http_error)?;
        let state = LinkState {
            target: request.target,
            ..LinkState::default()
        };
        let link = Arc::new(Link {
            name: request.name.clone(),
            listen: listener.local_addr().map_err(to_http_error)?,
            state: watch::Sender::new(state),
            open: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
        });
        let mut links = self.links.lock();
        if links.contains_key(&request.name) {
            return Err(http::status_error(409, "a link of this name exists"));
        }
        links.insert(request.name, Arc::clone(&link));
        let info = link.info();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = link.accept(listener, &stop) => {}
            }
        });
        Ok(http::json(200, &info))
    }
}

impl Link {
    fn info(&self) -> LinkInfo {
        let state = *self.state.borrow();
        LinkInfo {
            name: self.name.clone(),
            listen: self.listen,
            target: state.target,
            mode: state.mode,
            open: self.open.load(Ordering::Relaxed),
            accepted: self.accepted.load(Ordering::Relaxed),
        }
    }

    /// Applies a change. `Cut` and `FreezeExisting` act once on the open connections, after which
    /// the mode is `Pass`.
    fn apply(&self, change: LinkChange) {
        self.state.send_modify(|state| {
            state.target = change.target.or(state.target);
            let Some(mode) = change.mode else { return };
            state.mode = match mode {
                LinkMode::Cut | LinkMode::FreezeExisting => LinkMode::Pass,
                lasting => lasting,
            };
            state.resets += u64::from(matches!(mode, LinkMode::Cut | LinkMode::Refuse));
            let freezes = matches!(mode, LinkMode::Freeze | LinkMode::FreezeExisting);
            state.freezes += u64::from(freezes);
        });
    }

    async fn accept(self: &Arc<Self>, listener: TcpListener, stop: &CancellationToken) {
        loop {
            let Ok((client, _)) = listener.accept().await else {
                continue;
            };
            self.accepted.fetch_add(1, Ordering::Relaxed);
            let link = Arc::clone(self);
            let stop = stop.clone();
            tokio::spawn(async move {
                link.open.fetch_add(1, Ordering::Relaxed);
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = link.forward(client) => {}
                }
                link.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    async fn forward(&self, mut client: TcpStream) {
        let state = self.state.subscribe();
        let initial = *state.borrow();
        let _ = client.set_nodelay(true);
        let Some(target) = initial.target.filter(|_| initial.mode != LinkMode::Refuse) else {
            return reset_on_close(&client);
        };
        if initial.mode == LinkMode::Freeze {
            return discard_input(client).await;
        }
        let Ok(mut server) = TcpStream::connect(target).await else {
            return reset_on_close(&client);
        };
        let _ = server.set_nodelay(true);
        if relay(&mut client, &mut server, initial, state)
            .await
            .is_err()
        {
            reset_on_close(&client);
            reset_on_close(&server);
        }
    }
}

/// Makes the later close of a connection send a reset, which the peer cannot mistake for an orderly
/// close.
fn reset_on_close(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Forwards both directions until they end or a change of the link resets the connection.
async fn relay(
    client: &mut TcpStream,
    server: &mut TcpStream,
    initial: LinkState,
    mut state: watch::Receiver<LinkState>,
) -> Result<(), Aborted> {
    let (client_in, client_out) = client.split();
    let (server_in, server_out) = server.split();
    let to_server = Direction {
        initial,
        drop_mode: LinkMode::DropRequests,
        state: state.clone(),
    };
    let to_client = Direction {
        initial,
        drop_mode: LinkMode::DropAnswers,
        state: state.clone(),
    };
    let both = async {
        tokio::try_join!(
            to_server.copy(client_in, server_out),
            to_client.copy(server_in, client_out)
        )
    };
    tokio::select! {
        ended = both => ended.map(|_| ()),
        _ = state.wait_for(|s| s.resets != initial.resets) => Err(Aborted),
    }
}

/// Reads and discards everything, and keeps the connection open after that.
async fn discard_input(mut stream: TcpStream) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
    std::future::pending::<()>().await;
}

/// Error: the connection did not end with an orderly close of both directions.
struct Aborted;

/// One direction of a connection.
struct Direction {
    /// State of the link when the connection was accepted.
    initial: LinkState,
    /// Mode in which the bytes of this direction are discarded.
    drop_mode: LinkMode,
    state: watch::Receiver<LinkState>,
}

impl Direction {
    async fn copy(&self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> Result<(), Aborted> {
        let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
        tokio::try_join!(self.read(from, sender), self.write(to, receiver))?;
        Ok(())
    }

    /// Reads chunks and queues each with the time at which it is due.
    async fn read(
        &self,
        mut from: ReadHalf<'_>,
        sender: mpsc::Sender<(Instant, Bytes)>,
    ) -> Result<(), Aborted> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer).await;
            let state = *self.state.borrow();
            if state.freezes != self.initial.freezes {
                // A close or an error is not forwarded either: a frozen connection stays open.
                match read {
                    Ok(count) if count > 0 => continue,
                    _ => std::future::pending().await,
                }
            }
            let count = read.map_err(|_error| Aborted)?;
            if count > 0 && state.mode == self.drop_mode {
                return Err(Aborted);
            }
            let delay = match state.mode {
                LinkMode::Delay(ms) => Duration::from_millis(ms),
                _ => Duration::ZERO,
            };
            let chunk = Bytes::copy_from_slice(&buffer[..count]);
            if sender.send((Instant::now() + delay, chunk)).await.is_err() {
                return Err(Aborted);
            }
            if count == 0 {
                return Ok(());
            }
        }
    }

    /// Writes the queued chunks when they are due.
    async fn write(
        &self,
        mut to: WriteHalf<'_>,
        mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    ) -> Result<(), Aborted> {
        // An empty chunk marks the orderly close of the direction.
        while let Some((due, chunk)) = chunks.recv().await {
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            if self.state.borrow().freezes != self.initial.freezes {
                continue;
            }
            if chunk.is_empty() {
                let _ = to.shutdown().await;
                break;
            }
            to.write_all(&chunk).await.map_err(|_error| Aborted)?;
        }
        Ok(())
    }
}
