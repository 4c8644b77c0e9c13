//! Follows the cloud's reclaim notices, and as a slow safety the platform's list of machines.

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

/// Members of each failure domain that follow the notices.
const WATCHERS: usize = 3;

/// Time for which the cloud waits for a notice.
const NOTICE_WAIT: Duration = Duration::from_secs(1);

/// Time by which an answer may come later than that.
const NOTICE_GRACE: Duration = Duration::from_secs(1);

/// Pause after a failed read, and between two looks at whether this node follows.
const PAUSE: Duration = Duration::from_millis(200);

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Time within which the list must be answered.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time until the end that is assumed of a machine that only the list shows as leaving.
const LISTED_NOTICE: Duration = Duration::from_secs(30);

inventory::submit! {
    ControllerPlugin {
        name: "notice-watch",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
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

/// Tells whether this node is among the watchers of its failure domain.
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
    ranked.into_iter().take(WATCHERS).any(|node| node == own)
}

async fn follow_notices(controller: &Controller, cloud: SocketAddr) {
    let http = HttpClient::new();
    let mut from = 0;
    loop {
        if !is_watcher(controller) {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        match read_notices(&http, cloud, from).await {
            Ok(reply) => {
                for notice in reply.notices {
                    mark(controller, notice.vm, notice.deadline);
                }
                // A cloud that has lost its notices starts again at a lower position.
                from = reply.next;
            }
            Err(error) => {
                tracing::warn!(%error, "reading the reclaim notices failed");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn read_notices(
    http: &HttpClient,
    cloud: SocketAddr,
    from: u64,
) -> Result<NoticeReply, SendError> {
    let path = format!("/notices?from={from}&wait_ms={}", millis(NOTICE_WAIT));
    let limit = NOTICE_WAIT + NOTICE_GRACE;
    http.call(cloud, Method::GET, &path, None::<&()>, limit)
        .await
}

fn mark(controller: &Controller, vm: VmName, deadline: crate::Timestamp) {
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
                Ok(rows) => mark_listed(controller, rows),
                Err(error) => tracing::warn!(%error, "reading the list of machines failed"),
            }
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Marks machines that the list shows as leaving and of which no notice has been seen.
fn mark_listed(controller: &Controller, rows: Vec<ListedVm>) {
    let live = controller.live();
    let deadline = controller.kernel.clock.now().plus(LISTED_NOTICE);
    for row in rows {
        let known = live.leaving.contains_key(&row.name);
        if row.state == ListedState::Leaving && !known {
            mark(controller, row.name, deadline);
        }
    }
}
