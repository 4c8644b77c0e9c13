//! Forwards requests to peers while this entry does not reach the endpoints itself.
//!
//! The peer serves a forwarded request as it serves those of its own callers, except that this entry
//! has admitted and charged it. Whatever holds for what an entry sends to an endpoint (pauses, rate
//! limits, leaving) therefore holds for forwarded requests too. A peer never forwards them again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::BufferBudget;
use crate::ChunkStream;
use crate::Connection;
use crate::ConnectionPool;
use crate::EndpointNotice;
use crate::EndpointResponse;
use crate::EntryName;
use crate::ExchangeError;
use crate::ForwardTries;
use crate::Interruption;
use crate::Node;
use crate::PoolSlot;
use crate::PooledBody;
use crate::Refusal;
use crate::RefusalKind;
use crate::ResponseBody;
use crate::SendFailure;
use crate::attempt::Attempts;
use crate::attempt::MIN_SEND_TIME;
use crate::attempt::NO_ENDPOINT_RETRY_AFTER;
use crate::connections::connection::MAX_NON_RETRYABLE_IDLE_TIME;
use crate::forwarding::forward_wire;
use crate::forwarding::forward_wire::ForwardHead;
use crate::forwarding::forward_wire::ForwardOutcome;
use crate::peers::owner::SilentPeers;

/// Number of endpoints that a request could not be written to, after which it is forwarded, or refused
/// if a peer has forwarded it.
pub(crate) const MAX_UNREACHED_ENDPOINTS: usize = 2;

/// Maximum number of idle connections kept per peer.
const MAX_IDLE_PER_PEER: usize = 4;

/// Time after which an entry that is cut off refuses what no peer takes, instead of trying endpoints:
/// a sound endpoint may be silent for a moment.
const HOPELESS_AFTER: Duration = Duration::from_secs(1);

/// Connections to peers for forwarded requests, and the peers that did not take one lately.
#[derive(Debug)]
pub struct ForwardClient {
    pool: Arc<ConnectionPool>,
    avoided: Mutex<SilentPeers>,
    tries: Mutex<ForwardTries>,
}

impl ForwardClient {
    /// Creates a client without connections whose responses are buffered within a budget.
    pub(crate) fn new(buffers: &Arc<BufferBudget>) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(Arc::clone(buffers))),
            avoided: Mutex::default(),
            tries: Mutex::default(),
        }
    }

    /// Closes connections whose idle timeout has passed.
    pub fn evict_idle(&self) {
        self.pool.evict_idle();
    }
}

/// A peer that reaches endpoints.
#[derive(Clone, Debug)]
pub(crate) struct ForwardPeer {
    name: EntryName,
    address: SocketAddr,
}

/// Reason why a peer did not serve a request.
#[derive(Debug)]
enum ForwardFailure {
    /// The peer did not get the request, or cannot serve any; another may.
    Unavailable(String),
    /// The peer refused the request.
    Refused(Refusal),
    /// An endpoint may have run the request.
    MayHaveRun(Interruption),
}

impl From<SendFailure> for ForwardFailure {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::MayHaveRun(interruption) => Self::MayHaveRun(interruption),
            other => Self::Unavailable(other.to_string()),
        }
    }
}

/// Body of a response of an endpoint, received from it or through a peer.
#[derive(Debug)]
pub(crate) enum SentBody<B> {
    /// Body that the endpoint sends to this entry.
    Direct(B),
    /// Body that a peer passes on.
    Forwarded(Box<PooledBody>),
}

impl<B> SentBody<B> {
    pub(crate) const fn is_forwarded(&self) -> bool {
        matches!(self, Self::Forwarded(_))
    }
}

impl<B: ChunkStream> ChunkStream for SentBody<B> {
    async fn next(&mut self) -> Result<Option<Bytes>, Interruption> {
        match self {
            Self::Direct(body) => body.next().await,
            Self::Forwarded(body) => body.next().await,
        }
    }

    fn states_end(&self) -> bool {
        match self {
            Self::Direct(body) => body.states_end(),
            Self::Forwarded(body) => body.states_end(),
        }
    }
}

/// How the next send of a request is made.
#[derive(Debug)]
pub(crate) enum SendPath {
    /// To an endpoint.
    Direct,
    /// Through a peer.
    ThroughPeer(ForwardPeer),
}

