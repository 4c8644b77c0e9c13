//! Follows the cloud's reclaim notices, and polls the platform's VM list as a slower fallback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;

use crate::Controller;
use crate::ControllerPlugin;
use crate::HttpClient;
use crate::ListedState;
use crate::ListedVm;
use crate::MemberState;
use crate::NodeName;
use crate::NoticeReply;
use crate::Result;
use crate::SendError;
use crate::Stage;
use crate::VmName;
use crate::millis;
use crate::rank_nodes;

/// Number of members in each failure domain that follow the notices.
const WATCHERS_PER_DOMAIN: usize = 3;

/// Time for which a long poll waits at the cloud for a notice.
const NOTICE_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time allowed for a response beyond [`NOTICE_POLL_TIMEOUT`].
const NOTICE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Delay after a failed read, and between checks of whether this node is a watcher.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout for reading the VM list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Remaining lifetime assumed for a VM that only the VM list shows as leaving.
const ASSUMED_NOTICE_PERIOD: Duration = Duration::from_secs(30);

inventory::submit! {
    ControllerPlugin {
        name: "notice-watch",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let platform = &controller.settings.platform;
    if let Some(cloud) = platform.cloud {
        let task = Arc::clone(controller);
        controller
            .kernel
            .spawn(async move { follow_notices(&task, cloud).await });
    }
    if let Some(list) = platform.list {
        let task = Arc::clone(controller);
        controller
            .kernel
            .spawn(async move { poll_list(&task, list).await });
    }
    Ok(())
}

/// Returns whether this node is one of the watchers of its failure domain.
fn is_watcher(controller: &Controller) -> bool {
    let own = &controller.kernel.node;
    let domain = &controller.settings.place.domain;
    let members = controller.live.members();
    let live: Vec<&NodeName> = members
        .iter()
        .filter(|m| m.domain == *domain && m.state != MemberState::Dead)
        .map(|m| &m.node)
        .collect();
    let ranked = rank_nodes("notices", live);
    ranked
        .into_iter()
        .take(WATCHERS_PER_DOMAIN)
        .any(|node| node == own)
}

async fn follow_notices(controller: &Controller, cloud: SocketAddr) {
    let http = HttpClient::new();
    let mut from = 0;
    loop {
        if !is_watcher(controller) {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        match read_notices(&http, cloud, from).await {
            Ok(reply) => {
                for notice in reply.notices {
                    record_notice(controller, notice.vm, notice.deadline);
                }
                // Used even if it is lower than `from`: a cloud that has lost its notices restarts
                // the numbering.
                from = reply.next;
            }
            Err(error) => {
                tracing::warn!(%error, "failed to read reclaim notices from the cloud");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_notices(
    http: &HttpClient,
    cloud: SocketAddr,
    from: u64,
) -> Result<NoticeReply, SendError> {
    let path = format!(
        "/notices?from={from}&wait_ms={}",
        millis(NOTICE_POLL_TIMEOUT)
    );
    let timeout = NOTICE_POLL_TIMEOUT + NOTICE_GRACE_PERIOD;
    http.call(cloud, Method::GET, &path, None::<&()>, timeout)
        .await
}

fn record_notice(controller: &Controller, vm: VmName, deadline: crate::Timestamp) {
    if vm == controller.settings.place.vm {
        controller
            .kernel
            .events
            .record("vm.own_notice", &[("vm", &vm), ("deadline", &deadline.0)]);
    }
    controller.live.mark_leaving(vm, deadline);
}

async fn poll_list(controller: &Controller, list: SocketAddr) {
    let http = HttpClient::new();
    loop {
        if is_watcher(controller) {
            let rows: Result<Vec<ListedVm>, SendError> = http
                .call(list, Method::GET, "/list", None::<&()>, LIST_TIMEOUT)
                .await;
            match rows {
                Ok(rows) => record_listed(controller, rows),
                Err(error) => tracing::warn!(%error, "failed to read the VM list"),
            }
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Records a notice for VMs that the list shows as leaving and for which no notice is known.
fn record_listed(controller: &Controller, rows: Vec<ListedVm>) {
    let live = controller.live();
    let deadline = controller.kernel.clock.now().plus(ASSUMED_NOTICE_PERIOD);
    for row in rows {
        let known = live.leaving.contains_key(&row.name);
        if row.state == ListedState::Leaving && !known {
            record_notice(controller, row.name, deadline);
        }
    }
}
