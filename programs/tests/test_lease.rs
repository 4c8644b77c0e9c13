//! Process tests of leases and of what their holders do: orders to engines and starts of VMs.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use hawthornrack_lab::CloudStats;
use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::Endpoint;
use hawthornrack_lib::EndpointName;
use hawthornrack_lib::Epoch;
use hawthornrack_lib::LeaseRow;
use hawthornrack_lib::Order;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::Vm;
use hyper::Method;
use rstest::rstest;
use serde_json::json;

use testutils::Call;
use testutils::TIMEOUT;
use testutils::deployment::DOMAINS;
use testutils::deployment::Deployment;
use testutils::deployment::service;
use testutils::wait_until;

/// Control settings, in milliseconds, with a lease term short enough that a test can wait for a
/// lease to lapse.
const CONTROL_SETTINGS: &str = "term = 3000\nmargin = 500\n";

/// Time within which a lapsed lease must have a new holder whose orders are in force: the term, the
/// margin, the time for an order in flight and one more term, which the second candidate waits for
/// the first, plus a reserve.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which the log is down before a VM is reclaimed; exceeds the silence of the log after
/// which controllers replace VMs without a lease (5 s).
const LOG_OUTAGE_WAIT: Duration = Duration::from_secs(6);

/// Time for which the orders of an engine are observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Returns the newest lease that the reachable controllers among `entries` know of.
async fn newest_lease(deployment: &Deployment, entries: &[usize]) -> Option<LeaseRow> {
    let mut newest: Option<LeaseRow> = None;
    for index in entries {
        let Ok(report) = deployment.status(*index).await else {
            continue;
        };
        for row in report.state.leases {
            if newest.as_ref().is_none_or(|n| n.epoch < row.epoch) {
                newest = Some(row);
            }
        }
    }
    newest
}

/// Returns the order in force at an engine.
async fn current_order(deployment: &Deployment, name: &str) -> Option<Order> {
    let server = deployment.endpoint(name).process.http();
    let call = Call::new(Method::GET, "/orders");
    let response = deployment.http.send(server, call).await.unwrap();
    serde_json::from_slice(&response.body).ok()
}

/// Waits until an engine has an order for a version, with an epoch above `after`, and returns it.
async fn wait_order(
    deployment: &Deployment,
    name: &str,
    version: &str,
    after: Option<Epoch>,
) -> Order {
    wait_until("the order is in force", TAKEOVER_TIMEOUT, async || {
        let order = current_order(deployment, name).await;
        order.is_some_and(|o| Some(o.epoch) > after && o.version.as_str() == version)
    })
    .await;
    current_order(deployment, name).await.unwrap()
}

/// Declares another version for an endpoint through an entry.
async fn declare_version(deployment: &Deployment, index: usize, name: &str, version: &str) {
    let config = deployment.config(index).await.unwrap();
    let declared = &config.endpoints[&EndpointName::new(name).unwrap()];
    let change = ConfigChange::PutEndpoint {
        base: Some(declared.revision),
        endpoint: Endpoint {
            version: version.parse().unwrap(),
            ..declared.value.clone()
        },
    };
    deployment.submit(index, change).await.unwrap();
}

/// Returns the index of the entry whose controller holds a lease.
fn holder_index(lease: &LeaseRow) -> usize {
    let (_, index) = lease.holder.as_str().rsplit_once('-').unwrap();
    index.parse().unwrap()
}

