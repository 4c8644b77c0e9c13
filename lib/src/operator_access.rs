//! Serves the operator RPC over a controller.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::ConfigChange;
use crate::ConfigState;
use crate::Controller;
use crate::ISOLATION_LIMIT;
use crate::LiveView;
use crate::Move;
use crate::NodeState;
use crate::Offset;
use crate::OperatorAuth;
use crate::OperatorBackend;
use crate::Result;
use crate::Timeline;
use crate::TimelineFilter;
use crate::Timestamp;
use crate::Verdict;
use crate::events_rpc::collect_timeline;
use crate::moved_share;
use crate::operator_rpc;

/// What the operator RPC sees of a controller.
#[derive(Debug)]
struct OperatorAccess {
    controller: Arc<Controller>,
    configs: watch::Sender<Arc<ConfigState>>,
}

/// Serves the operator RPC until the controller stops.
pub(crate) fn serve_operators(controller: &Arc<Controller>, listener: TcpListener) {
    let access = Arc::new(OperatorAccess {
        controller: Arc::clone(controller),
        configs: watch::Sender::new(Arc::default()),
    });
    let copy = Arc::clone(&access);
    controller
        .kernel
        .spawn(async move { copy.copy_configs().await });
    let auth = OperatorAuth::new(&controller.settings.token_hashes());
    let stopping = controller.kernel.stopping.clone();
    let rpc = operator_rpc(access, auth, stopping.clone());
    let kernel = Arc::clone(&controller.kernel);
    kernel.spawn(async move {
        let served = Server::builder()
            .add_service(rpc)
            .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stopping.cancelled());
        if let Err(error) = served.await {
            tracing::error!(%error, "the operators' port failed");
        }
    });
}

impl OperatorAccess {
    async fn copy_configs(&self) {
        let mut configs = self.controller.subscribe_config();
        loop {
            if let Some(config) = configs.borrow_and_update().clone() {
                self.configs.send_replace(config);
            }
            if configs.changed().await.is_err() {
                return;
            }
        }
    }
}

impl OperatorBackend for OperatorAccess {
    fn config(&self) -> Arc<ConfigState> {
        self.controller.config().unwrap_or_default()
    }

    fn live(&self) -> Arc<LiveView> {
        self.controller.live()
    }

    fn subscribe_config(&self) -> watch::Receiver<Arc<ConfigState>> {
        self.configs.subscribe()
    }

    fn node_state(&self) -> NodeState {
        NodeState {
            node: self.controller.kernel.node.clone(),
            ready: self.controller.config().is_some(),
            log_reachable: self.controller.contact.log_silence() < ISOLATION_LIMIT,
            leases: self.controller.leases.rows(),
        }
    }

    fn now(&self) -> Timestamp {
        self.controller.kernel.clock.now()
    }

    fn share_now(&self, spec: &Move) -> u32 {
        moved_share(spec, &self.controller.live())
    }

    async fn submit(&self, change: ConfigChange) -> Result<(Offset, Verdict)> {
        self.controller.submit(change).await
    }

    async fn timeline(&self, filter: &TimelineFilter) -> Timeline {
        collect_timeline(&self.controller, filter).await
    }
}
