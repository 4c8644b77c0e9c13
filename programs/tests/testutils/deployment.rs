//! A whole deployment of real processes behind the fault-injecting proxy.

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
use super::Http;
use super::LIMIT;
use super::Process;
use super::Proxy;
use super::settings_file;
use super::wait_until;

/// Path of `hawthorn-gate`.
pub const GATE: &str = env!("CARGO_BIN_EXE_hawthorn-gate");

/// Path of `hawthorn-controller`.
pub const CONTROLLER: &str = env!("CARGO_BIN_EXE_hawthorn-controller");

/// Bearer token of the customer `kanem`.
pub const TOKEN: &str = "kanem-token";

/// Bearer token of the customer `balaton`.
pub const OTHER_TOKEN: &str = "balaton-token";

/// Bearer token of operators.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Names of the failure domains; entries and endpoints are spread over them in turn.
pub const DOMAINS: [&str; 4] = ["jos-north", "bukuru", "pankshin", "mangu"];

/// One entry VM: a controller and a gate, reached through links of the proxy.
///
/// The links are named `log-I` (controller to log), `cloud-I` (controller to cloud), `rpc-I`
/// (others to the controller), `own-I` (the gate to the controller), `gate-I` (callers to the
/// gate) and `handover-I` (gates to the gate).
pub struct Entry {
    /// Index of the entry.
    pub index: usize,
    /// Controller process.
    pub controller: Process,
    /// Gate process.
    pub gate: Process,
    rpc: SocketAddr,
    callers: SocketAddr,
}

/// One endpoint, reached through the link `endpoint-NAME`.
pub struct Server {
    /// Name of the endpoint.
    pub name: String,
    /// Name of its machine at the cloud.
    pub vm: String,
    /// Stand-in process.
    pub process: Process,
    /// Address of the link that the gates use.
    pub link: SocketAddr,
    declared: Endpoint,
}

/// A whole deployment.
pub struct Deployment {
    /// Entries.
    pub entries: Vec<Entry>,
    /// Endpoints.
    pub servers: Vec<Server>,
    /// Log stand-in.
    pub log: Process,
    /// Cloud stand-in.
    pub cloud: Process,
    /// Fault-injecting proxy.
    pub proxy: Proxy,
    /// Client for callers and stand-ins.
    pub http: Http,
    secret: NamedTempFile,
    settings: Vec<NamedTempFile>,
    control: String,
}

impl Deployment {
    /// Starts the platform's stand-ins and `entries` entries without any declaration.
    pub async fn start(entries: usize) -> Self {
        Self::start_with(entries, "").await
    }

    /// Starts like [`Deployment::start`] with lines for the section `[control]` of the
    /// controllers' settings.
    pub async fn start_with(entries: usize, control: &str) -> Self {
        let mut deployment = Self {
            entries: Vec::new(),
            servers: Vec::new(),
            log: Process::lab("log", &[]),
            cloud: Process::lab("cloud", &[]),
            proxy: Proxy::start(),
            http: Http::new(),
            secret: settings_file("shared key of the tests"),
            settings: Vec::new(),
            control: control.to_owned(),
        };
        for index in 0..entries {
            deployment.add_entry(index).await;
        }
        deployment.wait_ready().await;
        deployment
    }

    /// Starts another entry with the next index and returns the index.
    pub async fn grow(&mut self) -> usize {
        let index = self.entries.len();
        self.add_entry(index).await;
        index
    }

    async fn add_entry(&mut self, index: usize) {
        let log = self.log.http();
        let cloud = self.cloud.http();
        self.proxy.link(&format!("log-{index}"), Some(log)).await;
        self.proxy
            .link(&format!("cloud-{index}"), Some(cloud))
            .await;
        let rpc = self.proxy.link(&format!("rpc-{index}"), None).await;
        self.proxy.link(&format!("own-{index}"), None).await;
        let callers = self.proxy.link(&format!("gate-{index}"), None).await;
        self.proxy.link(&format!("handover-{index}"), None).await;
        let vm = json!({
            "name": entry_vm(index), "token": entry_vm(index), "class": "entry",
            "domain": DOMAINS[index % DOMAINS.len()], "market": "reclaimable",
            "address": callers, "price": 0,
        });
        self.control_cloud("/control/vms", &vm).await;
        let controller = self.start_controller(index, rpc).await;
        let gate = self.start_gate(index, callers).await;
        self.entries.push(Entry {
            index,
            controller,
            gate,
            rpc,
            callers,
        });
    }

