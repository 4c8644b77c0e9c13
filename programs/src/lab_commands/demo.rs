//! The `demo` subcommand, which runs a whole deployment in one process.

use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use hawthornrack_lab::EngineSettings;
use hawthornrack_lab::LocalDeployment;
use hawthornrack_lab::PlainSettings;
use hawthornrack_lib::ControlSettings;
use hawthornrack_lib::EntryList;
use hawthornrack_lib::HttpClient;
use hawthornrack_lib::Reuse;
use hawthornrack_lib::SendError;
use hawthornrack_lib::json_request;
use hawthornrack_lib::token_hash;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::header::HeaderValue;
use serde_json::Value;
use serde_json::json;
use tokio::time::error::Elapsed;
use tokio_util::sync::CancellationToken;

use super::CommandResult;
use crate::ctl_commands;

/// Failure domains of the demo's entries and endpoints.
const DOMAINS: [&str; 2] = ["zone-a", "zone-b"];

/// Bearer token of the demo's customer.
const CUSTOMER_TOKEN: &str = "demo-customer";

/// Value of the `authorization` header with the customer's token.
const CUSTOMER_AUTHORIZATION: &str = "Bearer demo-customer";

/// Bearer token of the demo's operator.
const OPERATOR_TOKEN: &str = "demo-operator";

/// Delay between requests of the background load on the plain service.
const LOAD_DELAY: Duration = Duration::from_millis(20);

/// Timeout for a request through an entry, including its response body; the message of
/// [`CallError::Timeout`] repeats it.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a whole deployment in one process, sends requests to it, moves traffic to a new version,
/// and prints the responses, the result of the move and its timeline.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoCommand {
    /// deadline of the move, in seconds from its start
    #[argh(option, default = "12")]
    seconds: u64,
}

/// Error of a request through an entry.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum CallError {
    /// no response: {0}
    Send(#[from] SendError),
    /// the response body ended early: {0}
    Body(#[from] hyper::Error),
    /// no complete response within 10 s
    Timeout(#[from] Elapsed),
}

/// Client that calls the services through the entries.
#[derive(Clone, Debug)]
struct Caller {
    http: HttpClient,
    entries: Vec<SocketAddr>,
}

impl DemoCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let dir = tempfile::tempdir()?;
        let secret = dir.path().join("shared-key");
        std::fs::write(&secret, "key of the demo")?;
        let token_file = dir.path().join("operator-token");
        std::fs::write(&token_file, OPERATOR_TOKEN)?;

        println!(
            "# Starting stand-ins for the log and the cloud API, two entries and six endpoints"
        );
        let control = ControlSettings::default();
        let deployment = LocalDeployment::start(&DOMAINS, &secret, OPERATOR_TOKEN, control).await?;
        let declarations = dir.path().join("declarations.toml");
        std::fs::write(&declarations, start_endpoints(&deployment).await?)?;

        println!("\n# Applying the declarations: hawthornctl apply");
        let operator = OperatorCli::new(&deployment, &token_file);
        operator.run(&["apply", path_str(&declarations)?]).await?;
        deployment.wait_ready(6).await?;

        let caller = Caller::discover(&deployment).await?;
        caller.request_streams().await?;
        caller.request_plain().await?;
        self.run_move(&operator, &caller).await?;

        println!("\n# Timeline of the move: hawthornctl timeline --id desk-v2");
        operator.run(&["timeline", "--id", "desk-v2"]).await?;
        deployment.stop().await;
        Ok(())
    }

    async fn run_move(&self, operator: &OperatorCli, caller: &Caller) -> CommandResult {
        println!("\n# Moving the traffic of `desk` to v2 while callers continue to send requests");
        let stop = CancellationToken::new();
        let load = tokio::spawn(caller.clone().call_plain_until(stop.clone()));
        let deadline = format!("{}s", self.seconds);
        let command = [
            "move",
            "start",
            "desk-v2",
            "--service",
            "desk",
            "--to",
            "v2",
            "--deadline",
            &deadline,
            "--watch",
        ];
        operator.run(&command).await?;
        stop.cancel();
        let (succeeded, failed) = load.await?;
        println!("requests during the move: {succeeded} succeeded, {failed} failed");
        if failed > 0 {
            return Err(format!("{failed} requests failed during the move").into());
        }
        Ok(())
    }
}

/// Runs `hawthornctl` commands in this process.
struct OperatorCli {
    servers: Vec<String>,
    token_file: String,
}

impl OperatorCli {
    fn new(deployment: &LocalDeployment, token_file: &Path) -> Self {
        let servers = deployment.entries.iter();
        Self {
            servers: servers
                .map(|e| e.controller.addrs().operators.to_string())
                .collect(),
            token_file: token_file.display().to_string(),
        }
    }

    async fn run(&self, command: &[&str]) -> CommandResult {
        let mut args = vec![String::from("hawthornctl")];
        args.extend(command.iter().map(|word| (*word).to_owned()));
        for server in &self.servers {
            args.extend([String::from("--server"), server.clone()]);
        }
        args.extend([String::from("--token-file"), self.token_file.clone()]);
        let code = ctl_commands::run(&args).await;
        if code == ExitCode::SUCCESS {
            Ok(())
        } else {
            Err(format!("hawthornctl {} failed", command.join(" ")).into())
        }
    }
}

