//! A complete deployment of real processes, connected through the fault-injecting proxy.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::ConfigState;
use hawthornrack_lib::Customer;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::DomainName;
use hawthornrack_lib::Endpoint;
use hawthornrack_lib::EndpointName;
use hawthornrack_lib::EntryList;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::NodeReport;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Route;
use hawthornrack_lib::RpcClients;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::SharedKey;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::Version;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::VmName;
use hawthornrack_lib::operator_proto as proto;
use hawthornrack_lib::operator_proto::operator_client::OperatorClient;
use hawthornrack_lib::token_hash;
use hyper::Method;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use tempfile::NamedTempFile;
use tonic::Request;
use tonic::Status;
use tonic::transport::Channel;

use super::Call;
use super::Process;
use super::Proxy;
use super::TIMEOUT;
use super::TestClient;
use super::settings_file;
use super::wait_until;

/// Path of the `hawthorn-gate` binary.
pub const GATE: &str = env!("CARGO_BIN_EXE_hawthorn-gate");

/// Path of the `hawthorn-controller` binary.
pub const CONTROLLER: &str = env!("CARGO_BIN_EXE_hawthorn-controller");

/// Bearer token of the customer `kanem`.
pub const TOKEN: &str = "kanem-token";

/// Bearer token of the customer `balaton`.
pub const OTHER_TOKEN: &str = "balaton-token";

/// Bearer token of the operators.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Names of the failure domains; entries and endpoints are each assigned to them round-robin.
pub const DOMAINS: [&str; 4] = ["jos-north", "bukuru", "pankshin", "mangu"];

/// An entry VM: a controller and a gate, connected through links of the proxy.
///
/// The links of the entry with index `I` are:
///
/// - `log-I`: from its controller to the log
/// - `cloud-I`: from its controller to the cloud, for notices, starts of VMs and the list of VMs
/// - `rpc-I`: from the other entries to its controller
/// - `own-I`: from its gate to its controller
/// - `gate-I`: from callers to its gate
/// - `handover-I`: from the other gates to its gate
pub struct Entry {
    /// Index of the entry.
    pub index: usize,
    /// Controller process.
    pub controller: Process,
    /// Gate process.
    pub gate: Process,
    rpc_address: SocketAddr,
    gate_address: SocketAddr,
}

/// An endpoint, which the gates reach through the link `endpoint-NAME`.
pub struct TestEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Name of its VM at the cloud.
    pub vm: String,
    /// Process of the stand-in that serves the requests.
    pub process: Process,
    /// Address of the link that the gates use.
    pub link_address: SocketAddr,
    declaration: Endpoint,
}

/// A deployment with its stand-ins and proxy; dropping it kills all processes.
pub struct Deployment {
    /// Entry VMs, by index.
    pub entries: Vec<Entry>,
    /// Endpoints, in the order in which they were started.
    pub endpoints: Vec<TestEndpoint>,
    /// Stand-in for the log.
    pub log: Process,
    /// Stand-in for the cloud.
    pub cloud: Process,
    /// Fault-injecting proxy.
    pub proxy: Proxy,
    /// Client for requests to gates and stand-ins.
    pub http: TestClient,
    secret_file: NamedTempFile,
    settings_files: Vec<NamedTempFile>,
    control_settings: String,
}

impl Deployment {
    /// Starts the stand-ins for the platform and `entries` entries, and waits until their
    /// controllers are ready. Nothing is declared.
    pub async fn start(entries: usize) -> Self {
        Self::start_with(entries, "").await
    }

    /// Starts like [`Deployment::start`] with lines for the section `[control]` of the
    /// controllers' settings.
    pub async fn start_with(entries: usize, control: &str) -> Self {
        let mut deployment = Self {
            entries: Vec::new(),
            endpoints: Vec::new(),
            log: Process::lab("log", &[]),
            cloud: Process::lab("cloud", &[]),
            proxy: Proxy::start(),
            http: TestClient::new(),
            secret_file: settings_file("shared key of the tests"),
            settings_files: Vec::new(),
            control_settings: control.to_owned(),
        };
        for index in 0..entries {
            deployment.start_entry(index).await;
        }
        deployment.wait_ready().await;
        deployment
    }