impl Attempts {
    /// Returns whether the next send goes to an endpoint or through a peer.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if this entry is cut off and no peer is left to try.
    pub(crate) fn choose_path(&self, node: &Node) -> Result<SendPath, Refusal> {
        let cut_since = node.reach.lock().cut_since();
        let is_unreached = self.unreached >= MAX_UNREACHED_ENDPOINTS;
        if self.is_forwarded() || (cut_since.is_none() && !is_unreached) {
            return Ok(SendPath::Direct);
        }
        let max_peers = node.forwards.tries.lock().max_peers(Instant::now());
        let has_tries = self.tried_peers.len() < max_peers;
        let peer = has_tries.then(|| self.choose_peer(node)).flatten();
        let is_hopeless = cut_since.is_some_and(|since| since.elapsed() >= HOPELESS_AFTER);
        match peer {
            Some(peer) => Ok(SendPath::ThroughPeer(peer)),
            None if is_hopeless => {
                let after = Some(NO_ENDPOINT_RETRY_AFTER);
                Err(self.final_refusal(RefusalKind::NoEndpoint, after))
            }
            None => Ok(SendPath::Direct),
        }
    }

    /// Chooses a random peer that reaches endpoints and was not tried.
    fn choose_peer(&self, node: &Node) -> Option<ForwardPeer> {
        let now = Instant::now();
        let avoided = node.forwards.avoided.lock();
        let members = node.members.lock();
        let peers = members.live(now).map(|p| &p.state);
        let peers = peers.filter(|s| s.ready && s.reaches_endpoints);
        let peers = peers.filter(|s| !self.tried_peers.contains(&s.name));
        let peers = peers.filter(|s| !avoided.contains(&s.name, now));
        let peers = peers.filter_map(|s| {
            let address = s.forward_address?;
            Some((&s.name, address))
        });
        let (name, address) = peers.choose(&mut rand::rng())?;
        Some(ForwardPeer {
            name: name.clone(),
            address,
        })
    }

    /// Sends the request through a peer; returns `None` if another send is due.
    ///
    /// # Errors
    ///
    /// Returns the final refusal when the request is not sent again.
    pub(crate) async fn forward<B>(
        &mut self,
        node: &Node,
        peer: ForwardPeer,
    ) -> Result<Option<EndpointResponse<SentBody<B>>>, Refusal> {
        let started = Instant::now();
        if self.request.deadline.saturating_duration_since(started) < MIN_SEND_TIME {
            return Err(self.final_refusal(RefusalKind::Expired, None));
        }
        // Stays set if shutdown drops the exchange.
        self.is_sending = true;
        let sent = self.exchange_with_peer(node, &peer).await;
        self.is_sending = false;
        self.log_forward(&peer, started, &sent);
        let outcome = if sent.is_ok() {
            "forwarded"
        } else {
            "not_forwarded"
        };
        node.metrics.record_send(outcome);
        self.tried_peers.push(peer.name.clone());
        let is_taken = !matches!(sent, Err(ForwardFailure::Unavailable(_)));
        node.forwards.tries.lock().record(is_taken, Instant::now());
        match sent {
            Ok(response) => {
                self.sends += 1;
                Ok(Some(response))
            }
            Err(ForwardFailure::Unavailable(_)) => {
                node.forwards.avoided.lock().record(&peer.name, started);
                Ok(None)
            }
            Err(ForwardFailure::Refused(refusal)) => {
                Err(self.final_refusal(refusal.kind, refusal.retry_after))
            }
            Err(ForwardFailure::MayHaveRun(_)) => {
                self.sends += 1;
                self.may_have_run = true;
                if self.kind().is_retryable() && self.take_retry(node) {
                    return Ok(None);
                }
                Err(self.final_refusal(RefusalKind::Broken, None))
            }
        }
    }