/// Guards against orders under a lapsed lease: the holder is paused until another controller has
/// taken over, then resumes. An unfenced engine would accept the old holder's orders.
#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[tokio::test]
async fn test_lease_paused_holder_never_leaves_an_endpoint_on_the_older_order(
    #[case] fenced: bool,
) {
    let mut deployment = Deployment::start_with(3, CONTROL_SETTINGS).await;
    let fence_setting = format!("fenced={fenced}");
    deployment
        .add_engine("tutor", "v1", "engine-1", &[fence_setting.as_str()])
        .await;
    let declared = Service {
        fenced,
        ..service("tutor", ServiceKind::Model, Vec::new())
    };
    deployment.declare(&[declared]).await;
    wait_order(&deployment, "engine-1", "v1", None).await;
    let old_lease = newest_lease(&deployment, &[0, 1, 2]).await.unwrap();
    let paused_index = holder_index(&old_lease);
    deployment.entries[paused_index].controller.pause();
    let others: Vec<usize> = (0..3).filter(|index| *index != paused_index).collect();
    declare_version(&deployment, others[0], "engine-1", "v2").await;
    let order = wait_order(&deployment, "engine-1", "v2", Some(old_lease.epoch)).await;
    let stats: EngineStats = deployment.stats("engine-1").await;
    let order_count = stats.orders.len();
    deployment.entries[paused_index].controller.resume();
    let started = Instant::now();
    while started.elapsed() < OBSERVATION_TIME {
        let current = current_order(&deployment, "engine-1").await.unwrap();
        assert!(current.epoch >= order.epoch, "{current:?} after {order:?}");
        assert_eq!(current.version, order.version);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let stats: EngineStats = deployment.stats("engine-1").await;
    let stale_orders: Vec<&Order> = stats.orders[order_count..]
        .iter()
        .filter(|o| o.epoch < order.epoch)
        .collect();
    assert!(
        stale_orders.is_empty(),
        "orders under a lapsed lease: {stale_orders:?}"
    );
    // The lease has one holder, which all controllers know.
    for index in 0..3 {
        wait_until(
            "the controller knows the newest lease",
            TIMEOUT,
            async || {
                let known = newest_lease(&deployment, &[index]).await;
                known.is_some_and(|l| l.epoch >= order.epoch)
            },
        )
        .await;
    }
}

#[tokio::test]
async fn test_lease_is_released_at_graceful_shutdown() {
    let mut deployment = Deployment::start(3).await;
    deployment.add_engine("tutor", "v1", "engine-1", &[]).await;
    let services = [service("tutor", ServiceKind::Model, Vec::new())];
    deployment.declare(&services).await;
    wait_order(&deployment, "engine-1", "v1", None).await;
    let old_lease = newest_lease(&deployment, &[0, 1, 2]).await.unwrap();
    let stopped_index = holder_index(&old_lease);
    deployment.entries[stopped_index].controller.terminate();
    let status = deployment.entries[stopped_index]
        .controller
        .wait_exit(TIMEOUT)
        .await;
    assert!(status.is_some_and(|s| s.success()));
    let others: Vec<usize> = (0..3).filter(|index| *index != stopped_index).collect();
    // The timeout is well below the lease term of 6 s plus its margin.
    let timeout = Duration::from_secs(3);
    wait_until("another controller has the lease", timeout, async || {
        let newest = newest_lease(&deployment, &others).await;
        newest.is_some_and(|l| l.epoch > old_lease.epoch)
    })
    .await;
}

#[tokio::test]
async fn test_lease_lapses_while_the_log_is_silent_and_orders_stop() {
    let mut deployment = Deployment::start_with(2, CONTROL_SETTINGS).await;
    deployment
        .add_engine("tutor", "v1", "engine-1", &["fenced=false"])
        .await;
    let declared = Service {
        fenced: false,
        ..service("tutor", ServiceKind::Model, Vec::new())
    };
    deployment.declare(&[declared]).await;
    let order = wait_order(&deployment, "engine-1", "v1", None).await;
    deployment.proxy.set_modes("log-", LinkMode::Freeze).await;
    // The lease lapses within its term of 3 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    // The order in force differs from the declared version, but no controller holds the lease that
    // is needed to change it.
    let other = Order {
        version: "v2".parse().unwrap(),
        ..order.clone()
    };
    let call = Call::post("/orders", &serde_json::to_value(&other).unwrap());
    let engine = deployment.endpoint("engine-1").process.http();
    let response = deployment.http.send(engine, call).await.unwrap();
    assert_eq!(response.status, 200);
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(current_order(&deployment, "engine-1").await, Some(other));
    deployment.proxy.set_modes("log-", LinkMode::Pass).await;
    wait_order(&deployment, "engine-1", "v1", None).await;
}

/// Starts `count` servers for each failure domain and registers them with the cloud, which runs
/// them on the VMs that it starts.
async fn register_servers(deployment: &mut Deployment, count: usize) -> Vec<testutils::Process> {
    let mut processes = Vec::new();
    for domain in DOMAINS {
        for _ in 0..count {
            let process = testutils::Process::lab("plain", &[]);
            let registration = json!({"domain": domain, "address": process.http()});
            let call = Call::post("/control/servers", &registration);
            let cloud = deployment.cloud.http();
            let response = deployment.http.send(cloud, call).await.unwrap();
            assert_eq!(response.status, 200, "{}", response.text());
            processes.push(process);
        }
    }
    processes
}

/// Returns the running VMs of the service `desk`.
async fn service_vms(deployment: &Deployment) -> Vec<Vm> {
    let vms: Vec<Vm> = deployment.http.get(deployment.cloud.http(), "/vms").await;
    vms.into_iter()
        .filter(|vm| vm.token.starts_with("desk/"))
        .collect()
}

/// Returns the number of endpoints that a controller knows of.
async fn endpoint_count(deployment: &Deployment, index: usize) -> usize {
    let config = deployment.config(index).await;
    config.map_or(0, |c| c.endpoints.len())
}

#[tokio::test]
async fn test_lease_lost_response_to_a_vm_start_creates_one_vm() {
    let mut deployment = Deployment::start_with(3, CONTROL_SETTINGS).await;
    let _servers = register_servers(&mut deployment, 2).await;
    let cloud = deployment.cloud.http();
    deployment
        .http
        .configure(cloud, &json!({"lose_answers": 2}))
        .await;
    let declared = Service {
        replicas: 3,
        ..service("desk", ServiceKind::Plain, Vec::new())
    };
    deployment.declare(&[declared]).await;
    wait_until("an endpoint is declared for each VM", TIMEOUT, async || {
        endpoint_count(&deployment, 0).await == 3
    })
    .await;
    let stats: CloudStats = deployment.http.get(cloud, "/stats").await;
    assert_eq!(stats.started, 3);
    assert_eq!(service_vms(&deployment).await.len(), 3);
}

#[tokio::test]
async fn test_lease_vm_is_replaced_once_with_the_log_down() {
    let mut deployment = Deployment::start_with(3, CONTROL_SETTINGS).await;
    let _servers = register_servers(&mut deployment, 2).await;
    let cloud = deployment.cloud.http();
    let declared = Service {
        replicas: 2,
        ..service("desk", ServiceKind::Plain, Vec::new())
    };
    deployment.declare(&[declared]).await;
    wait_until("an endpoint is declared for each VM", TIMEOUT, async || {
        endpoint_count(&deployment, 0).await == 2
    })
    .await;
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    // Without the log, every controller may start VMs after a delay.
    tokio::time::sleep(LOG_OUTAGE_WAIT).await;
    // Slow connections to the cloud let all three controllers list the VMs before a start becomes
    // visible. In addition, the response to one start is lost.
    deployment
        .proxy
        .set_modes("cloud-", LinkMode::Delay(250))
        .await;
    let fault = json!({"lose_answers": 1});
    deployment.http.configure(cloud, &fault).await;
    let reclaimed = service_vms(&deployment).await.remove(0);
    deployment
        .announce_reclaim(reclaimed.name.as_str(), 500)
        .await;
    wait_until("a replacement VM runs", TIMEOUT, async || {
        let vms = service_vms(&deployment).await;
        vms.len() == 2 && vms.iter().all(|vm| vm.name != reclaimed.name)
    })
    .await;
    // All three controllers may start VMs, but none may start a second replacement.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let stats: CloudStats = deployment.http.get(cloud, "/stats").await;
    assert_eq!(stats.started, 3);
    assert!(
        stats.repeated > 0,
        "several controllers must have asked for the same VM"
    );
    deployment.proxy.set_modes("cloud-", LinkMode::Pass).await;
    deployment.proxy.set_modes("log-", LinkMode::Pass).await;
    let timeout = TAKEOVER_TIMEOUT + TIMEOUT;
    wait_until(
        "the new endpoint replaces the old one",
        timeout,
        async || {
            let Ok(config) = deployment.config(1).await else {
                return false;
            };
            let endpoints = config.endpoints.values().map(|e| &e.value);
            let mut vms: Vec<_> = endpoints.map(|e| e.vm.clone()).collect();
            vms.sort_unstable();
            let mut running: Vec<_> = service_vms(&deployment)
                .await
                .into_iter()
                .map(|vm| vm.name)
                .collect();
            running.sort_unstable();
            vms == running
        },
    )
    .await;
}
