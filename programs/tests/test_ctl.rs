//! Process tests of `hawthornctl` against real controllers and against a scripted server.

mod testutils;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::process::Output;
use std::process::Stdio;

use futures_util::Stream;
use hawthornrack_lib::operator_proto as proto;
use hawthornrack_lib::operator_proto::operator_server::Operator;
use hawthornrack_lib::operator_proto::operator_server::OperatorServer;
use hawthornrack_lib::token_hash;
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::time::timeout;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use self::testutils::LIMIT;
use self::testutils::Process;
use self::testutils::wait_until;

const CTL: &str = env!("CARGO_BIN_EXE_hawthornctl");

const CONTROLLER: &str = env!("CARGO_BIN_EXE_hawthorn-controller");

const TOKEN: &str = "the-operators-token";

const DECLARATIONS: &str = r#"
[services.advisor]
kind = "model"
target = "900ms"

[services.advisor.versions.v1]
model = "advisor-7b"

[services.advisor.versions.v2]
model = "advisor-8b"

[endpoints.a1]
service = "advisor"
version = "v1"
address = "127.0.0.1:8000"
vm = "vm-1"
domain = "jos-north"

[customers.kanem]
tokens = ["sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]
"#;

/// Files of an operator, and the servers that the commands go to.
struct Desk {
    dir: TempDir,
    servers: Vec<SocketAddr>,
}

impl Desk {
    fn new(servers: &[SocketAddr]) -> Self {
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("token"), format!("{TOKEN}\n")).unwrap();
        let desk = Self {
            dir,
            servers: servers.to_vec(),
        };
        desk.declare(DECLARATIONS);
        desk
    }

    fn declare(&self, text: &str) {
        fs::write(self.path("site.toml"), text).unwrap();
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn command(&self, words: &str) -> Command {
        let mut command = Command::new(CTL);
        command.args(words.split_whitespace());
        command.current_dir(self.dir.path()).kill_on_drop(true);
        command.stdin(Stdio::null());
        if !self.servers.is_empty() {
            command.args(["--token-file", "token"]);
        }
        for server in &self.servers {
            command.args(["--server", &server.to_string()]);
        }
        command
    }

    async fn run(&self, words: &str) -> Done {
        let output = timeout(LIMIT, self.command(words).output()).await;
        Done::new(&output.expect("the command ends in time").unwrap())
    }
}

/// What a command printed and its exit code.
#[derive(Debug)]
struct Done {
    code: i32,
    out: String,
    err: String,
}

impl Done {
    fn new(output: &Output) -> Self {
        Self {
            code: output.status.code().expect("an exit code"),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("not JSON: {self:?}"))
    }
}

/// A log stand-in and some controllers.
struct Site {
    dir: TempDir,
    log: Process,
    controllers: Vec<Process>,
}

impl Site {
    fn empty() -> Self {
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("secret"), "the-shared-key").unwrap();
        Self {
            dir,
            log: Process::lab("log", &[]),
            controllers: Vec::new(),
        }
    }

    async fn start(controllers: usize) -> Self {
        let mut site = Self::empty();
        for index in 0..controllers {
            site.add(index);
        }
        let desk = site.desk();
        for server in &desk.servers {
            let one = Desk::new(&[*server]);
            let ready = async || {
                let done = one.run("status --json").await;
                done.code == 0 && done.json()["ready"] == true
            };
            wait_until("the controller is ready", LIMIT, ready).await;
        }
        site
    }

    fn add(&mut self, index: usize) {
        let peers: Vec<String> = self
            .controllers
            .iter()
            .map(|c| format!("\"{}\"", c.address("rpc")))
            .collect();
        let text = format!(
            "rpc = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nops = \"127.0.0.1:0\"\n\
             secret_file = \"{}\"\noperator_tokens = [\"{}\"]\npeers = [{}]\n\
             [place]\nnode = \"n{index}\"\nvm = \"vm-n{index}\"\n\
             domain = \"jos-north\"\nregion = \"jos-plateau\"\n\
             [platform]\nlog = \"{}\"\n",
            self.dir.path().join("secret").display(),
            token_hash(TOKEN),
            peers.join(", "),
            self.log.http(),
        );
        let path = self.dir.path().join(format!("n{index}.toml"));
        fs::write(&path, text).unwrap();
        let path = path.display().to_string();
        let process = Process::start(CONTROLLER, &["--settings", &path], &[]);
        self.controllers.push(process);
    }

    fn desk(&self) -> Desk {
        let servers: Vec<SocketAddr> = self
            .controllers
            .iter()
            .map(|c| c.address("operators"))
            .collect();
        Desk::new(&servers)
    }
}

