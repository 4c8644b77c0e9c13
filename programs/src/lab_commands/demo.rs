//! The `demo` subcommand: a whole deployment in one process.

use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use hawthornrack_lab::EngineSettings;
use hawthornrack_lab::PlainSettings;
use hawthornrack_lab::Site;
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

/// Value of the header that carries it.
const CUSTOMER_CREDENTIALS: &str = "Bearer demo-customer";

/// Bearer token of the demo's operator.
const OPERATOR_TOKEN: &str = "demo-operator";

/// Time between two plain calls of the background load.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit of one call.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Runs a whole deployment in one process, sends it requests, moves traffic to a new version
/// and prints the answers, the move's result and the time line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoCommand {
    /// time that the move may take, in seconds
    #[argh(option, default = "12")]
    seconds: u64,
}

/// Why a call of the demo failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum CallError {
    /// no answer came: {0}
    Send(#[from] SendError),
    /// the answer broke off: {0}
    Body(#[from] hyper::Error),
    /// no answer within the time limit
    Timeout(#[from] Elapsed),
}

/// A caller of the demo.
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
        let token = dir.path().join("operator-token");
        std::fs::write(&token, OPERATOR_TOKEN)?;

        println!("# Starting a log, a cloud, two entries and six endpoints");
        let control = ControlSettings::default();
        let site = Site::start(&DOMAINS, &secret, OPERATOR_TOKEN, control).await?;
        let declarations = dir.path().join("declarations.toml");
        std::fs::write(&declarations, declare(&site).await?)?;

        println!("\n# Applying the declarations: hawthornctl apply");
        let operator = Operator::new(&site, &token);
        operator.run(&["apply", path_text(&declarations)?]).await?;
        site.wait_ready(6).await?;

        let caller = Caller::find_entries(&site).await?;
        caller.show_stream().await?;
        caller.show_plain().await?;
        self.show_move(&operator, &caller).await?;

        println!("\n# The time line of the move: hawthornctl timeline --id desk-v2");
        operator.run(&["timeline", "--id", "desk-v2"]).await?;
        site.stop().await;
        Ok(())
    }

    async fn show_move(&self, operator: &Operator, caller: &Caller) -> CommandResult {
        println!("\n# Moving the traffic of `desk` to v2 while callers go on");
        let stop = CancellationToken::new();
        let load = tokio::spawn(caller.clone().call_until(stop.clone()));
        let deadline = format!("{}s", self.seconds);
        let start = [
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
        operator.run(&start).await?;
        stop.cancel();
        let (answered, failed) = load.await?;
        println!("calls answered during the move: {answered}, failed: {failed}");
        if failed > 0 {
            return Err("a call failed during the move".into());
        }
        Ok(())
    }
}

/// Runs commands of `hawthornctl` in this process.
struct Operator {
    servers: Vec<String>,
    token: String,
}

impl Operator {
    fn new(site: &Site, token: &Path) -> Self {
        let servers = site.entries.iter();
        Self {
            servers: servers
                .map(|e| e.controller.addrs().operators.to_string())
                .collect(),
            token: token.display().to_string(),
        }
    }

    async fn run(&self, words: &[&str]) -> CommandResult {
        let mut args = vec![String::from("hawthornctl")];
        args.extend(words.iter().map(|w| (*w).to_owned()));
        for server in &self.servers {
            args.extend([String::from("--server"), server.clone()]);
        }
        args.extend([String::from("--token-file"), self.token.clone()]);
        let code = ctl_commands::run(&args).await;
        if code == ExitCode::SUCCESS {
            Ok(())
        } else {
            Err(format!("hawthornctl {} failed", words.join(" ")).into())
        }
    }
}

impl Caller {
    async fn find_entries(site: &Site) -> Result<Self, Box<dyn Error>> {
        println!("\n# Asking an entry which entries to use: GET /v1/entries");
        let first = site.entries.first().ok_or("no entry runs")?;
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

    async fn show_stream(&self) -> CommandResult {
        println!("\n# A streamed answer of a model: POST /tutor/v1/completions");
        let body = json!({"prompt": "reef knots", "max_tokens": 8, "stream": true});
        let path = "/tutor/v1/completions";
        for entry in 0..self.entries.len() {
            let (status, text) = self.call(entry, Method::POST, path, Some(&body)).await?;
            println!("through entry {}: {status} {}", entry + 1, joined(&text));
        }
        Ok(())
    }

    async fn show_plain(&self) -> CommandResult {
        println!("\n# A plain call: GET /desk/chains/7");
        for entry in 0..self.entries.len() {
            let (status, text) = self
                .call(entry, Method::GET, "/desk/chains/7", None)
                .await?;
            println!("through entry {}: {status} {text}", entry + 1);
        }
        Ok(())
    }

    /// Calls the plain service again and again; returns the answers and the failures.
    async fn call_until(self, stop: CancellationToken) -> (u64, u64) {
        let (mut answered, mut failed) = (0, 0);
        let mut entry = 0;
        while !stop.is_cancelled() {
            entry = (entry + 1) % self.entries.len();
            let call = self.call(entry, Method::GET, "/desk/chains/7", None);
            match call.await {
                Ok((200, _)) => answered += 1,
                _ => failed += 1,
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        (answered, failed)
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
        let token = HeaderValue::from_static(CUSTOMER_CREDENTIALS);
        request.headers_mut().insert("authorization", token);
        let exchange = async {
            let (response, _lent) = self.http.send(server, request, Reuse::Never).await?;
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await?.to_bytes();
            Ok::<_, CallError>((status, bytes))
        };
        let (status, bytes) = tokio::time::timeout(CALL_LIMIT, exchange).await??;
        Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
    }
}

/// Starts the endpoints and returns the declarations of the whole deployment.
async fn declare(site: &Site) -> Result<String, Box<dyn Error>> {
    let mut text = format!(
        "[customers.demo]\ntokens = [\"sha256:{}\"]\n\n\
         [services.tutor]\nkind = \"model\"\ntarget = \"900ms\"\n\
         [services.tutor.versions.v1]\nmodel = \"tutor-7b\"\n\n\
         [services.desk]\nkind = \"plain\"\ntarget = \"500ms\"\n\
         [services.desk.versions.v1]\n[services.desk.versions.v2]\n",
        token_hash(CUSTOMER_TOKEN),
    );
    for (index, domain) in DOMAINS.iter().enumerate() {
        let engine = site.add_engine(EngineSettings::default()).await?;
        add_endpoint(&mut text, "tutor", "v1", index, domain, engine)?;
        for version in ["v1", "v2"] {
            let settings = PlainSettings {
                version: version.to_owned(),
                ..PlainSettings::default()
            };
            let plain = site.add_plain(settings).await?;
            add_endpoint(&mut text, "desk", version, index, domain, plain)?;
        }
    }
    Ok(text)
}

fn add_endpoint(
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

/// Joins the text of a completion's events.
fn joined(events: &str) -> String {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    chunks
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

fn path_text(path: &Path) -> Result<&str, Box<dyn Error>> {
    path.to_str().ok_or_else(|| "the path is not text".into())
}
