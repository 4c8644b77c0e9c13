//! Leases and what their holders do: orders to engines and starts of machines.

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
use testutils::LIMIT;
use testutils::deployment::DOMAINS;
use testutils::deployment::Deployment;
use testutils::deployment::service;
use testutils::wait_until;

/// Short terms, so that a test can wait them out.
const CONTROL: &str = "term = 3000\nmargin = 500\n";

/// Time within which a lapsed lease must have passed on and its orders be in force: term,
/// margin, an order in flight and a term for each candidate before the second, with slack.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(15);

/// Time after which controllers start machines without a lease.
const LOG_SILENCE: Duration = Duration::from_secs(6);

/// Time for which an endpoint is watched after the old holder goes on.
const WATCH: Duration = Duration::from_secs(4);

/// Returns the newest lease that any running controller knows of.
async fn lease(deployment: &Deployment, asked: &[usize]) -> Option<LeaseRow> {
    let mut newest: Option<LeaseRow> = None;
    for index in asked {
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

async fn order_of(deployment: &Deployment, name: &str) -> Option<Order> {
    let server = deployment.server(name).process.http();
    let call = Call::new(Method::GET, "/orders");
    let answer = deployment.http.send(server, call).await.unwrap();
    serde_json::from_slice(&answer.body).ok()
}

async fn wait_order(
    deployment: &Deployment,
    name: &str,
    version: &str,
    after: Option<Epoch>,
) -> Order {
    wait_until("the order is in force", TAKEOVER_LIMIT, async || {
        let order = order_of(deployment, name).await;
        order.is_some_and(|o| Some(o.epoch) > after && o.version.as_str() == version)
    })
    .await;
    order_of(deployment, name).await.unwrap()
}

/// Declares that an endpoint runs another version, through a given entry.
async fn change_version(deployment: &Deployment, index: usize, name: &str, version: &str) {
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

fn index_of(lease: &LeaseRow) -> usize {
    let (_, index) = lease.holder.as_str().rsplit_once('-').unwrap();
    index.parse().unwrap()
}

#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[tokio::test]
async fn test_lease_paused_holder_never_leaves_an_endpoint_on_the_older_order(
    #[case] fenced: bool,
) {
    let mut deployment = Deployment::start_with(3, CONTROL).await;
    let setting = format!("fenced={fenced}");
    deployment
        .add_engine("tutor", "v1", "engine-1", &[setting.as_str()])
        .await;
    let declared = Service {
        fenced,
        ..service("tutor", ServiceKind::Model, Vec::new())
    };
    deployment.declare(&[declared]).await;
    wait_order(&deployment, "engine-1", "v1", None).await;
    let before = lease(&deployment, &[0, 1, 2]).await.unwrap();
    let paused = index_of(&before);
    deployment.entries[paused].controller.pause();
    let others: Vec<usize> = (0..3).filter(|index| *index != paused).collect();
    change_version(&deployment, others[0], "engine-1", "v2").await;
    let order = wait_order(&deployment, "engine-1", "v2", Some(before.epoch)).await;
    let stats: EngineStats = deployment.stats("engine-1").await;
    let sent = stats.orders.len();
    deployment.entries[paused].controller.resume();
    let begun = Instant::now();
    while begun.elapsed() < WATCH {
        let now = order_of(&deployment, "engine-1").await.unwrap();
        assert!(now.epoch >= order.epoch, "{now:?} after {order:?}");
        assert_eq!(now.version, order.version);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let stats: EngineStats = deployment.stats("engine-1").await;
    let late: Vec<&Order> = stats.orders[sent..]
        .iter()
        .filter(|o| o.epoch < order.epoch)
        .collect();
    assert!(late.is_empty(), "orders under a lapsed lease: {late:?}");
    // The lease has one holder, and it is known to all.
    for index in 0..3 {
        wait_until("all know the newest lease", LIMIT, async || {
            let known = lease(&deployment, &[index]).await;
            known.is_some_and(|l| l.epoch >= order.epoch)
        })
        .await;
    }
}

#[tokio::test]
async fn test_lease_is_given_up_at_a_planned_stop() {
    let mut deployment = Deployment::start(3).await;
    deployment.add_engine("tutor", "v1", "engine-1", &[]).await;
    let services = [service("tutor", ServiceKind::Model, Vec::new())];
    deployment.declare(&services).await;
    wait_order(&deployment, "engine-1", "v1", None).await;
    let before = lease(&deployment, &[0, 1, 2]).await.unwrap();
    let stopped = index_of(&before);
    deployment.entries[stopped].controller.terminate();
    let status = deployment.entries[stopped]
        .controller
        .wait_exit(LIMIT)
        .await;
    assert!(status.is_some_and(|s| s.success()));
    let others: Vec<usize> = (0..3).filter(|index| *index != stopped).collect();
    // Well before the term of 6 s and its margin have passed.
    let limit = Duration::from_secs(3);
    wait_until("another controller has the lease", limit, async || {
        let now = lease(&deployment, &others).await;
        now.is_some_and(|l| l.epoch > before.epoch)
    })
    .await;
}

#[tokio::test]
async fn test_lease_lapses_while_the_log_is_silent_and_orders_stop() {
    let mut deployment = Deployment::start_with(2, CONTROL).await;
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
    tokio::time::sleep(Duration::from_secs(3)).await;
    // The order in force is no longer the wanted one, but nobody may change it.
    let other = Order {
        version: "v2".parse().unwrap(),
        ..order.clone()
    };
    let call = Call::post("/orders", &serde_json::to_value(&other).unwrap());
    let engine = deployment.server("engine-1").process.http();
    let answer = deployment.http.send(engine, call).await.unwrap();
    assert_eq!(answer.status, 200);
    tokio::time::sleep(WATCH).await;
    assert_eq!(order_of(&deployment, "engine-1").await, Some(other));
    deployment.proxy.set_modes("log-", LinkMode::Pass).await;
    wait_order(&deployment, "engine-1", "v1", None).await;
}

/// Lets the cloud start servers in every failure domain.
async fn register_servers(deployment: &mut Deployment, count: usize) -> Vec<testutils::Process> {
    let mut processes = Vec::new();
    for domain in DOMAINS {
        for _ in 0..count {
            let process = testutils::Process::lab("plain", &[]);
            let entry = json!({"domain": domain, "address": process.http()});
            let call = Call::post("/control/servers", &entry);
            let cloud = deployment.cloud.http();
            let answer = deployment.http.send(cloud, call).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
            processes.push(process);
        }
    }
    processes
}

async fn fleet_vms(deployment: &Deployment) -> Vec<Vm> {
    let vms: Vec<Vm> = deployment.http.get(deployment.cloud.http(), "/vms").await;
    vms.into_iter()
        .filter(|vm| vm.token.starts_with("desk/"))
        .collect()
}

async fn endpoint_count(deployment: &Deployment, index: usize) -> usize {
    let config = deployment.config(index).await;
    config.map_or(0, |c| c.endpoints.len())
}

#[tokio::test]
async fn test_lease_lost_answer_to_a_machine_start_gives_one_machine() {
    let mut deployment = Deployment::start_with(3, CONTROL).await;
    let _servers = register_servers(&mut deployment, 2).await;
    let cloud = deployment.cloud.http();
    deployment
        .http
        .control(cloud, &json!({"lose_answers": 2}))
        .await;
    let declared = Service {
        replicas: 3,
        ..service("desk", ServiceKind::Plain, Vec::new())
    };
    deployment.declare(&[declared]).await;
    wait_until("the fleet is declared", LIMIT, async || {
        endpoint_count(&deployment, 0).await == 3
    })
    .await;
    let stats: CloudStats = deployment.http.get(cloud, "/stats").await;
    assert_eq!(stats.started, 3);
    assert_eq!(fleet_vms(&deployment).await.len(), 3);
}

#[tokio::test]
async fn test_lease_machine_is_replaced_once_with_the_log_down() {
    let mut deployment = Deployment::start_with(3, CONTROL).await;
    let _servers = register_servers(&mut deployment, 2).await;
    let cloud = deployment.cloud.http();
    let declared = Service {
        replicas: 2,
        ..service("desk", ServiceKind::Plain, Vec::new())
    };
    deployment.declare(&[declared]).await;
    wait_until("the fleet is declared", LIMIT, async || {
        endpoint_count(&deployment, 0).await == 2
    })
    .await;
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    // Without the log every controller may start machines after a while. All three list the
    // machines before any start shows, and one answer is lost.
    tokio::time::sleep(LOG_SILENCE).await;
    deployment
        .proxy
        .set_modes("cloud-", LinkMode::Delay(250))
        .await;
    let lost = json!({"lose_answers": 1});
    deployment.http.control(cloud, &lost).await;
    let gone = fleet_vms(&deployment).await.remove(0);
    deployment.give_notice(gone.name.as_str(), 500).await;
    wait_until("a replacement runs", LIMIT, async || {
        let vms = fleet_vms(&deployment).await;
        vms.len() == 2 && vms.iter().all(|vm| vm.name != gone.name)
    })
    .await;
    // All three controllers may start machines now; none may start another one.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let stats: CloudStats = deployment.http.get(cloud, "/stats").await;
    assert_eq!(stats.started, 3);
    assert!(stats.repeated > 0, "several asked for the same machine");
    deployment.proxy.set_modes("cloud-", LinkMode::Pass).await;
    deployment.proxy.set_modes("log-", LinkMode::Pass).await;
    let limit = TAKEOVER_LIMIT + LIMIT;
    wait_until("the new endpoint replaces the old one", limit, async || {
        let Ok(config) = deployment.config(1).await else {
            return false;
        };
        let endpoints = config.endpoints.values().map(|e| &e.value);
        let mut vms: Vec<_> = endpoints.map(|e| e.vm.clone()).collect();
        vms.sort_unstable();
        let mut running: Vec<_> = fleet_vms(&deployment)
            .await
            .into_iter()
            .map(|vm| vm.name)
            .collect();
        running.sort_unstable();
        vms == running
    })
    .await;
}
