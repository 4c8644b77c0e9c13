//! The RPC between gates.

use std::sync::Arc;

use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObject;
use jsonrpsee::types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;

use crate::Gate;
use crate::GateCounts;
use crate::GatePlugin;
use crate::Secret;
use crate::Stage;
use crate::StreamState;

/// Use of the shared key for states.
const PURPOSE: &str = "hand-over";

/// Code of the answer to states with a wrong seal.
const BAD_SEAL: i32 = -32_001;

/// States of requests, sealed with the shared key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SealedStates {
    /// The states as JSON text.
    pub payload: String,
    /// Tag of the text.
    pub tag: String,
}

impl SealedStates {
    /// Seals states.
    pub fn seal(secret: &Secret, states: &[StreamState]) -> Self {
        let payload = serde_json::to_string(states).unwrap_or_default();
        let tag = secret.tag(PURPOSE, payload.as_bytes());
        Self { payload, tag }
    }

    /// Returns the states, or `None` when the seal is wrong.
    pub fn open(&self, secret: &Secret) -> Option<Vec<StreamState>> {
        if !secret.verify(PURPOSE, self.payload.as_bytes(), &self.tag) {
            return None;
        }
        serde_json::from_str(&self.payload).ok()
    }
}

/// Calls of gates on a gate.
#[rpc(client, server, namespace = "gate")]
pub trait GateRpc {
    /// Takes requests over, for whose callers the sender names this gate.
    #[method(name = "hand_over")]
    async fn hand_over(&self, states: SealedStates) -> RpcResult<()>;

    /// Returns the gate's counters.
    #[method(name = "counts")]
    async fn counts(&self) -> RpcResult<GateCounts>;
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
    async fn hand_over(&self, states: SealedStates) -> RpcResult<()> {
        let states = states.open(&self.0.secret).ok_or_else(bad_seal)?;
        let now = self.0.kernel.clock.now();
        for state in states {
            self.0
                .kernel
                .events
                .record("request.taken_over", &[("request", &state.token.request)]);
            self.0.handed.put(state, now);
        }
        Ok(())
    }

    async fn counts(&self) -> RpcResult<GateCounts> {
        Ok(self.0.counters.read())
    }
}

fn bad_seal() -> ErrorObjectOwned {
    ErrorObject::owned(BAD_SEAL, "the seal is wrong", None::<()>)
}
