//! Gate processes that get their routing table from the test, without a controller or a log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_lib::ConfigState;
use hawthornrack_lib::Customer;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::Endpoint;
use hawthornrack_lib::GateCounts;
use hawthornrack_lib::GateInfo;
use hawthornrack_lib::GateRpcClient;
use hawthornrack_lib::HybridTime;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::LiveDelta;
use hawthornrack_lib::LiveView;
use hawthornrack_lib::Member;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Route;
use hawthornrack_lib::RpcClients;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::SharedKey;
use hawthornrack_lib::TableUpdate;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Version;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::Versioned;
use hawthornrack_lib::VmName;
use hawthornrack_lib::millis;
use hawthornrack_lib::token_hash;
use hyper::Method;
use indexmap::IndexMap;
use jsonrpsee::ResponsePayload;
use jsonrpsee::RpcModule;
use jsonrpsee::SubscriptionMessage;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use tempfile::NamedTempFile;
use tokio::sync::watch;

use super::Call;
use super::Process;
use super::TIMEOUT;
use super::TestClient;
use super::settings_file;
use super::wait_until;

/// Bearer token of the customer `lakeside`.
pub const TOKEN: &str = "lakeside-token";

/// Bearer token of the customer `harbour`.
pub const OTHER_TOKEN: &str = "harbour-token";

/// Path of the `hawthorn-gate` binary.
const GATE: &str = env!("CARGO_BIN_EXE_hawthorn-gate");

/// Shared key of the gates and the test.
const SHARED_KEY: &str = "a key that only this test uses";

/// Interval at which an unchanged table is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// The routing table that the test sets.
#[derive(Clone, Debug)]
pub struct Table {
    /// Offset of the configuration.
    pub offset: Offset,
    /// Configuration in force.
    pub config: Option<Arc<ConfigState>>,
    /// State of members, VMs, moves and crashes, which does not come from the log.
    pub live: LiveView,
}

impl Table {
    fn full_update(&self) -> TableUpdate {
        TableUpdate {
            offset: self.offset,
            config: self.config.clone(),
            silence_ms: None,
            live: LiveDelta::between(None, &self.live),
        }
    }
}

/// Gates, and the server that sends them their routing table.
pub struct GateFixture {
    /// Gate processes, by index.
    pub gates: Vec<Process>,
    /// HTTP client of the test.
    pub http: TestClient,
    table: watch::Sender<Table>,
    controller: SocketAddr,
    secret_file: NamedTempFile,
    settings_files: Vec<NamedTempFile>,
    rpc: RpcClients,
    _server: ServerHandle,
}

impl GateFixture {
    /// Starts a table server whose configuration has the services `tutor` (model) and `booking`
    /// (plain), and no gate yet.
    pub async fn start() -> Self {
        let (table, receiver) = watch::channel(initial_table());
        let (controller, server) = serve_table(receiver).await;
        Self {
            gates: Vec::new(),
            http: TestClient::new(),
            table,
            controller,
            secret_file: settings_file(SHARED_KEY),
            settings_files: Vec::new(),
            rpc: RpcClients::new(SharedKey::new(SHARED_KEY).unwrap()),
            _server: server,
        }
    }

    /// Starts a gate on its own VM in the failure domain `domain`, waits until it has the table and
    /// returns its address for callers.
    pub async fn add_gate(&mut self, domain: &str) -> SocketAddr {
        self.add_gate_with(domain, "").await
    }