    /// Starts another entry and returns its index; does not wait until it is ready.
    pub async fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        self.start_entry(index).await;
        index
    }

    async fn start_entry(&mut self, index: usize) {
        let log = self.log.http();
        let cloud = self.cloud.http();
        self.proxy
            .add_link(&format!("log-{index}"), Some(log))
            .await;
        self.proxy
            .add_link(&format!("cloud-{index}"), Some(cloud))
            .await;
        let rpc_address = self.proxy.add_link(&format!("rpc-{index}"), None).await;
        self.proxy.add_link(&format!("own-{index}"), None).await;
        let gate_address = self.proxy.add_link(&format!("gate-{index}"), None).await;
        self.proxy
            .add_link(&format!("handover-{index}"), None)
            .await;
        let vm = json!({
            "name": entry_vm(index), "token": entry_vm(index), "class": "entry",
            "domain": DOMAINS[index % DOMAINS.len()], "market": "reclaimable",
            "address": gate_address, "price": 0,
        });
        self.post_to_cloud("/control/vms", &vm).await;
        let controller = self.start_controller(index, rpc_address).await;
        let gate = self.start_gate(index, gate_address).await;
        self.entries.push(Entry {
            index,
            controller,
            gate,
            rpc_address,
            gate_address,
        });
    }

    /// Starts a new controller process for an entry; the old one, if still running, is killed
    /// afterwards.
    pub async fn restart_controller(&mut self, index: usize) {
        let rpc_address = self.entries[index].rpc_address;
        let controller = self.start_controller(index, rpc_address).await;
        self.entries[index].controller = controller;
    }

    /// Starts a new gate process for an entry; the old one, if still running, is killed afterwards.
    pub async fn restart_gate(&mut self, index: usize) {
        let gate_address = self.entries[index].gate_address;
        let gate = self.start_gate(index, gate_address).await;
        self.entries[index].gate = gate;
    }

    async fn start_controller(&mut self, index: usize, rpc_address: SocketAddr) -> Process {
        let links = self.proxy.links().await;
        let link_address = |name: String| links.iter().find(|l| l.name == name).unwrap().listen;
        let peers: Vec<String> = (0..self.entries.len())
            .filter(|other| *other != index)
            .map(|other| format!("\"{}\"", self.entries[other].rpc_address))
            .collect();
        let text = format!(
            "rpc = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nops = \"127.0.0.1:0\"\n\
             advertise = \"{rpc_address}\"\npeers = [{}]\nsecret_file = \"{}\"\n\
             operator_tokens = [\"{}\"]\n{}\n[platform]\nlog = \"{}\"\ncloud = \"{}\"\n\
             list = \"{}\"\n[control]\n{}\n",
            peers.join(", "),
            self.secret_file.path().display(),
            token_hash(OPERATOR_TOKEN),
            place_settings(index),
            link_address(format!("log-{index}")),
            link_address(format!("cloud-{index}")),
            link_address(format!("cloud-{index}")),
            self.control_settings,
        );
        let process = self.start_program(CONTROLLER, &text);
        for link in [format!("rpc-{index}"), format!("own-{index}")] {
            self.proxy.set_target(&link, process.address("rpc")).await;
        }
        process
    }

    async fn start_gate(&mut self, index: usize, gate_address: SocketAddr) -> Process {
        let links = self.proxy.links().await;
        let link_address = |name: &str| links.iter().find(|l| l.name == name).unwrap().listen;
        let handover = format!("handover-{index}");
        let handover_address = link_address(&handover);
        let controller_address = link_address(&format!("own-{index}"));
        let text = format!(
            "listen = \"127.0.0.1:0\"\nrpc = \"127.0.0.1:0\"\nops = \"127.0.0.1:0\"\n\
             advertise = \"{gate_address}\"\nrpc_advertise = \"{handover_address}\"\n\
             controllers = [\"{controller_address}\"]\nsecret_file = \"{}\"\n{}\n",
            self.secret_file.path().display(),
            place_settings(index),
        );
        let process = self.start_program(GATE, &text);
        let link = format!("gate-{index}");
        self.proxy
            .set_target(&link, process.address("callers"))
            .await;
        self.proxy
            .set_target(&handover, process.address("rpc"))
            .await;
        process
    }

    fn start_program(&mut self, program: &str, text: &str) -> Process {
        let file = settings_file(text);
        let path = file.path().to_string_lossy().into_owned();
        self.settings_files.push(file);
        let env = [("HAWTHORN_LOG", "info")];
        Process::start(program, &["--settings", &path], &env)
    }

    async fn wait_ready(&self) {
        for entry in &self.entries {
            let address = entry.operator_address();
            wait_until("the controller is ready", TIMEOUT, async || {
                status_of(address)
                    .await
                    .is_ok_and(|report| report.state.ready)
            })
            .await;
        }
    }

    /// Starts a deployment with the service `tutor` on the engine `engine-1`. The engine generates
    /// fifty tokens per second and keeps a stream without a reader for ten seconds.
    pub async fn with_slow_engine(entries: usize) -> Self {
        let mut deployment = Self::start(entries).await;
        let settings = ["token_us=20_000", "grace_ms=10_000"];
        deployment
            .add_engine("tutor", "v1", "engine-1", &settings)
            .await;
        let tutor = service("tutor", ServiceKind::Model, Vec::new());
        deployment.declare(&[tutor]).await;
        deployment
    }

    /// Starts a model engine on its own VM. [`Deployment::declare`] must be called afterwards to
    /// declare it.
    pub async fn add_engine(
        &mut self,
        service: &str,
        version: &str,
        name: &str,
        settings: &[&str],
    ) {
        let version_setting = format!("version=\"{version}\"");
        let mut all_settings = vec![version_setting.as_str()];
        all_settings.extend_from_slice(settings);
        let process = Process::lab("engine", &all_settings);
        self.add_endpoint(service, version, name, process).await;
    }

    /// Starts an endpoint of a plain service on its own VM. [`Deployment::declare`] must be called
    /// afterwards to declare it.
    pub async fn add_plain(&mut self, service: &str, version: &str, name: &str, settings: &[&str]) {
        let version_setting = format!("version=\"{version}\"");
        let mut all_settings = vec![version_setting.as_str()];
        all_settings.extend_from_slice(settings);
        let process = Process::lab("plain", &all_settings);
        self.add_endpoint(service, version, name, process).await;
    }

    async fn add_endpoint(&mut self, service: &str, version: &str, name: &str, process: Process) {
        let domain = DOMAINS[self.endpoints.len() % DOMAINS.len()];
        let link_name = format!("endpoint-{name}");
        let link_address = self.proxy.add_link(&link_name, Some(process.http())).await;
        let vm = self.start_vm(name, domain, link_address).await;
        let declaration = Endpoint {
            name: EndpointName::new(name).unwrap(),
            service: ServiceName::new(service).unwrap(),
            version: VersionName::new(version).unwrap(),
            address: link_address,
            vm: VmName::new(vm.clone()).unwrap(),
            domain: DomainName::new(domain).unwrap(),
        };
        self.endpoints.push(TestEndpoint {
            name: name.to_owned(),
            vm,
            process,
            link_address,
            declaration,
        });
    }

    /// Starts a VM at the cloud for the process at `address` and returns the name of the VM. The
    /// cloud starts one VM for each `start_token`.
    async fn start_vm(&self, start_token: &str, domain: &str, address: SocketAddr) -> String {
        let cloud = self.cloud.http();
        let server = json!({"domain": domain, "address": address});
        self.post_to_cloud("/control/servers", &server).await;
        let start = json!({
            "token": start_token, "class": "small", "domain": domain, "market": "reclaimable",
        });
        let vm: Value = self.http.post(cloud, "/vms", &start).await;
        vm["name"].as_str().unwrap().to_owned()
    }

    /// Declares the customers `kanem` and `balaton`, the given services and all endpoints started
    /// so far. Waits until every gate lists all entries and the configuration is in force
    /// everywhere.
    pub async fn declare(&self, services: &[Service]) {
        for (name, token) in [("kanem", TOKEN), ("balaton", OTHER_TOKEN)] {
            let customer = Customer {
                name: CustomerName::new(name).unwrap(),
                tokens: vec![token_hash(token)],
                weight: 1,
            };
            self.apply(ConfigChange::PutCustomer {
                base: None,
                customer,
            })
            .await;
        }
        for service in services {
            let service = service.clone();
            self.apply(ConfigChange::PutService {
                base: None,
                service,
            })
            .await;
        }
        for endpoint in &self.endpoints {
            let endpoint = endpoint.declaration.clone();
            self.apply(ConfigChange::PutEndpoint {
                base: None,
                endpoint,
            })
            .await;
        }
        self.wait_entries(self.entries.len()).await;
        self.wait_in_force(TIMEOUT).await;
    }

    /// Applies a change through the first entry.
    ///
    /// # Panics
    ///
    /// Panics unless the change is accepted.
    pub async fn apply(&self, change: ConfigChange) {
        let verdict = self.submit(0, change).await.unwrap();
        assert_eq!(verdict, Verdict::Accepted);
    }

    /// Submits a change through an entry and returns the verdict.
    ///
    /// # Errors
    ///
    /// Returns an error when the controller cannot be reached or refuses the call.
    pub async fn submit(&self, index: usize, change: ConfigChange) -> Result<Verdict, Status> {
        submit_to(self.entries[index].operator_address(), change).await
    }

    /// Returns the configuration in force at an entry's controller.
    ///
    /// # Errors
    ///
    /// Returns an error when the controller cannot be reached or refuses the call.
    pub async fn config(&self, index: usize) -> Result<ConfigState, Status> {
        config_of(self.entries[index].operator_address()).await
    }

    /// Returns the status report of an entry's controller.
    ///
    /// # Errors
    ///
    /// Returns an error when the controller cannot be reached or refuses the call.
    pub async fn status(&self, index: usize) -> Result<NodeReport, Status> {
        status_of(self.entries[index].operator_address()).await
    }

    /// Returns the entries that a gate lists, or an empty list when the request fails.
    pub async fn list_entries(&self, index: usize) -> Vec<SocketAddr> {
        let call = Call::new(Method::GET, "/v1/entries").bearer(TOKEN);
        let response = self
            .http
            .send(self.entries[index].gate_address(), call)
            .await;
        let Ok(response) = response else {
            return Vec::new();
        };
        serde_json::from_slice::<EntryList>(&response.body).map_or(Vec::new(), |list| list.entries)
    }

    /// Asserts that no task in the controllers and gates has panicked.
    pub fn assert_no_panics(&self) {
        for entry in &self.entries {
            for process in [&entry.controller, &entry.gate] {
                let log = process.log_text();
                assert!(!log.contains("panicked at"), "{log}");
            }
        }
    }

    /// Returns RPC clients that use the shared key of the deployment.
    pub fn rpc(&self) -> RpcClients {
        RpcClients::new(SharedKey::read(self.secret_file.path()).unwrap())
    }

    /// Waits until every gate lists `count` entries.
    ///
    /// # Panics
    ///
    /// Panics when a gate takes longer than [`TIMEOUT`].
    pub async fn wait_entries(&self, count: usize) {
        for entry in &self.entries {
            wait_until(
                "the gate lists the expected number of entries",
                TIMEOUT,
                async || self.list_entries(entry.index).await.len() == count,
            )
            .await;
        }
    }

    /// Waits until every controller and every gate has the same configuration in force, and returns
    /// how long that took.
    ///
    /// # Panics
    ///
    /// Panics when that takes longer than `timeout`.
    pub async fn wait_in_force(&self, timeout: Duration) -> Duration {
        wait_until(
            "the same configuration is in force everywhere",
            timeout,
            async || {
                let mut offsets = Vec::new();
                for entry in &self.entries {
                    let report = status_of(entry.operator_address()).await;
                    offsets.push(report.map(|r| r.next).ok());
                }
                let rpc = self.rpc();
                for entry in &self.entries {
                    let gate = entry.gate.address("rpc");
                    offsets.push(super::in_force::offset_at(&rpc, gate).await);
                }
                offsets
                    .windows(2)
                    .all(|pair| pair[0].is_some() && pair[0] == pair[1])
            },
        )
        .await
    }

    /// Makes the cloud send the notice that it reclaims a VM in `notice_ms` milliseconds.
    pub async fn announce_reclaim(&self, vm: &str, notice_ms: u64) {
        let notice = json!({"vm": vm, "ms": notice_ms});
        self.post_to_cloud("/control/notice", &notice).await;
    }

    async fn post_to_cloud(&self, path: &str, body: &Value) {
        let call = Call::post(path, body);
        let response = self.http.send(self.cloud.http(), call).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }

    /// Returns an endpoint by name.
    pub fn endpoint(&self, name: &str) -> &TestEndpoint {
        self.endpoints.iter().find(|e| e.name == name).unwrap()
    }

    /// Returns the counters of an endpoint.
    pub async fn stats<T: serde::de::DeserializeOwned>(&self, name: &str) -> T {
        self.http
            .get(self.endpoint(name).process.http(), "/stats")
            .await
    }
}