    /// Starts the controller of an entry again, as after a restart of the process.
    pub async fn restart_controller(&mut self, index: usize) {
        let rpc = self.entries[index].rpc;
        let controller = self.start_controller(index, rpc).await;
        self.entries[index].controller = controller;
    }

    /// Starts the gate of an entry again, as after a restart of the process.
    pub async fn restart_gate(&mut self, index: usize) {
        let callers = self.entries[index].callers;
        let gate = self.start_gate(index, callers).await;
        self.entries[index].gate = gate;
    }

    async fn start_controller(&mut self, index: usize, rpc: SocketAddr) -> Process {
        let links = self.proxy.links().await;
        let address = |name: String| links.iter().find(|l| l.name == name).unwrap().listen;
        let peers: Vec<String> = (0..self.entries.len())
            .filter(|other| *other != index)
            .map(|other| format!("\"{}\"", self.entries[other].rpc))
            .collect();
        let text = format!(
            "rpc = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nops = \"127.0.0.1:0\"\n\
             advertise = \"{rpc}\"\npeers = [{}]\nsecret_file = \"{}\"\n\
             operator_tokens = [\"{}\"]\n{}\n[platform]\nlog = \"{}\"\ncloud = \"{}\"\n\
             list = \"{}\"\n[control]\n{}\n",
            peers.join(", "),
            self.secret.path().display(),
            token_hash(OPERATOR_TOKEN),
            place(index),
            address(format!("log-{index}")),
            address(format!("cloud-{index}")),
            address(format!("cloud-{index}")),
            self.control,
        );
        let process = self.start_program(CONTROLLER, &text);
        for link in [format!("rpc-{index}"), format!("own-{index}")] {
            self.proxy.set_target(&link, process.address("rpc")).await;
        }
        process
    }

    async fn start_gate(&mut self, index: usize, callers: SocketAddr) -> Process {
        let links = self.proxy.links().await;
        let address = |name: &str| links.iter().find(|l| l.name == name).unwrap().listen;
        let handover = format!("handover-{index}");
        let peer = address(&handover);
        let own = address(&format!("own-{index}"));
        let text = format!(
            "listen = \"127.0.0.1:0\"\nrpc = \"127.0.0.1:0\"\nops = \"127.0.0.1:0\"\n\
             advertise = \"{callers}\"\nrpc_advertise = \"{peer}\"\n\
             controllers = [\"{own}\"]\nsecret_file = \"{}\"\n{}\n",
            self.secret.path().display(),
            place(index),
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
        self.settings.push(file);
        let env = [("HAWTHORN_LOG", "info")];
        Process::start(program, &["--settings", &path], &env)
    }

    async fn wait_ready(&self) {
        for entry in &self.entries {
            let at = entry.operators();
            wait_until("the controller is ready", LIMIT, async || {
                status_of(at).await.is_ok_and(|report| report.state.ready)
            })
            .await;
        }
    }

    /// Starts a deployment with the service `tutor` on the engine `engine-1`, which makes fifty
    /// tokens a second and is given ten seconds at its end.
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

    /// Starts a model engine on a machine of its own; it is declared with
    /// [`Deployment::declare`].
    pub async fn add_engine(
        &mut self,
        service: &str,
        version: &str,
        name: &str,
        settings: &[&str],
    ) {
        let own = format!("version=\"{version}\"");
        let mut all = vec![own.as_str()];
        all.extend_from_slice(settings);
        let process = Process::lab("engine", &all);
        self.add_server(service, version, name, process).await;
    }

    /// Starts a plain service on a machine of its own; it is declared with
    /// [`Deployment::declare`].
    pub async fn add_plain(&mut self, service: &str, version: &str, name: &str, settings: &[&str]) {
        let own = format!("version=\"{version}\"");
        let mut all = vec![own.as_str()];
        all.extend_from_slice(settings);
        let process = Process::lab("plain", &all);
        self.add_server(service, version, name, process).await;
    }

    async fn add_server(&mut self, service: &str, version: &str, name: &str, process: Process) {
        let domain = DOMAINS[self.servers.len() % DOMAINS.len()];
        let link = format!("endpoint-{name}");
        let link = self.proxy.link(&link, Some(process.http())).await;
        let vm = self.start_vm(name, domain, link).await;
        let declared = Endpoint {
            name: EndpointName::new(name).unwrap(),
            service: ServiceName::new(service).unwrap(),
            version: VersionName::new(version).unwrap(),
            address: link,
            vm: VmName::new(vm.clone()).unwrap(),
            domain: DomainName::new(domain).unwrap(),
        };
        self.servers.push(Server {
            name: name.to_owned(),
            vm,
            process,
            link,
            declared,
        });
    }

    /// Starts a machine at the cloud for a server and returns its name.
    async fn start_vm(&self, token: &str, domain: &str, address: SocketAddr) -> String {
        let cloud = self.cloud.http();
        let server = json!({"domain": domain, "address": address});
        self.control_cloud("/control/servers", &server).await;
        let start = json!({
            "token": token, "class": "small", "domain": domain, "market": "reclaimable",
        });
        let vm: Value = self.http.post(cloud, "/vms", &start).await;
        vm["name"].as_str().unwrap().to_owned()
    }

    /// Declares the customers and the given services with all endpoints started so far, and
    /// waits until every gate lists the entries and every service has come into force.
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
        for server in &self.servers {
            let endpoint = server.declared.clone();
            self.apply(ConfigChange::PutEndpoint {
                base: None,
                endpoint,
            })
            .await;
        }
        self.wait_entries(self.entries.len()).await;
        self.wait_in_force(LIMIT).await;
    }