    async fn exchange_with_peer<B>(
        &self,
        node: &Node,
        peer: &ForwardPeer,
    ) -> Result<EndpointResponse<SentBody<B>>, ForwardFailure> {
        let call = &self.request.call;
        let unavailable =
            |error: &dyn std::fmt::Display| ForwardFailure::Unavailable(error.to_string());
        let request = forward_wire::encode_request(&self.forward_head(), call)
            .map_err(|error| unavailable(&error))?;
        let pool = &node.forwards.pool;
        let pooled = pool.take(peer.address, MAX_NON_RETRYABLE_IDLE_TIME, &call.id);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => open(peer.address).await?,
        };
        let exchange = tokio::time::timeout_at(self.request.deadline, async {
            connection.exchange(request).await
        });
        let response = exchange.await.map_err(|_elapsed| {
            let reason = "no response before the deadline".to_owned();
            ForwardFailure::MayHaveRun(Interruption::TimedOut(reason))
        })?;
        let response = response.map_err(|error| ForwardFailure::from(SendFailure::from(error)))?;
        let slot = PoolSlot {
            pool: Arc::clone(pool),
            server: peer.address,
            max_idle: MAX_IDLE_PER_PEER,
        };
        read_response(response, connection, slot, self.request.deadline).await
    }

    fn forward_head(&self) -> ForwardHead {
        let request = &self.request;
        let call = &request.call;
        ForwardHead {
            id: call.id.clone(),
            host: call.host.clone(),
            key: call.key.clone(),
            time_left: request.deadline.saturating_duration_since(Instant::now()),
            prompt: call.prompt.clone(),
            last_event: self.last_event,
            service: self.service.clone(),
            sends: self.sends,
            config: request.config.version,
        }
    }

    fn log_forward<B>(
        &self,
        peer: &ForwardPeer,
        started: Instant,
        sent: &Result<EndpointResponse<SentBody<B>>, ForwardFailure>,
    ) {
        let failure = match sent {
            Ok(_) if !crate::log_limit::allows("forwarded") => return,
            Ok(_) => None,
            Err(ForwardFailure::Unavailable(reason)) => Some(reason.clone()),
            Err(ForwardFailure::Refused(refusal)) => Some(refusal.kind.to_string()),
            Err(ForwardFailure::MayHaveRun(interruption)) => Some(interruption.to_string()),
        };
        tracing::info!(
            event = "forwarded",
            id = self.request.call.id,
            peer = %peer.name,
            sends = self.sends,
            last_event = self.last_event,
            after_ms = crate::millis(started.elapsed()),
            failure,
        );
    }
}

async fn open(address: SocketAddr) -> Result<Connection, ForwardFailure> {
    let opened = Connection::open(address).await;
    opened.map_err(|error: ExchangeError| ForwardFailure::Unavailable(error.to_string()))
}

/// Reads a peer's response, except for the events of a stream.
async fn read_response<B>(
    response: Response<Incoming>,
    connection: Connection,
    mut slot: PoolSlot,
    deadline: Instant,
) -> Result<EndpointResponse<SentBody<B>>, ForwardFailure> {
    let Some(outcome) = ForwardOutcome::of(response.headers()) else {
        let reason = "the peer's response has no outcome".to_owned();
        return Err(ForwardFailure::MayHaveRun(Interruption::InvalidResponse(
            reason,
        )));
    };
    if outcome == ForwardOutcome::Refused {
        // Another peer is asked next.
        slot.max_idle = 0;
    }
    let status = response.status().as_u16();
    let headers = forward_wire::endpoint_headers(response.headers());
    let mut body = PooledBody::new(response, connection, slot);
    let states_end = body.states_end();
    let body = if outcome == ForwardOutcome::Stream {
        ResponseBody::Stream(SentBody::Forwarded(Box::new(body)))
    } else {
        let whole = tokio::time::timeout_at(deadline, body.read_whole()).await;
        let whole = whole.map_err(|_elapsed| {
            let reason = "no complete response before the deadline".to_owned();
            ForwardFailure::MayHaveRun(Interruption::TimedOut(reason))
        })?;
        let whole = whole.map_err(ForwardFailure::MayHaveRun)?;
        if outcome == ForwardOutcome::Refused {
            return Err(refused(&whole));
        }
        ResponseBody::Whole(whole)
    };
    Ok(EndpointResponse {
        status,
        headers,
        body,
        states_end,
        closing: false,
        notice: EndpointNotice::default(),
    })
}

/// Returns what the refusal of a peer means for the request.
fn refused(body: &[u8]) -> ForwardFailure {
    let refusal = match forward_wire::decode_refusal(body) {
        Ok(refusal) => refusal,
        Err(error) => {
            let reason = error.to_string();
            return ForwardFailure::MayHaveRun(Interruption::InvalidResponse(reason));
        }
    };
    match refusal.kind {
        RefusalKind::Broken | RefusalKind::TimedOut => {
            ForwardFailure::MayHaveRun(Interruption::TimedOut(refusal.kind.to_string()))
        }
        // Another peer may know more or reach more.
        RefusalKind::BadRequest
        | RefusalKind::BodyTooLarge
        | RefusalKind::NoConfig
        | RefusalKind::NoEndpoint
        | RefusalKind::Stopping => ForwardFailure::Unavailable(refusal.kind.to_string()),
        _ => ForwardFailure::Refused(refusal),
    }
}