impl Entry {
    /// Returns the address at which callers reach the gate.
    pub fn gate_address(&self) -> SocketAddr {
        self.gate_address
    }

    /// Returns the address at which operators reach the controller.
    pub fn operator_address(&self) -> SocketAddr {
        self.controller.address("operators")
    }
}

/// Returns the name of an entry's VM.
pub fn entry_vm(index: usize) -> String {
    format!("entry-vm-{index}")
}

/// Returns the section `[place]` of the settings of an entry's processes.
fn place_settings(index: usize) -> String {
    let domain = DOMAINS[index % DOMAINS.len()];
    format!(
        "[place]\nnode = \"entry-{index}\"\nvm = \"{}\"\ndomain = \"{domain}\"\n\
         region = \"jos-plateau\"",
        entry_vm(index)
    )
}

/// Connects to the operator port of a controller.
///
/// # Errors
///
/// Returns an error when the controller cannot be reached.
pub async fn connect_operator(address: SocketAddr) -> Result<OperatorClient<Channel>, Status> {
    let endpoint = Channel::from_shared(format!("http://{address}")).unwrap();
    let channel = endpoint
        .timeout(TIMEOUT)
        .connect()
        .await
        .map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(OperatorClient::new(channel))
}

/// Wraps a message in a request that carries the operators' token.
pub fn with_operator_token<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    let value = format!("Bearer {OPERATOR_TOKEN}").parse().unwrap();
    request.metadata_mut().insert("authorization", value);
    request
}

