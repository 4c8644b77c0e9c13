//! RPC interface between gates.

use std::sync::Arc;

use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;

use crate::EndpointName;
use crate::Gate;
use crate::GateCounts;
use crate::GatePlugin;
use crate::Offset;
use crate::RequestState;
use crate::Stage;

/// Methods that a gate offers to other gates.
#[rpc(client, server, namespace = "gate")]
pub trait GateRpc {
    /// Takes over requests whose callers the sending gate redirects to this gate.
    #[method(name = "hand_over")]
    async fn hand_over(&self, states: Vec<RequestState>) -> RpcResult<()>;

    /// Records that an endpoint crashed while it ran the request with this digest.
    #[method(name = "crashed")]
    async fn crashed(&self, digest: u64, endpoint: EndpointName) -> RpcResult<()>;

    /// Returns a snapshot of the gate's counters.
    #[method(name = "counts")]
    async fn counts(&self) -> RpcResult<GateCounts>;

    /// Returns the log offset after the last record of the gate's configuration, or `None` if it
    /// has no routing table.
    #[method(name = "offset")]
    async fn offset(&self) -> RpcResult<Option<Offset>>;
}

inventory::submit! {
    GatePlugin {
        name: "gate_rpc",
        stage: Stage::Listen,
        start: |_| Ok(()),
        methods: Some(|gate| Methods::from(GateService(Arc::clone(gate)).into_rpc())),
    }
}

struct GateService(Arc<Gate>);

#[async_trait]
impl GateRpcServer for GateService {
    async fn hand_over(&self, states: Vec<RequestState>) -> RpcResult<()> {
        let now = self.0.kernel.clock.now();
        for state in states {
            self.0
                .kernel
                .events
                .record("request.taken_over", &[("request", &state.token.request)]);
            self.0.received_requests.put(state, now);
        }
        Ok(())
    }

    async fn crashed(&self, digest: u64, endpoint: EndpointName) -> RpcResult<()> {
        self.0.crashes.record_remote(digest, endpoint);
        Ok(())
    }

    async fn counts(&self) -> RpcResult<GateCounts> {
        Ok(self.0.counters.read())
    }

    async fn offset(&self) -> RpcResult<Option<Offset>> {
        Ok(self.0.table().map(|t| t.config.next))
    }
}