impl Caller {
    /// Creates a client for the entries that the first entry lists.
    async fn discover(deployment: &LocalDeployment) -> Result<Self, Box<dyn Error>> {
        println!("\n# Listing the entries: GET /v1/entries");
        let first = deployment.entries.first().ok_or("no entry is running")?;
        let mut caller = Self {
            http: HttpClient::new(),
            entries: vec![first.gate.addrs().callers],
        };
        let (status, text) = caller.call(0, Method::GET, "/v1/entries", None).await?;
        println!("{status} {text}");
        let list: EntryList = serde_json::from_str(&text)?;
        caller.entries = list.entries;
        Ok(caller)
    }

    async fn request_streams(&self) -> CommandResult {
        println!("\n# Streaming a response of a model: POST /tutor/v1/completions");
        let body = json!({"prompt": "reef knots", "max_tokens": 8, "stream": true});
        let path = "/tutor/v1/completions";
        for entry in 0..self.entries.len() {
            let (status, text) = self.call(entry, Method::POST, path, Some(&body)).await?;
            println!(
                "through entry {}: {status} {}",
                entry + 1,
                join_completion(&text)
            );
        }
        Ok(())
    }

    async fn request_plain(&self) -> CommandResult {
        println!("\n# Calling a plain service: GET /desk/chains/7");
        for entry in 0..self.entries.len() {
            let (status, text) = self
                .call(entry, Method::GET, "/desk/chains/7", None)
                .await?;
            println!("through entry {}: {status} {text}", entry + 1);
        }
        Ok(())
    }

    /// Sends requests to the plain service through the entries in turn until `stop` is cancelled;
    /// returns the number of requests that succeeded and the number that failed.
    async fn call_plain_until(self, stop: CancellationToken) -> (u64, u64) {
        let (mut succeeded, mut failed) = (0, 0);
        let mut entry = 0;
        while !stop.is_cancelled() {
            entry = (entry + 1) % self.entries.len();
            let call = self.call(entry, Method::GET, "/desk/chains/7", None);
            match call.await {
                Ok((200, _)) => succeeded += 1,
                _ => failed += 1,
            }
            tokio::time::sleep(LOAD_DELAY).await;
        }
        (succeeded, failed)
    }

    async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, String), CallError> {
        let server = self.entries[entry];
        let mut request = json_request(server, method, path, body)?;
        let token = HeaderValue::from_static(CUSTOMER_AUTHORIZATION);
        request.headers_mut().insert("authorization", token);
        let exchange = async {
            let (response, _connection) = self.http.send(server, request, Reuse::Never).await?;
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await?.to_bytes();
            Ok::<_, CallError>((status, bytes))
        };
        let (status, bytes) = tokio::time::timeout(CALL_TIMEOUT, exchange).await??;
        Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
    }
}

/// Starts the endpoints and returns the declarations of the whole deployment in TOML.
async fn start_endpoints(deployment: &LocalDeployment) -> Result<String, Box<dyn Error>> {
    let mut text = format!(
        "[customers.demo]\ntokens = [\"sha256:{}\"]\n\n\
         [services.tutor]\nkind = \"model\"\ntarget = \"900ms\"\n\
         [services.tutor.versions.v1]\nmodel = \"tutor-7b\"\n\n\
         [services.desk]\nkind = \"plain\"\ntarget = \"500ms\"\n\
         [services.desk.versions.v1]\n[services.desk.versions.v2]\n",
        token_hash(CUSTOMER_TOKEN),
    );
    for (index, domain) in DOMAINS.iter().enumerate() {
        let engine = deployment.add_engine(EngineSettings::default()).await?;
        declare_endpoint(&mut text, "tutor", "v1", index, domain, engine)?;
        for version in ["v1", "v2"] {
            let settings = PlainSettings {
                version: version.to_owned(),
                ..PlainSettings::default()
            };
            let plain = deployment.add_plain(settings).await?;
            declare_endpoint(&mut text, "desk", version, index, domain, plain)?;
        }
    }
    Ok(text)
}

fn declare_endpoint(
    text: &mut String,
    service: &str,
    version: &str,
    index: usize,
    domain: &str,
    address: SocketAddr,
) -> std::fmt::Result {
    let name = format!("{service}-{version}-{index}");
    write!(
        text,
        "\n[endpoints.{name}]\nservice = \"{service}\"\nversion = \"{version}\"\n\
         address = \"{address}\"\nvm = \"vm-{name}\"\ndomain = \"{domain}\"\n",
    )
}

/// Joins the text chunks of a completion's server-sent events.
fn join_completion(events: &str) -> String {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    chunks
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

fn path_str(path: &Path) -> Result<&str, Box<dyn Error>> {
    path.to_str()
        .ok_or_else(|| format!("the path {} is not valid UTF-8", path.display()).into())
}