    /// Starts a gate like [`GateFixture::add_gate`]. `settings` holds lines of TOML that follow the
    /// header of the section `[limits]` in its settings; they may open further sections.
    pub async fn add_gate_with(&mut self, domain: &str, settings: &str) -> SocketAddr {
        // Names of nodes and VMs count from one, indexes of `gates` from zero.
        let number = self.gates.len() + 1;
        let text = format!(
            "listen = '127.0.0.1:0'\nrpc = '127.0.0.1:0'\nops = '127.0.0.1:0'\n\
             controllers = ['{}']\nsecret_file = '{}'\n\
             [place]\nnode = 'n{number}'\nvm = 'gate-vm{number}'\ndomain = '{domain}'\n\
             region = 'r1'\n[limits]\n{settings}\n",
            self.controller,
            self.secret_file.path().display(),
        );
        let file = settings_file(&text);
        let path = file.path().display().to_string();
        let gate = Process::start(GATE, &["--settings", &path], &[("HAWTHORN_LOG", "debug")]);
        let callers = gate.address("callers");
        let member = Member {
            node: format!("n{number}").parse().unwrap(),
            domain: domain.parse().unwrap(),
            region: "r1".parse().unwrap(),
            controller: self.controller,
            gate: Some(GateInfo {
                callers,
                rpc: gate.address("rpc"),
                accepting: true,
                load: 0,
            }),
            state: MemberState::Alive,
        };
        self.settings_files.push(file);
        self.gates.push(gate);
        self.update_table(|t| {
            t.live.members.insert(member.node.clone(), member);
        });
        wait_until("the gate has the routing table", TIMEOUT, async || {
            self.lists_entries(callers, number).await
        })
        .await;
        callers
    }

    async fn lists_entries(&self, gate: SocketAddr, count: usize) -> bool {
        let call = Call::new(Method::GET, "/v1/entries").bearer(TOKEN);
        let response = self.http.send(gate, call).await;
        response.is_ok_and(|r| r.json()["entries"].as_array().map_or(0, Vec::len) == count)
    }

    /// Declares an endpoint of version `v1` and waits until it is in force at every gate.
    pub async fn add_endpoint(&self, service: &str, name: &str, address: SocketAddr) {
        self.add_version_endpoint(service, "v1", name, address)
            .await;
    }

    /// Declares an endpoint and waits until it is in force at every gate.
    pub async fn add_version_endpoint(
        &self,
        service: &str,
        version: &str,
        name: &str,
        address: SocketAddr,
    ) {
        let endpoint = Endpoint {
            name: name.parse().unwrap(),
            service: service.parse().unwrap(),
            version: version.parse().unwrap(),
            address,
            vm: format!("vm-{name}").parse().unwrap(),
            domain: "d1".parse().unwrap(),
        };
        self.update_config(|config| {
            config
                .endpoints
                .insert(endpoint.name.clone(), versioned(endpoint));
        });
        self.wait_in_force().await;
    }

    /// Waits until the configuration is in force at every gate that accepts connections.
    pub async fn wait_in_force(&self) {
        let expected = Some(self.table.borrow().offset);
        for gate in &self.gates {
            let rpc = gate.address("rpc");
            if std::net::TcpStream::connect(rpc).is_err() {
                continue;
            }
            wait_until("the configuration is in force", TIMEOUT, async || {
                let call =
                    self.rpc
                        .call(rpc, TIMEOUT, |client| async move { client.offset().await });
                call.await.is_ok_and(|offset| offset >= expected)
            })
            .await;
        }
    }

    /// Adds a notice that the VM of an endpoint is reclaimed after `notice`.
    pub fn reclaim_endpoint(&self, name: &str, notice: Duration) {
        self.reclaim(&format!("vm-{name}"), notice);
    }

    /// Adds a notice that the VM of the gate with this index is reclaimed after `notice`.
    pub fn reclaim_gate(&self, index: usize, notice: Duration) {
        self.reclaim(&format!("gate-vm{}", index + 1), notice);
    }

    /// Adds notices that the VMs of several endpoints and gates are reclaimed after `notice`, in
    /// one update of the table.
    pub fn reclaim_all(&self, endpoints: &[&str], gates: &[usize], notice: Duration) {
        let deadline = wall_now().plus(notice);
        let vms = endpoints.iter().map(|name| format!("vm-{name}"));
        let vms = vms.chain(gates.iter().map(|index| format!("gate-vm{}", index + 1)));
        let vms: Vec<VmName> = vms.map(|vm| vm.parse().unwrap()).collect();
        self.update_table(|t| {
            t.live
                .leaving
                .extend(vms.into_iter().map(|vm| (vm, deadline)));
        });
    }

    /// Changes the table and sends it to all gates.
    pub fn update_table(&self, update: impl FnOnce(&mut Table)) {
        self.table.send_modify(update);
    }

