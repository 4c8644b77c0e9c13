//! Tests of declaration files and of the diff between them and the configuration in force.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use hawthornrack_lib::Action;
use hawthornrack_lib::Body;
use hawthornrack_lib::Change;
use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::ConfigState;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::Declarations;
use hawthornrack_lib::Envelope;
use hawthornrack_lib::Move;
use hawthornrack_lib::MoveName;
use hawthornrack_lib::MoveResult;
use hawthornrack_lib::NodeName;
use hawthornrack_lib::Record;
use hawthornrack_lib::RecordId;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::diff;
use hawthornrack_lib::token_hash;
use rstest::rstest;

const VALID_FILE: &str = r#"
[services.advisor]
kind = "model"
target = "900ms"
fenced = true

[[services.advisor.routes]]
prefix = "fit-check"
repeatable = true
timeout = "30s"

[[services.advisor.routes]]
prefix = "assessment"
priority = "deferred"
timeout = "10m"

[services.advisor.versions.v1]
model = "advisor-7b"

[services.advisor.versions.v2]
model = "advisor-8b"

[services.desk]
kind = "plain"
keys = "honoured"
target = "200ms"
versions.r1 = { share = 1000 }

[endpoints.a1]
service = "advisor"
version = "v1"
address = "10.0.0.1:8000"
vm = "vm-1"
domain = "jos-north"

[endpoints.a2]
service = "advisor"
version = "v2"
address = "10.0.0.2:8000"
vm = "vm-2"
domain = "bukuru"

[customers.kanem]
tokens = ["sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]
weight = 2
"#;

fn parse(text: &str) -> Result<Declarations, String> {
    let sources = [(PathBuf::from("site.toml"), text.to_owned())];
    Declarations::parse(&sources).map_err(|error| error.to_string())
}

fn parse_valid(text: &str) -> Declarations {
    parse(text).expect("the text is valid")
}

fn commit(state: &mut ConfigState, change: ConfigChange) -> Verdict {
    let record = Record {
        offset: state.next,
        envelope: Envelope {
            id: RecordId::random(),
            writer: NodeName::new("n1").expect("a valid name"),
            at: Timestamp(1),
            body: Body::Config(change),
        },
    };
    state.apply(&record).expect("a verdict")
}

fn commit_all(state: &mut ConfigState, changes: Vec<Change>) {
    for change in changes {
        let name = change.name.clone();
        assert_eq!(commit(state, change.change), Verdict::Accepted, "{name}");
    }
}

fn apply_all(state: &mut ConfigState, declared: &Declarations) {
    let changes = diff(state, declared);
    commit_all(state, changes);
}

fn summary(changes: &[Change]) -> Vec<(Action, &'static str, &str)> {
    changes
        .iter()
        .map(|c| (c.action, c.kind, c.name.as_str()))
        .collect()
}

/// Guards against durations read in the wrong unit and against wrong default shares, with which a
/// new service would send traffic to the wrong version. Also checks that the token hash is that of
/// `secret`.
#[test]
fn test_declaration_reads_units_and_defaults() {
    let all = parse_valid(VALID_FILE);
    let advisor = &all.services[&ServiceName::new("advisor").unwrap()].service;
    assert_eq!(advisor.routes[0].timeout, Duration::from_secs(30));
    assert_eq!(advisor.routes[1].timeout, Duration::from_mins(10));
    assert_eq!(advisor.target, Duration::from_millis(900));
    assert_eq!(advisor.versions[0].share, 1000);
    assert_eq!(advisor.versions[1].share, 0);
    let kanem = &all.customers[&CustomerName::new("kanem").unwrap()];
    assert_eq!(kanem.tokens, [token_hash("secret")]);
}

/// Guards against errors that do not tell an operator where the fault is and what would be valid.
///
/// Each case replaces the first `valid` in the file with `invalid`. The error must name the first
/// line that contains `text_on_line`, then `key`, and must contain `remedy`.
#[rstest]
#[case::unknown_key(
    "timeout = \"30s\"",
    "timeuot = \"30s\"",
    "timeuot",
    "timeuot",
    "expected one of"
)]
#[case::unknown_table(
    "[customers.kanem]",
    "[clients.kanem]",
    "[clients",
    "[clients.kanem]",
    "expected one of"
)]
#[case::no_unit(
    "\"900ms\"",
    "\"900\"",
    "\"900\"",
    "target",
    "a number with its unit is needed"
)]
#[case::unknown_kind(
    "\"plain\"",
    "\"plian\"",
    "\"plian\"",
    "kind",
    "expected `model` or `plain`"
)]
#[case::shares(
    "share = 1000",
    "share = 900",
    "[services.desk]",
    "desk",
    "add up to 900"
)]
#[case::no_port("10.0.0.1:8000", "10.0.0.1", "10.0.0.1", "address", "socket address")]
#[case::bad_name("\"vm-1\"", "\"vm 1\"", "vm 1", "vm", "other than a-z")]
#[case::service(
    "service = \"advisor\"",
    "service = \"advice\"",
    "\"advice\"",
    "advice",
    "declared are advisor, desk"
)]
#[case::version(
    "version = \"v1\"",
    "version = \"v3\"",
    "\"v3\"",
    "v3",
    "it has v1, v2"
)]
#[case::weight("weight = 2", "weight = 0", "weight", "weight", "nonzero")]
#[case::no_model(
    "model = \"advisor-7b\"",
    "",
    "[services.advisor.versions.v1]",
    "v1",
    "needs `model`"
)]
#[case::route_twice(
    "prefix = \"assessment\"\npriority = \"deferred\"",
    "priority = \"deferred\"\nprefix = \"fit-check\" # again",
    "# again",
    "fit-check",
    "declared twice"
)]
#[case::zero_timeout("\"30s\"", "\"0s\"", "\"fit-check\"", "fit-check", "longer than zero")]
#[case::leading_slash(
    "\"fit-check\"",
    "\"/fit-check\"",
    "\"/fit-check\"",
    "/fit-check",
    "no leading slash"
)]
#[case::not_toml("weight = 2", "weight = ", "weight", "weight", "quoted")]
fn test_declaration_error_names_line_key_and_remedy(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] text_on_line: &str,
    #[case] key: &str,
    #[case] remedy: &str,
) {
    let text = VALID_FILE.replacen(valid, invalid, 1);
    assert_ne!(text, VALID_FILE);
    let error = parse(&text).expect_err("the text is invalid");
    let line = 1 + text
        .lines()
        .position(|line| line.contains(text_on_line))
        .unwrap();
    let start = format!("site.toml:{line}: {key}: ");
    assert!(error.starts_with(&start), "{error:?} has no {start:?}");
    assert!(error.contains(remedy), "{error:?} has no {remedy:?}");
}

