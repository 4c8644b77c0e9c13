//! Fault-injecting TCP proxy: one process, many links.

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

use crate::reply;
use crate::reply::Answer;
use crate::reply::Call;

/// Size of the buffer of a direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Chunks in flight in a direction.
const CHUNKS: usize = 256;

/// What a link does with connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// Bytes pass.
    #[default]
    Pass,
    /// Open connections are reset, and so is every new one.
    Refuse,
    /// Open connections are reset once; then bytes pass.
    Cut,
    /// Open connections and those opened in this mode go silent for good.
    Freeze,
    /// Open connections go silent for good; new ones pass.
    FreezeExisting,
    /// Bytes pass after this many milliseconds in each direction.
    Delay(u64),
    /// The server's bytes are swallowed and the connection is closed.
    DropAnswers,
    /// The client's bytes are swallowed and the connection is closed.
    DropRequests,
}

/// Creates a link: `POST /links`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkRequest {
    /// Name.
    pub name: String,
    /// Server; a link without one refuses.
    #[serde(default)]
    pub target: Option<SocketAddr>,
}

/// Changes a link: `PUT /links/{name}`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkChange {
    /// New server.
    pub target: Option<SocketAddr>,
    /// New mode.
    pub mode: Option<LinkMode>,
}

/// A link as it stands.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkInfo {
    /// Name.
    pub name: String,
    /// Address on which the link accepts connections.
    pub listen: SocketAddr,
    /// Server.
    pub target: Option<SocketAddr>,
    /// Mode.
    pub mode: LinkMode,
    /// Connections open.
    pub open: u64,
    /// Connections accepted so far.
    pub accepted: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    target: Option<SocketAddr>,
    mode: LinkMode,
    cuts: u64,
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

/// Serves the proxy's control interface and its links until `stop` is cancelled.
pub async fn run_proxy(listener: TcpListener, stop: CancellationToken) {
    let proxy = Arc::new(Proxy {
        links: Mutex::default(),
        stop: stop.clone(),
    });
    reply::host(listener, stop, move |call| {
        let proxy = Arc::clone(&proxy);
        async move { proxy.answer(call).await }
    })
    .await;
}

impl Proxy {
    async fn answer(&self, call: Call) -> Answer {
        match (call.method(), call.segments().as_slice()) {
            ("GET", ["links"]) => {
                let links = self.links.lock();
                let infos: Vec<LinkInfo> = links.values().map(|l| l.info()).collect();
                Ok(reply::json(200, &infos))
            }
            ("POST", ["links"]) => {
                let wanted: LinkRequest = call.parse()?;
                self.create(wanted).await
            }
            ("PUT", ["links", name]) => {
                let change: LinkChange = call.parse()?;
                let link = self.links.lock().get(*name).cloned();
                let link = link.ok_or_else(|| reply::refuse(404, "no such link"))?;
                link.change(change);
                Ok(reply::json(200, &link.info()))
            }
            _ => Err(reply::refuse(404, "no such path")),
        }
    }

    async fn create(&self, wanted: LinkRequest) -> Answer {
        let failed = |error: std::io::Error| reply::refuse(500, &error.to_string());
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
        let state = LinkState {
            target: wanted.target,
            ..LinkState::default()
        };
        let link = Arc::new(Link {
            name: wanted.name.clone(),
            listen: listener.local_addr().map_err(failed)?,
            state: watch::Sender::new(state),
            open: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
        });
        let mut links = self.links.lock();
        if links.contains_key(&wanted.name) {
            return Err(reply::refuse(409, "a link of this name exists"));
        }
        links.insert(wanted.name, Arc::clone(&link));
        let info = link.info();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = link.accept(listener, &stop) => {}
            }
        });
        Ok(reply::json(200, &info))
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

    fn change(&self, change: LinkChange) {
        self.state.send_modify(|state| {
            state.target = change.target.or(state.target);
            let Some(mode) = change.mode else { return };
            state.mode = match mode {
                LinkMode::Cut | LinkMode::FreezeExisting => LinkMode::Pass,
                kept => kept,
            };
            state.cuts += u64::from(matches!(mode, LinkMode::Cut | LinkMode::Refuse));
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
        let changes = self.state.subscribe();
        let first = *changes.borrow();
        let _ = client.set_nodelay(true);
        let Some(target) = first.target.filter(|_| first.mode != LinkMode::Refuse) else {
            return reset(&client);
        };
        if first.mode == LinkMode::Freeze {
            return swallow(client).await;
        }
        let Ok(mut server) = TcpStream::connect(target).await else {
            return reset(&client);
        };
        let _ = server.set_nodelay(true);
        if relay(&mut client, &mut server, first, changes)
            .await
            .is_err()
        {
            reset(&client);
            reset(&server);
        }
    }
}

/// Makes the closing of a connection a reset, so that it is not taken for an orderly end.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn relay(
    client: &mut TcpStream,
    server: &mut TcpStream,
    first: LinkState,
    mut changes: watch::Receiver<LinkState>,
) -> Result<(), Broken> {
    let (client_in, client_out) = client.split();
    let (server_in, server_out) = server.split();
    let up = Direction {
        first,
        dropping: LinkMode::DropRequests,
        changes: changes.clone(),
    };
    let down = Direction {
        first,
        dropping: LinkMode::DropAnswers,
        changes: changes.clone(),
    };
    let both = async {
        tokio::try_join!(
            up.copy(client_in, server_out),
            down.copy(server_in, client_out)
        )
    };
    tokio::select! {
        ended = both => ended.map(|_| ()),
        _ = changes.wait_for(|s| s.cuts != first.cuts) => Err(Broken),
    }
}

async fn swallow(mut stream: TcpStream) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
    std::future::pending::<()>().await;
}

/// The connection ended other than by an orderly end of both directions.
struct Broken;

/// One direction of a connection.
struct Direction {
    first: LinkState,
    dropping: LinkMode,
    changes: watch::Receiver<LinkState>,
}

impl Direction {
    async fn copy(&self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> Result<(), Broken> {
        let (sender, receiver) = mpsc::channel(CHUNKS);
        tokio::try_join!(self.read(from, sender), self.write(to, receiver))?;
        Ok(())
    }

    async fn read(
        &self,
        mut from: ReadHalf<'_>,
        sender: mpsc::Sender<(Instant, Bytes)>,
    ) -> Result<(), Broken> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer).await;
            let state = *self.changes.borrow();
            if state.freezes != self.first.freezes {
                // Ends and errors are not passed on either: the other end learns nothing.
                match read {
                    Ok(count) if count > 0 => continue,
                    _ => std::future::pending().await,
                }
            }
            let count = read.map_err(|_error| Broken)?;
            if count > 0 && state.mode == self.dropping {
                return Err(Broken);
            }
            let delay = match state.mode {
                LinkMode::Delay(ms) => Duration::from_millis(ms),
                _ => Duration::ZERO,
            };
            let chunk = Bytes::copy_from_slice(&buffer[..count]);
            if sender.send((Instant::now() + delay, chunk)).await.is_err() {
                return Err(Broken);
            }
            if count == 0 {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        mut to: WriteHalf<'_>,
        mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    ) -> Result<(), Broken> {
        // An empty chunk stands for the orderly end of the direction.
        while let Some((due, chunk)) = chunks.recv().await {
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            if self.changes.borrow().freezes != self.first.freezes {
                continue;
            }
            if chunk.is_empty() {
                let _ = to.shutdown().await;
                break;
            }
            to.write_all(&chunk).await.map_err(|_error| Broken)?;
        }
        Ok(())
    }
}
