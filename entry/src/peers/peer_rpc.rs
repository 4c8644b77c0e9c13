//! Calls between entries over JSON-RPC.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flate2::Compression;
use indexmap::IndexMap;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::HttpBody;
use jsonrpsee::server::HttpRequest;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::types::ErrorCode;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::METHOD_NOT_FOUND_CODE;
use parking_lot::Mutex;
use tokio::time::Instant;
use tower::ServiceBuilder;

use crate::BufferBudget;
use crate::ConnectionPool;
use crate::EndpointPage;
use crate::GossipReply;
use crate::GossipRequest;
use crate::ListCopy;
use crate::News;
use crate::Node;
use crate::OrdersPage;
use crate::Packed;
use crate::PageOutcome;
use crate::PermitReply;
use crate::PermitRequest;
use crate::QuotaCopy;
use crate::QuotaDecision;
use crate::QuotaRequest;
use crate::SendEnd;
use crate::UsageDelivery;
use crate::apply_ends;
use crate::apply_news;
use crate::apply_page;
use crate::decide_permit;
use crate::feeds::order_relay::take_orders;
use crate::give_list;
use crate::handle_exchange;
use crate::peers::peer_body::PeerBody;
use crate::peers::peer_transport::PeerRpc;
use crate::peers::peer_transport::connect_peer;
use crate::quota::copies::apply_copies;
use crate::quota::owner::handle_charge;

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without a response after which a small call that may be repeated is sent again on a new connection,
/// as the open ones may have fallen silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a peer that lacks compressed messages is sent plain ones; its VM may be replaced by one of
/// a newer build.
const PLAIN_PERIOD: Duration = Duration::from_mins(1);

/// RPC interface between entries.
#[rpc(client, server, namespace = "entry")]
pub trait EntryRpc {
    /// Exchanges states, configuration and the endpoint list.
    #[method(name = "exchange")]
    async fn exchange(&self, exchange: GossipRequest) -> RpcResult<GossipReply>;

    /// Like `exchange`, with compressed messages.
    #[method(name = "gossip")]
    async fn gossip(&self, exchange: Packed) -> RpcResult<Packed>;

    /// Delivers the usage that the calling entry has counted.
    #[method(name = "usage")]
    async fn usage(&self, delivery: UsageDelivery) -> RpcResult<()>;

    /// Passes on updates of the endpoint list; returns whether they were applied.
    #[method(name = "endpoints")]
    async fn endpoints(&self, page: EndpointPage) -> RpcResult<bool>;

    /// Passes on operator commands; returns whether the entry has them now.
    #[method(name = "orders")]
    async fn orders(&self, page: OrdersPage) -> RpcResult<bool>;

    /// Returns a copy of the endpoint list, if the entry has it and gives one now.
    #[method(name = "list")]
    async fn list(&self) -> RpcResult<Option<ListCopy>>;

    /// Charges a customer's quota at the customer's owner.
    #[method(name = "charge")]
    async fn charge(&self, request: QuotaRequest) -> RpcResult<Option<QuotaDecision>>;

    /// Sends the entries that take over a customer's quota a copy of its bucket.
    #[method(name = "quota_copies")]
    async fn quota_copies(&self, copies: Vec<QuotaCopy>) -> RpcResult<()>;

    /// Asks the owner of an endpoint's rate limit for a permit to send one request.
    #[method(name = "permit")]
    async fn permit(&self, request: PermitRequest) -> RpcResult<PermitReply>;

    /// Tells the owner of endpoints' limits of requests that ended.
    #[method(name = "ends")]
    async fn ends(&self, ends: Vec<SendEnd>) -> RpcResult<()>;

    /// Announces what endpoints have said.
    #[method(name = "news")]
    async fn news(&self, news: News) -> RpcResult<()>;
}

struct PeerHandler {
    node: Arc<Node>,
}

#[async_trait]
impl EntryRpcServer for PeerHandler {
    async fn exchange(&self, exchange: GossipRequest) -> RpcResult<GossipReply> {
        Ok(handle_exchange(&self.node, exchange))
    }

    async fn gossip(&self, exchange: Packed) -> RpcResult<Packed> {
        let exchange = exchange.unpack();
        let exchange = exchange.ok_or_else(|| ErrorObjectOwned::from(ErrorCode::InvalidParams))?;
        let reply = handle_exchange(&self.node, exchange);
        let reply = Packed::new(&reply, Compression::fast());
        reply.ok_or_else(|| ErrorObjectOwned::from(ErrorCode::InternalError))
    }