    /// Returns the counters of the gate with this index.
    pub async fn counts(&self, index: usize) -> GateCounts {
        let rpc = self.gates[index].address("rpc");
        let call = self
            .rpc
            .call(rpc, TIMEOUT, |client| async move { client.counts().await });
        call.await.unwrap()
    }

    /// Waits until `condition` holds for the counters of the gate with this index.
    pub async fn wait_counts(
        &self,
        index: usize,
        description: &str,
        condition: impl Fn(&GateCounts) -> bool,
    ) {
        wait_until(description, TIMEOUT, async || {
            condition(&self.counts(index).await)
        })
        .await;
    }

    fn reclaim(&self, vm: &str, notice: Duration) {
        let vm: VmName = vm.parse().unwrap();
        let deadline = wall_now().plus(notice);
        self.update_table(|t| {
            t.live.leaving.insert(vm, deadline);
        });
    }

    fn update_config(&self, update: impl FnOnce(&mut ConfigState)) {
        self.update_table(|t| {
            let mut config = t.config.as_deref().cloned().unwrap_or_default();
            update(&mut config);
            config.next = config.next.next();
            t.offset = config.next;
            t.config = Some(Arc::new(config));
        });
    }
}

fn wall_now() -> Timestamp {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    Timestamp(millis(since_epoch))
}

fn versioned<T>(value: T) -> Versioned<T> {
    Versioned {
        revision: Offset(0),
        value,
    }
}

fn initial_table() -> Table {
    let mut config = ConfigState {
        next: Offset(1),
        ..ConfigState::default()
    };
    for (name, token) in [("lakeside", TOKEN), ("harbour", OTHER_TOKEN)] {
        let name: CustomerName = name.parse().unwrap();
        let customer = Customer {
            name: name.clone(),
            tokens: vec![token_hash(token)],
            weight: 1,
        };
        config.customers.insert(name, versioned(customer));
    }
    for (name, kind) in [
        ("tutor", ServiceKind::Model),
        ("booking", ServiceKind::Plain),
    ] {
        let name: ServiceName = name.parse().unwrap();
        let service = service(name.clone(), kind);
        config.services.insert(name, versioned(service));
    }
    Table {
        offset: config.next,
        config: Some(Arc::new(config)),
        live: LiveView::default(),
    }
}

fn service(name: ServiceName, kind: ServiceKind) -> Service {
    let route = |prefix: &str, repeatable: bool, timeout: u64| Route {
        prefix: prefix.to_owned(),
        repeatable,
        priority: Priority::Interactive,
        timeout: Duration::from_secs(timeout),
    };
    let version = |share: u32| Version {
        model: String::from("model"),
        share,
    };
    let versions: IndexMap<VersionName, Version> = IndexMap::from_iter([
        ("v1".parse().unwrap(), version(1000)),
        ("v2".parse().unwrap(), version(0)),
    ]);
    Service {
        name,
        kind,
        versions,
        routes: vec![
            route("v1/", true, 30),
            route("stock", true, 10),
            route("quick", true, 2),
            route("book", false, 10),
        ],
        keys: KeySupport::Ignored,
        fenced: true,
        target: Duration::from_secs(1),
        replicas: 0,
    }
}

async fn serve_table(table: watch::Receiver<Table>) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let mut module = RpcModule::new(table);
    module
        .register_subscription(
            "table_subscribe",
            "table_update",
            "table_unsubscribe",
            |_params, pending, table, _extensions| async move {
                let sink = pending.accept().await?;
                let mut table = watch::Receiver::clone(&table);
                while !sink.is_closed() {
                    let update = table.borrow_and_update().full_update();
                    let raw = serde_json::value::to_raw_value(&update)?;
                    if sink.send(SubscriptionMessage::from(raw)).await.is_err() {
                        break;
                    }
                    let _ = tokio::time::timeout(RESEND_INTERVAL, table.changed()).await;
                }
                Ok(())
            },
        )
        .unwrap();
    module
        .register_method("table_report", |_params, _table, _extensions| {
            ResponsePayload::success(HybridTime::default())
        })
        .unwrap();
    (address, server.start(module))
}
