//! Serves the operator RPC of a controller.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::ConfigChange;
use crate::ConfigState;
use crate::Controller;
use crate::ISOLATION_TIMEOUT;
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
use crate::operator_rpc;
use crate::rollout_share;

/// Backend of the operator RPC over a controller.
#[derive(Debug)]
struct ControllerBackend {
    controller: Arc<Controller>,
    configs: watch::Sender<Arc<ConfigState>>,
}

/// Serves the operator RPC on `listener` until the controller stops.
pub(crate) fn serve_operator_rpc(controller: &Arc<Controller>, listener: TcpListener) {
    let backend = Arc::new(ControllerBackend {
        controller: Arc::clone(controller),
        configs: watch::Sender::new(Arc::default()),
    });
    let forwarder = Arc::clone(&backend);
    controller
        .kernel
        .spawn(async move { forwarder.forward_configs().await });
    let auth = OperatorAuth::new(&controller.settings.token_hashes());
    let stopping = controller.kernel.stopping.clone();
    let rpc = operator_rpc(backend, auth, stopping.clone());
    let kernel = Arc::clone(&controller.kernel);
    kernel.spawn(async move {
        let result = Server::builder()
            .add_service(rpc)
            .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stopping.cancelled());
        if let Err(error) = result.await {
            tracing::error!(%error, "operator RPC server failed");
        }
    });
}

impl ControllerBackend {
    /// Forwards each configuration in force to `configs`; the controller's own channel holds `None`
    /// until there is a first one.
    async fn forward_configs(&self) {
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

impl OperatorBackend for ControllerBackend {
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
            log_reachable: self.controller.contact.time_since_log_contact() < ISOLATION_TIMEOUT,
            leases: self.controller.leases.rows(),
        }
    }

    fn now(&self) -> Timestamp {
        self.controller.kernel.clock.now()
    }

    fn current_share(&self, spec: &Move) -> u32 {
        rollout_share(spec, &self.controller.live())
    }

    async fn submit(&self, change: ConfigChange) -> Result<(Offset, Verdict)> {
        self.controller.submit(change).await
    }

    async fn timeline(&self, filter: &TimelineFilter) -> Timeline {
        collect_timeline(&self.controller, filter).await
    }
}