    /// Applies a change through the first entry; it must be accepted.
    pub async fn apply(&self, change: ConfigChange) {
        let verdict = self.submit(0, change).await.unwrap();
        assert_eq!(verdict, Verdict::Accepted);
    }

    /// Submits a change through an entry and returns the verdict.
    pub async fn submit(&self, index: usize, change: ConfigChange) -> Result<Verdict, Status> {
        submit_to(self.entries[index].operators(), change).await
    }

    /// Returns the configuration in force at an entry's controller.
    pub async fn config(&self, index: usize) -> Result<ConfigState, Status> {
        config_of(self.entries[index].operators()).await
    }

    /// Returns the state of an entry's controller.
    pub async fn status(&self, index: usize) -> Result<NodeReport, Status> {
        status_of(self.entries[index].operators()).await
    }

    /// Returns the entries that a gate lists, empty when it refuses.
    pub async fn list_entries(&self, index: usize) -> Vec<SocketAddr> {
        let call = Call::new(Method::GET, "/v1/entries").bearer(TOKEN);
        let answer = self.http.send(self.entries[index].callers(), call).await;
        let Ok(answer) = answer else {
            return Vec::new();
        };
        serde_json::from_slice::<EntryList>(&answer.body).map_or(Vec::new(), |list| list.entries)
    }

    /// Checks that no task of an entry's processes has panicked.
    pub fn assert_no_panics(&self) {
        for entry in &self.entries {
            for process in [&entry.controller, &entry.gate] {
                let log = process.log_text();
                assert!(!log.contains("panicked at"), "{log}");
            }
        }
    }

    /// Returns clients of the RPC ports of the deployment's processes.
    pub fn rpc(&self) -> RpcClients {
        RpcClients::new(SharedKey::read(self.secret.path()).unwrap())
    }

    /// Waits until every gate lists `count` entries.
    pub async fn wait_entries(&self, count: usize) {
        for entry in &self.entries {
            wait_until("every gate lists all entries", LIMIT, async || {
                self.list_entries(entry.index).await.len() == count
            })
            .await;
        }
    }