    async fn usage(&self, delivery: UsageDelivery) -> RpcResult<()> {
        self.node.members.lock().record_usage(&delivery);
        Ok(())
    }

    async fn endpoints(&self, page: EndpointPage) -> RpcResult<bool> {
        Ok(apply_page(&self.node, page))
    }

    async fn orders(&self, page: OrdersPage) -> RpcResult<bool> {
        let outcome = take_orders(&self.node, page).await;
        Ok(outcome != PageOutcome::Ignored)
    }

    async fn list(&self) -> RpcResult<Option<ListCopy>> {
        Ok(give_list(&self.node))
    }

    async fn charge(&self, request: QuotaRequest) -> RpcResult<Option<QuotaDecision>> {
        Ok(handle_charge(&self.node, request).await)
    }

    async fn quota_copies(&self, copies: Vec<QuotaCopy>) -> RpcResult<()> {
        apply_copies(&self.node, &copies);
        Ok(())
    }

    async fn permit(&self, request: PermitRequest) -> RpcResult<PermitReply> {
        Ok(decide_permit(&self.node, &request))
    }

    async fn ends(&self, ends: Vec<SendEnd>) -> RpcResult<()> {
        apply_ends(&self.node, &ends);
        Ok(())
    }

    async fn news(&self, news: News) -> RpcResult<()> {
        apply_news(&self.node, &news);
        Ok(())
    }
}

/// Starts a server for peers' calls, which runs until the process ends.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn serve_peers(node: Arc<Node>, address: SocketAddr) -> std::io::Result<()> {
    let limits = ServerConfig::builder()
        .max_connections(node.request_budgets.peer_connections)
        .build();
    let bodies = Arc::clone(&node.request_budgets.peers);
    let bound = ServiceBuilder::new().map_request(move |request: HttpRequest| {
        request.map(|body| HttpBody::new(PeerBody::new(body, Arc::clone(&bodies))))
    });
    let server = ServerBuilder::with_config(limits)
        .set_http_middleware(bound)
        .build(address)
        .await?;
    let handle = server.start(PeerHandler { node }.into_rpc());
    tokio::spawn(handle.stopped());
    Ok(())
}

/// Client for calls to peers, with one cached RPC client per address.
///
/// A call that fails is logged and closes the idle connections to the address.
#[derive(Debug, Default)]
pub struct PeerClient {
    pool: Arc<ConnectionPool>,
    clients: Mutex<IndexMap<SocketAddr, PeerRpc>>,
    /// Peers that do not know compressed messages, with the time at which that was noticed.
    plain_peers: Mutex<IndexMap<SocketAddr, Instant>>,
}