/// Guards against a plain token, written in place of its hash, that appears in the error message.
#[test]
fn test_declaration_error_omits_the_token() {
    let text = VALID_FILE.replace("sha256:2bb8", "open-sesame");
    let error = parse(&text).expect_err("the token is not hashed");
    assert!(error.contains("hawthornctl hash-token"), "{error}");
    assert!(!error.contains("open-sesame"), "{error}");
}

/// Guards against a declaration in one file that silently overrides one in another file.
#[test]
fn test_declaration_rejects_a_name_declared_in_two_files() {
    let part = "[customers.kanem]\ntokens = []\n".to_owned();
    let sources = [
        (PathBuf::from("a.toml"), part.clone()),
        (PathBuf::from("b.toml"), part),
    ];
    let error = Declarations::parse(&sources).expect_err("declared twice");
    assert!(
        error
            .to_string()
            .starts_with("b.toml:1: kanem: declared twice")
    );
}

/// Guards against references that are checked before all files of a directory have been read, and
/// against other files that are taken for declarations.
#[test]
fn test_declaration_reads_a_directory() {
    let dir = tempfile::tempdir().unwrap();
    let (services, endpoints) = VALID_FILE.split_at(VALID_FILE.find("[endpoints.a1]").unwrap());
    std::fs::write(dir.path().join("b.toml"), services).unwrap();
    std::fs::write(dir.path().join("a.toml"), endpoints).unwrap();
    std::fs::write(dir.path().join("notes.txt"), "not a declaration").unwrap();
    let all = Declarations::load(dir.path()).expect("a valid directory");
    assert_eq!(all, parse_valid(VALID_FILE));
}

/// Guards against a wrong path that counts as an empty declaration, which would delete everything.
#[test]
fn test_declaration_rejects_an_empty_directory_and_a_missing_file() {
    let dir = tempfile::tempdir().unwrap();
    let error = Declarations::load(dir.path()).expect_err("no files");
    assert!(error.to_string().contains("holds no *.toml file"));
    let error = Declarations::load(Path::new("no/such.toml")).expect_err("no file");
    assert!(
        error
            .to_string()
            .starts_with("no/such.toml: cannot be read")
    );
}

/// Guards against changes in an order that the fold rejects, and against a diff that
/// still reports changes after it has been applied.
#[test]
fn test_declaration_diff_applied_leaves_no_difference() {
    let declared = parse_valid(VALID_FILE);
    let mut state = ConfigState::default();
    let changes = diff(&state, &declared);
    assert_eq!(
        summary(&changes),
        [
            (Action::Create, "service", "advisor"),
            (Action::Create, "service", "desk"),
            (Action::Create, "endpoint", "a1"),
            (Action::Create, "endpoint", "a2"),
            (Action::Create, "customer", "kanem"),
        ]
    );
    commit_all(&mut state, changes);
    assert_eq!(diff(&state, &declared), []);
}