/// Submits a change to a controller and returns the verdict.
///
/// # Errors
///
/// Returns an error when the controller cannot be reached or refuses the call.
pub async fn submit_to(address: SocketAddr, change: ConfigChange) -> Result<Verdict, Status> {
    let mut client = connect_operator(address).await?;
    let verdict = match change {
        ConfigChange::StartMove { base, spec } => {
            let message = proto::StartMoveRequest {
                base: base.0,
                r#move: Some((&spec).into()),
            };
            client.start_move(with_operator_token(message)).await?
        }
        ConfigChange::CancelMove { name } => {
            let message = proto::CancelMoveRequest {
                name: name.to_string(),
            };
            client.cancel_move(with_operator_token(message)).await?
        }
        change => {
            let message = proto::ApplyRequest::from_change(&change).unwrap();
            client.apply(with_operator_token(message)).await?
        }
    };
    let verdict = Verdict::try_from(verdict.into_inner());
    verdict.map_err(|error| Status::internal(error.to_string()))
}

/// Returns the configuration in force at a controller.
///
/// # Errors
///
/// Returns an error when the controller cannot be reached or refuses the call.
pub async fn config_of(address: SocketAddr) -> Result<ConfigState, Status> {
    let mut client = connect_operator(address).await?;
    let reply = client
        .get(with_operator_token(proto::GetRequest {}))
        .await?;
    let state = ConfigState::try_from(reply.into_inner());
    state.map_err(|error| Status::internal(error.to_string()))
}