    /// Waits until every controller and every gate has the same configuration in force.
    pub async fn wait_in_force(&self, limit: Duration) -> Duration {
        wait_until(
            "the same configuration is in force everywhere",
            limit,
            async || {
                let mut offsets = Vec::new();
                for entry in &self.entries {
                    let report = status_of(entry.operators()).await;
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

    /// Gives notice to a server's machine, `ms` milliseconds before its end.
    pub async fn give_notice(&self, vm: &str, ms: u64) {
        let order = json!({"vm": vm, "ms": ms});
        self.control_cloud("/control/notice", &order).await;
    }

    async fn control_cloud(&self, path: &str, body: &Value) {
        let call = Call::post(path, body);
        let answer = self.http.send(self.cloud.http(), call).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    /// Returns a server by name.
    pub fn server(&self, name: &str) -> &Server {
        self.servers.iter().find(|s| s.name == name).unwrap()
    }

    /// Returns a server's counters.
    pub async fn stats<T: serde::de::DeserializeOwned>(&self, name: &str) -> T {
        self.http
            .get(self.server(name).process.http(), "/stats")
            .await
    }
}

impl Entry {
    /// Returns the address that callers use.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the operators' port.
    pub fn operators(&self) -> SocketAddr {
        self.controller.address("operators")
    }
}

/// Returns the name of an entry's machine.
pub fn entry_vm(index: usize) -> String {
    format!("entry-vm-{index}")
}

fn place(index: usize) -> String {
    let domain = DOMAINS[index % DOMAINS.len()];
    format!(
        "[place]\nnode = \"entry-{index}\"\nvm = \"{}\"\ndomain = \"{domain}\"\n\
         region = \"jos-plateau\"",
        entry_vm(index)
    )
}

/// Connects to an operators' port.
pub async fn operator(address: SocketAddr) -> Result<OperatorClient<Channel>, Status> {
    let endpoint = Channel::from_shared(format!("http://{address}")).unwrap();
    let channel = endpoint
        .timeout(LIMIT)
        .connect()
        .await
        .map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(OperatorClient::new(channel))
}

/// Adds the operators' token to a message.
pub fn with_token<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    let value = format!("Bearer {OPERATOR_TOKEN}").parse().unwrap();
    request.metadata_mut().insert("authorization", value);
    request
}

/// Submits a change to an operators' port and returns the verdict.
pub async fn submit_to(address: SocketAddr, change: ConfigChange) -> Result<Verdict, Status> {
    let mut client = operator(address).await?;
    let verdict = match change {
        ConfigChange::StartMove { base, spec } => {
            let message = proto::StartMoveRequest {
                base: base.0,
                r#move: Some((&spec).into()),
            };
            client.start_move(with_token(message)).await?
        }
        ConfigChange::CancelMove { name } => {
            let message = proto::CancelMoveRequest {
                name: name.to_string(),
            };
            client.cancel_move(with_token(message)).await?
        }
        change => {
            let message = proto::ApplyRequest::from_change(&change).unwrap();
            client.apply(with_token(message)).await?
        }
    };
    let verdict = Verdict::try_from(verdict.into_inner());
    verdict.map_err(|error| Status::internal(error.to_string()))
}

/// Returns the configuration in force at a controller.
pub async fn config_of(address: SocketAddr) -> Result<ConfigState, Status> {
    let mut client = operator(address).await?;
    let reply = client.get(with_token(proto::GetRequest {})).await?;
    let state = ConfigState::try_from(reply.into_inner());
    state.map_err(|error| Status::internal(error.to_string()))
}

/// Returns the state of a controller.
pub async fn status_of(address: SocketAddr) -> Result<NodeReport, Status> {
    let mut client = operator(address).await?;
    let reply = client.status(with_token(proto::StatusRequest {})).await?;
    let report = NodeReport::try_from(reply.into_inner());
    report.map_err(|error| Status::internal(error.to_string()))
}

/// Returns a declared service with versions `v1` (all traffic) and `v2` (none).
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

/// Returns the revision of a service at an entry.
pub async fn revision(deployment: &Deployment, index: usize, service: &str) -> Offset {
    let config = deployment.config(index).await.unwrap();
    config.services[&ServiceName::new(service).unwrap()].revision
}