#[rstest]
#[case::help("--help", 0, "Error codes", "")]
#[case::no_command("", 2, "", "hawthornctl --help")]
#[case::unknown_command("aply site.toml", 2, "", "aply")]
#[case::no_server("status", 2, "", "needs --server")]
#[case::bad_server("status --server nowhere", 2, "", "--server")]
#[case::no_token("status --server 127.0.0.1:1", 2, "", "needs --token-file")]
#[case::bad_deadline("move start m --service s --to v --deadline soon", 2, "", "as in 2h")]
#[case::valid("validate site.toml", 0, "1 services, 1 endpoints, 1 customers", "")]
#[case::valid_directory("validate .", 0, "1 services, 1 endpoints, 1 customers", "")]
#[case::no_file("validate none.toml", 1, "", "none.toml: cannot be read")]
#[case::hash("hash-token token", 0, "sha256:", "")]
#[case::hash_nothing("hash-token", 1, "", "one word on one line")]
#[tokio::test]
async fn test_ctl_exit_code_without_a_server(
    #[case] words: &str,
    #[case] code: i32,
    #[case] out: &str,
    #[case] err: &str,
) {
    let done = Desk::new(&[]).run(words).await;
    assert_eq!(done.code, code, "{done:?}");
    assert!(done.out.contains(out), "{done:?}");
    assert!(done.err.contains(err), "{done:?}");
}

#[tokio::test]
async fn test_ctl_validate_names_file_line_and_key() {
    let desk = Desk::new(&[]);
    desk.declare(&DECLARATIONS.replace("target =", "tagret ="));
    let done = desk.run("validate site.toml").await;
    assert_eq!(done.code, 1);
    assert!(done.err.contains("site.toml:4: tagret: "), "{done:?}");
    let done = desk.run("--json validate site.toml").await;
    let error: Value = serde_json::from_str(&done.err).unwrap();
    assert_eq!(error["error"], "failed");
}

#[tokio::test]
async fn test_ctl_unreachable_servers_are_named() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let done = Desk::new(&[address]).run("status").await;
    assert_eq!(done.code, 4, "{done:?}");
    assert!(done.err.contains(&address.to_string()), "{done:?}");
}

// The first command of the README failed at times: controllers that had no configuration in
// force yet refused, and the command gave up at once.
#[tokio::test]
async fn test_ctl_apply_waits_for_controllers_of_a_new_deployment() {
    let mut site = Site::empty();
    site.log.pause();
    site.add(0);
    site.add(1);
    let desk = site.desk();
    let resume = async {
        tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
        site.log.resume();
    };
    let (done, ()) = tokio::join!(desk.run("apply site.toml"), resume);
    assert_eq!(done.code, 0, "{done:?}");
}

#[tokio::test]
async fn test_ctl_apply_is_idempotent() {
    let site = Site::start(2).await;
    let desk = site.desk();
    let diff = desk.run("diff site.toml").await;
    assert_eq!(diff.code, 3, "{diff:?}");
    assert!(
        diff.out.contains("+ service advisor\n+ endpoint a1"),
        "{diff:?}"
    );
    let first = desk.run("apply site.toml --json").await;
    assert_eq!(first.code, 0, "{first:?}");
    let applied = ["service advisor", "endpoint a1", "customer kanem"];
    assert_eq!(first.json()["applied"], serde_json::json!(applied));
    assert_eq!(desk.run("diff site.toml").await.code, 0);
    let next = desk.run("status --json").await.json()["next"].clone();
    let second = desk.run("apply site.toml").await;
    assert_eq!(
        (second.code, second.out.as_str()),
        (0, "nothing to change\n")
    );
    assert_eq!(desk.run("status --json").await.json()["next"], next);
}

#[tokio::test]
async fn test_ctl_deletes_only_when_asked() {
    let site = Site::start(1).await;
    let desk = site.desk();
    assert_eq!(desk.run("apply site.toml").await.code, 0);
    let cut = DECLARATIONS.find("[endpoints.a1]").unwrap();
    desk.declare(&DECLARATIONS[..cut]);
    let kept = desk.run("diff site.toml").await;
    assert_eq!(kept.code, 0, "{kept:?}");
    assert!(
        kept.out.contains("endpoint a1: not declared, kept"),
        "{kept:?}"
    );
    assert_eq!(desk.run("diff site.toml --prune").await.code, 3);
    assert_eq!(desk.run("apply site.toml --prune").await.code, 0);
    let none = desk.run("diff site.toml --prune").await;
    assert_eq!((none.code, none.out.as_str()), (0, "no differences\n"));
}