/// Returns the status report of a controller.
///
/// # Errors
///
/// Returns an error when the controller cannot be reached or refuses the call.
pub async fn status_of(address: SocketAddr) -> Result<NodeReport, Status> {
    let mut client = connect_operator(address).await?;
    let reply = client
        .status(with_operator_token(proto::StatusRequest {}))
        .await?;
    let report = NodeReport::try_from(reply.into_inner());
    report.map_err(|error| Status::internal(error.to_string()))
}

/// Returns a service whose version `v1` gets all traffic and whose version `v2` gets none.
pub fn service(name: &str, kind: ServiceKind, routes: Vec<Route>) -> Service {
    let version = |share| Version {
        model: String::from("model"),
        share,
    };
    Service {
        name: ServiceName::new(name).unwrap(),
        kind,
        versions: IndexMap::from([
            (VersionName::new("v1").unwrap(), version(1000)),
            (VersionName::new("v2").unwrap(), version(0)),
        ]),
        routes,
        keys: KeySupport::Ignored,
        fenced: true,
        target: Duration::from_millis(500),
        replicas: 0,
    }
}

/// Returns the revision of a service as in force at an entry's controller.
pub async fn revision(deployment: &Deployment, index: usize, service: &str) -> Offset {
    let config = deployment.config(index).await.unwrap();
    config.services[&ServiceName::new(service).unwrap()].revision
}