/// Guards against a replacement that hides from the operator which field it changes.
#[test]
fn test_declaration_diff_names_the_fields_that_change() {
    let mut state = ConfigState::default();
    apply_all(&mut state, &parse_valid(VALID_FILE));
    let declared = parse_valid(&VALID_FILE.replace("10.0.0.2:8000", "10.0.0.9:8000"));
    let changes = diff(&state, &declared);
    assert_eq!(summary(&changes), [(Action::Replace, "endpoint", "a2")]);
    assert_eq!(changes[0].fields.len(), 1);
    assert_eq!(changes[0].fields[0].field, "address");
    commit_all(&mut state, changes);
    assert_eq!(diff(&state, &declared), []);
}

/// Guards against a diff that deletes a service before its endpoints: the deletion of the service
/// removes them too, and their own deletions would then conflict.
#[test]
fn test_declaration_diff_deletes_endpoints_before_services() {
    let mut state = ConfigState::default();
    apply_all(&mut state, &parse_valid(VALID_FILE));
    let declared = Declarations::default();
    let changes = diff(&state, &declared);
    assert_eq!(
        summary(&changes),
        [
            (Action::Delete, "endpoint", "a1"),
            (Action::Delete, "endpoint", "a2"),
            (Action::Delete, "service", "advisor"),
            (Action::Delete, "service", "desk"),
            (Action::Delete, "customer", "kanem"),
        ]
    );
    commit_all(&mut state, changes);
    assert_eq!(diff(&state, &declared), []);
}

/// Guards against deleting endpoints that the fleet added and no file declares.
#[test]
fn test_declaration_diff_keeps_the_endpoints_of_the_fleet() {
    let text = VALID_FILE.replace("fenced = true", "fenced = true\nreplicas = 2");
    let mut state = ConfigState::default();
    apply_all(&mut state, &parse_valid(&text));
    let without = &text[..text.find("[endpoints.a2]").unwrap()];
    let rest = &text[text.find("[customers").unwrap()..];
    assert_eq!(diff(&state, &parse_valid(&format!("{without}{rest}"))), []);
}

/// Guards against lost updates when two operators apply different files at the same time.
#[test]
fn test_declaration_diff_against_an_old_revision_conflicts() {
    let mut state = ConfigState::default();
    apply_all(&mut state, &parse_valid(VALID_FILE));
    let first = diff(&state, &parse_valid(&VALID_FILE.replace(":8000", ":8001")));
    let second = diff(&state, &parse_valid(&VALID_FILE.replace(":8000", ":8002")));
    commit_all(&mut state, first);
    for change in second {
        let verdict = commit(&mut state, change.change);
        assert!(matches!(verdict, Verdict::Conflict { current: Some(_) }));
    }
}

/// Starts a move of service `advisor` from version `v1` to `v2`.
fn start_move(state: &mut ConfigState) -> MoveName {
    let name = MoveName::new("to-v2").unwrap();
    let spec = Move {
        name: name.clone(),
        service: "advisor".parse().unwrap(),
        from: "v1".parse().unwrap(),
        to: "v2".parse().unwrap(),
        start: Timestamp(1),
        deadline: Timestamp(2),
    };
    let base = state.services[&spec.service].revision;
    let verdict = commit(state, ConfigChange::StartMove { base, spec });
    assert_eq!(verdict, Verdict::Accepted);
    name
}

/// Guards against a file without shares that reverts the shares which a move has set.
#[test]
fn test_declaration_diff_keeps_the_shares_set_by_a_move() {
    let mut state = ConfigState::default();
    apply_all(&mut state, &parse_valid(VALID_FILE));
    let name = start_move(&mut state);
    assert_eq!(diff(&state, &parse_valid(VALID_FILE)), []);
    let end = ConfigChange::EndMove {
        name,
        result: MoveResult::Done,
        reason: String::new(),
    };
    assert_eq!(commit(&mut state, end), Verdict::Accepted);
    assert_eq!(diff(&state, &parse_valid(VALID_FILE)), []);
}

/// Guards against declared shares that disturb a running move or revert a completed one without a
/// warning to the operator.
#[test]
fn test_declaration_diff_warns_of_shares_that_bypass_a_move() {
    let text = VALID_FILE
        .replace("\"advisor-7b\"", "\"advisor-7b\"\nshare = 1000")
        .replace("\"advisor-8b\"", "\"advisor-8b\"\nshare = 0");
    let declared = parse_valid(&text);
    let mut state = ConfigState::default();
    apply_all(&mut state, &declared);
    let name = start_move(&mut state);
    let half = text
        .replace(
            "share = 1000\n\n[services.advisor",
            "share = 500\n\n[services.advisor",
        )
        .replace("share = 0", "share = 500");
    let changes = diff(&state, &parse_valid(&half));
    assert!(changes[0].hazard.as_ref().unwrap().contains("is running"));
    let end = ConfigChange::EndMove {
        name,
        result: MoveResult::Done,
        reason: String::new(),
    };
    assert_eq!(commit(&mut state, end), Verdict::Accepted);
    let changes = diff(&state, &declared);
    assert_eq!(summary(&changes), [(Action::Replace, "service", "advisor")]);
    let hazard = changes[0].hazard.as_ref().expect("a hazard");
    assert!(
        hazard.contains("to-v2 brought the traffic to v2"),
        "{hazard}"
    );
}