#[tokio::test]
async fn test_ctl_goes_on_with_the_next_server() {
    let mut site = Site::start(2).await;
    let desk = site.desk();
    assert_eq!(desk.run("apply site.toml").await.code, 0);
    site.controllers[0].kill();
    let done = desk.run("status --json").await;
    assert_eq!(done.code, 0, "{done:?}");
    assert_eq!(done.json()["node"], "n1");
    assert_eq!(desk.run("apply site.toml").await.code, 0);
}

#[tokio::test]
async fn test_ctl_wrong_token_gets_nowhere() {
    let site = Site::start(1).await;
    let desk = site.desk();
    fs::write(desk.path("token"), "another-token").unwrap();
    for words in [
        "status",
        "diff site.toml",
        "apply site.toml",
        "timeline",
        "entries",
    ] {
        let done = desk.run(words).await;
        assert_eq!(done.code, 1, "{done:?}");
        assert_eq!(done.out, "", "{done:?}");
        assert!(!done.err.contains("another-token"), "{done:?}");
    }
}

#[tokio::test]
async fn test_ctl_move_is_watched_to_its_cancel_over_a_lost_server() {
    let mut site = Site::start(2).await;
    let desk = site.desk();
    assert_eq!(desk.run("apply site.toml").await.code, 0);
    let start = "move start to-v2 --service advisor --to v2 --start 1h --deadline 2h --watch";
    let mut command = desk.command(&format!("{start} --json"));
    let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut next = async || -> Option<Value> {
        let line = timeout(LIMIT, lines.next_line()).await;
        let line = line.expect("a line in time").unwrap()?;
        Some(serde_json::from_str(&line).unwrap())
    };
    let first = next().await.expect("progress");
    assert_eq!(first["phase"], "waiting");
    assert_eq!(first["spec"]["from"], "v1");
    site.controllers[0].kill();
    let cancel = desk.run("move cancel to-v2").await;
    assert_eq!(cancel.code, 0, "{cancel:?}");
    let mut ends = 0;
    while let Some(progress) = next().await {
        ends += usize::from(!progress["end"].is_null());
    }
    assert_eq!(ends, 1, "the end is told once");
    let status = timeout(LIMIT, child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(1));
    let again = desk.run("move watch to-v2").await;
    assert_eq!(again.code, 1);
    assert!(again.out.contains("move to-v2 cancelled at"), "{again:?}");
    let twice = desk
        .run("move start to-v2 --service advisor --to v2 --deadline 2h")
        .await;
    assert_eq!(twice.code, 1, "{twice:?}");
    assert!(
        twice.err.contains("a move of this name exists"),
        "{twice:?}"
    );
}

#[tokio::test]
async fn test_ctl_unknown_objects_fail_clearly() {
    let site = Site::start(1).await;
    let desk = site.desk();
    let done = desk.run("move cancel none").await;
    assert_eq!(done.code, 1, "{done:?}");
    assert!(done.err.contains("no such move"), "{done:?}");
    let done = desk
        .run("move start m --service none --to v2 --deadline 2h")
        .await;
    assert_eq!(done.code, 1, "{done:?}");
    assert!(done.err.contains("there is no service none"), "{done:?}");
}

type ProgressStream = Pin<Box<dyn Stream<Item = Result<proto::MoveProgress, Status>> + Send>>;

/// A server whose every verdict is the same and whose moves are all taken back.
struct Scripted {
    verdict: proto::verdict::Verdict,
}

impl Scripted {
    async fn start(verdict: proto::verdict::Verdict) -> Desk {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Server::builder().add_service(OperatorServer::new(Self { verdict }));
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        Desk::new(&[address])
    }

    fn answer(&self) -> Response<proto::Verdict> {
        let verdict = Some(self.verdict.clone());
        Response::new(proto::Verdict { verdict })
    }
}

fn taken_back(name: String) -> proto::MoveProgress {
    proto::MoveProgress {
        r#move: Some(proto::Move {
            name,
            service: String::from("advisor"),
            from: String::from("v1"),
            to: String::from("v2"),
            start_ms: 1,
            deadline_ms: 2,
        }),
        phase: proto::MovePhase::Ended.into(),
        end: Some(proto::MoveEnd {
            result: proto::MoveResult::TakenBack.into(),
            reason: String::from("v2 fails on /fit-check"),
            at_ms: 5,
        }),
        ..proto::MoveProgress::default()
    }
}