impl PeerClient {
    /// Creates a client without connections whose responses are buffered within a budget.
    pub(crate) fn new(buffers: &Arc<BufferBudget>) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(Arc::clone(buffers))),
            clients: Mutex::default(),
            plain_peers: Mutex::default(),
        }
    }

    /// Closes connections whose idle timeout has passed.
    pub fn evict_idle(&self) {
        self.pool.evict_idle();
    }

    /// Exchanges states with a peer; `None` if the call fails.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: GossipRequest,
    ) -> Option<GossipReply> {
        let call = |client: PeerRpc| async move { client.exchange(request).await };
        self.call("exchange", address, call).await
    }

    /// Exchanges states with a peer by compressed messages, or by plain ones if the peer does not know the
    /// method; `None` if the call fails.
    pub async fn exchange_packed(
        &self,
        address: SocketAddr,
        request: GossipRequest,
    ) -> Option<GossipReply> {
        if self.lacks_packing(address) {
            return self.exchange(address, request).await;
        }
        let packed = Packed::new(&request, Compression::fast())?;
        let call = |client: PeerRpc| async move {
            match client.gossip(packed).await {
                Err(ClientError::Call(error)) if error.code() == METHOD_NOT_FOUND_CODE => Ok(None),
                reply => reply.map(Some),
            }
        };
        if let Some(reply) = self.call("gossip", address, call).await? {
            return reply.unpack();
        }
        self.record_lack_of_packing(address);
        self.exchange(address, request).await
    }

    fn record_lack_of_packing(&self, address: SocketAddr) {
        let mut plain = self.plain_peers.lock();
        plain.retain(|_, since| since.elapsed() < PLAIN_PERIOD);
        plain.insert(address, Instant::now());
    }

    /// Returns whether a peer is of a build without compressed messages.
    fn lacks_packing(&self, address: SocketAddr) -> bool {
        let plain = self.plain_peers.lock();
        let since = plain.get(&address);
        since.is_some_and(|since| since.elapsed() < PLAIN_PERIOD)
    }

    /// Delivers usage to a peer; returns whether it was confirmed.
    pub async fn deliver_usage(&self, address: SocketAddr, delivery: UsageDelivery) -> bool {
        let call = |client: PeerRpc| {
            let delivery = delivery.clone();
            async move { client.usage(delivery).await }
        };
        self.call_again("usage", address, call).await.is_some()
    }

    /// Passes a page of the endpoint list on to a peer.
    pub async fn send_page(&self, address: SocketAddr, page: EndpointPage) {
        let call = |client: PeerRpc| async move { client.endpoints(page).await };
        self.call("endpoints", address, call).await;
    }

    /// Passes operator commands on to a peer; returns whether it has them now, `None` if it does not answer or is
    /// of a build without the method.
    pub async fn send_orders(&self, address: SocketAddr, page: OrdersPage) -> Option<bool> {
        let call = |client: PeerRpc| async move { client.orders(page).await };
        self.call("orders", address, call).await
    }

    /// Asks a peer for a copy of the endpoint list; `None` if it gives none.
    pub async fn copy_list(&self, address: SocketAddr) -> Option<ListCopy> {
        let call = |client: PeerRpc| async move { client.list().await };
        self.call("list", address, call).await.flatten()
    }

    /// Asks a peer to charge a customer's quota; `None` if it gives no decision.
    pub async fn charge_quota(
        &self,
        address: SocketAddr,
        request: QuotaRequest,
    ) -> Option<QuotaDecision> {
        let call = |client: PeerRpc| async move { client.charge(request).await };
        self.call("charge", address, call).await.flatten()
    }

    /// Sends a peer copies of buckets; `None` if it does not confirm them.
    pub(crate) async fn send_quota_copies(
        &self,
        address: SocketAddr,
        copies: Vec<QuotaCopy>,
    ) -> Option<()> {
        let call = |client: PeerRpc| async move { client.quota_copies(copies).await };
        self.call("quota_copies", address, call).await
    }

    /// Asks a peer for a permit to send one request to an endpoint; `None` if it gives no decision.
    pub async fn request_permit(
        &self,
        address: SocketAddr,
        request: PermitRequest,
    ) -> Option<PermitReply> {
        let call = |client: PeerRpc| async move { client.permit(request).await };
        self.call("permit", address, call).await
    }

    /// Tells the owner of endpoints' limits of requests that ended.
    pub async fn report_ends(&self, address: SocketAddr, ends: Vec<SendEnd>) {
        let call = |client: PeerRpc| async move { client.ends(ends).await };
        self.call("ends", address, call).await;
    }

    /// Tells a peer what endpoints have said.
    pub async fn announce_news(&self, address: SocketAddr, news: News) {
        let call = |client: PeerRpc| {
            let news = news.clone();
            async move { client.news(news).await }
        };
        self.call_again("news", address, call).await;
    }

    /// Makes a small call that may be repeated: again on a new connection if none of the open ones returns a
    /// response within [`SILENCE_TIMEOUT`].
    async fn call_again<T, F>(
        &self,
        method: &'static str,
        address: SocketAddr,
        call: impl Fn(PeerRpc) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        if self.pool.has_idle(address) {
            let first = self.call(method, address, &call);
            if let Ok(response) = tokio::time::timeout(SILENCE_TIMEOUT, first).await {
                return response;
            }
            self.pool.clear(address);
            tracing::debug!(event = "peer_silent", method, %address);
        }
        self.call(method, address, call).await
    }

    async fn call<T, F>(
        &self,
        method: &'static str,
        address: SocketAddr,
        call: impl FnOnce(PeerRpc) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let outcome = match self.client(address) {
            Ok(client) => call(client).await,
            Err(error) => Err(error),
        };
        outcome
            .inspect_err(|error| {
                self.clients.lock().swap_remove(&address);
                self.pool.clear(address);
                tracing::debug!(event = "peer_unreachable", method, %address, %error);
            })
            .ok()
    }

    fn client(&self, address: SocketAddr) -> Result<PeerRpc, ClientError> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let client = connect_peer(Arc::clone(&self.pool), address, CALL_TIMEOUT)?;
        clients.insert(address, client.clone());
        Ok(client)
    }
}