#[tonic::async_trait]
impl Operator for Scripted {
    type WatchMoveStream = ProgressStream;

    async fn get(
        &self,
        _request: Request<proto::GetRequest>,
    ) -> Result<Response<proto::Configuration>, Status> {
        Ok(Response::new(proto::Configuration::default()))
    }

    async fn apply(
        &self,
        _request: Request<proto::ApplyRequest>,
    ) -> Result<Response<proto::Verdict>, Status> {
        Ok(self.answer())
    }

    async fn start_move(
        &self,
        _request: Request<proto::StartMoveRequest>,
    ) -> Result<Response<proto::Verdict>, Status> {
        Ok(self.answer())
    }

    async fn cancel_move(
        &self,
        _request: Request<proto::CancelMoveRequest>,
    ) -> Result<Response<proto::Verdict>, Status> {
        Ok(self.answer())
    }

    async fn watch_move(
        &self,
        request: Request<proto::WatchMoveRequest>,
    ) -> Result<Response<ProgressStream>, Status> {
        let progress = taken_back(request.into_inner().name);
        Ok(Response::new(Box::pin(tokio_stream::once(Ok(progress)))))
    }

    async fn status(
        &self,
        _request: Request<proto::StatusRequest>,
    ) -> Result<Response<proto::StatusReply>, Status> {
        Err(Status::unavailable("the log does not answer"))
    }

    async fn timeline(
        &self,
        _request: Request<proto::TimelineRequest>,
    ) -> Result<Response<proto::TimelineReply>, Status> {
        let event = proto::Event {
            process: String::from("gate/n1"),
            what: String::from("request.accepted"),
            fields: vec![proto::Field {
                name: String::from("request"),
                value: String::from("r1"),
            }],
            ..proto::Event::default()
        };
        Ok(Response::new(proto::TimelineReply {
            events: vec![event],
            missing: vec![String::from("gate/n2")],
        }))
    }

    async fn entries(
        &self,
        _request: Request<proto::EntriesRequest>,
    ) -> Result<Response<proto::EntriesReply>, Status> {
        let entry = proto::Entry {
            node: String::from("n1"),
            domain: String::from("bukuru"),
            address: String::from("10.0.0.1:80"),
            load: 125,
        };
        let entries = vec![entry];
        Ok(Response::new(proto::EntriesReply { entries }))
    }
}

#[tokio::test]
async fn test_ctl_conflict_is_told_clearly() {
    let conflict = proto::Conflict { current: Some(17) };
    let desk = Scripted::start(proto::verdict::Verdict::Conflict(conflict)).await;
    let done = desk.run("apply site.toml").await;
    assert_eq!(done.code, 3, "{done:?}");
    let told = "service advisor: another writer changed it after it was compared; it is at \
                revision 17 now; 0 of 3 changes are in force; run diff and apply again";
    assert!(done.err.contains(told), "{done:?}");
}

#[tokio::test]
async fn test_ctl_move_taken_back_has_its_own_exit_code() {
    let accepted = proto::Accepted { offset: 1 };
    let desk = Scripted::start(proto::verdict::Verdict::Accepted(accepted)).await;
    let done = desk.run("move watch to-v2").await;
    assert_eq!(done.code, 5, "{done:?}");
    assert!(done.out.contains("move to-v2 taken back at"), "{done:?}");
    assert!(done.out.contains("v2 fails on /fit-check"), "{done:?}");
}

#[tokio::test]
async fn test_ctl_tables_show_what_the_server_says() {
    let accepted = proto::Accepted { offset: 1 };
    let desk = Scripted::start(proto::verdict::Verdict::Accepted(accepted)).await;
    let entries = desk.run("entries").await;
    assert!(entries.out.contains("10.0.0.1:80"), "{entries:?}");
    assert!(entries.out.contains("12.5%"), "{entries:?}");
    let timeline = desk.run("timeline --id r1 --since 10m").await;
    assert!(
        timeline.out.contains("1970-01-01T00:00:00.000Z"),
        "{timeline:?}"
    );
    assert!(timeline.out.contains("request=r1"), "{timeline:?}");
    let missing = "no events could be read from gate/n2";
    assert!(timeline.out.contains(missing), "{timeline:?}");
    assert_eq!(desk.run("status").await.code, 4);
}
