//! Settings of the programs: the default file, validation and error messages.

mod testutils;

use std::process::Command;
use std::process::Output;

use hawthornrack_lib::ControllerSettings;
use hawthornrack_lib::GateSettings;
use rstest::rstest;

use testutils::deployment::CONTROLLER;
use testutils::deployment::GATE;
use testutils::settings_file;

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().unwrap()
}

/// Prints the default settings of a program and returns them.
fn default_settings(program: &str) -> String {
    let output = run(program, &["--print-default"]);
    assert!(output.status.success());
    String::from_utf8(output.stdout).unwrap()
}

/// Checks settings with a program. Returns whether they passed, and the messages on standard error.
fn check(program: &str, text: &str) -> (bool, String) {
    let file = settings_file(text);
    let path = file.path().to_string_lossy().into_owned();
    let output = run(program, &["--check", "--settings", &path]);
    let message = String::from_utf8(output.stderr).unwrap();
    (output.status.success(), message)
}

#[rstest]
#[case::gate(GATE)]
#[case::controller(CONTROLLER)]
fn test_settings_default_file_passes_the_check(#[case] program: &str) {
    let (passed, message) = check(program, &default_settings(program));
    assert!(passed, "{message}");
}

#[test]
fn test_settings_default_file_holds_the_defaults() {
    let gate: GateSettings = toml::from_str(&default_settings(GATE)).unwrap();
    let printed = toml::Value::try_from(gate.limits).unwrap();
    let expected = toml::Value::try_from(hawthornrack_lib::LimitSettings::default()).unwrap();
    assert_eq!(printed, expected);
    let printed = toml::Value::try_from(gate.routing).unwrap();
    let expected = toml::Value::try_from(hawthornrack_lib::RoutingSettings::default()).unwrap();
    assert_eq!(printed, expected);
    let controller: ControllerSettings = toml::from_str(&default_settings(CONTROLLER)).unwrap();
    let printed = toml::Value::try_from(controller.control).unwrap();
    let expected = toml::Value::try_from(hawthornrack_lib::ControlSettings::default()).unwrap();
    assert_eq!(printed, expected);
}

#[rstest]
#[case::unknown_key(GATE, "listen =", "lisen =", &["line 4", "unknown field `lisen`", "`listen`"])]
#[case::wrong_type(GATE, "body = 8388608", "body = \"8M\"", &["invalid type", "body", "line"])]
#[case::invalid_node_name(GATE, "node = \"entry-1\"", "node = \"entry 1\"", &["node", "' '"])]
#[case::bad_address(GATE, "127.0.0.1:8080", "nowhere", &["invalid socket address"])]
#[case::no_controllers(GATE, "[\"127.0.0.1:7100\"]", "[]", &["`controllers` is empty"])]
#[case::zero_limit(GATE, "requests = 4096", "requests = 0", &["`limits.requests` is zero"])]
#[case::limit_below_minimum(
    GATE, "headers = 32768", "headers = 10", &["`limits.headers`", "at least 1024"])]
#[case::probe_over_suspicion(
    CONTROLLER, "probe = 500", "probe = 5000", &["`control.probe`", "`control.suspicion`"])]
#[case::margin_over_term(
    CONTROLLER, "margin = 1000", "margin = 3000", &["control.margin", "`control.term`"])]
#[case::token_not_hashed(
    CONTROLLER, "operator_tokens = []", "operator_tokens = [\"hunter2\"]", &["hash-token"])]
fn test_settings_error_describes_the_wrong_value(
    #[case] program: &str,
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] expected: &[&str],
) {
    let text = default_settings(program);
    assert!(text.contains(right), "not in the default settings: {right}");
    let (passed, message) = check(program, &text.replacen(right, wrong, 1));
    assert!(!passed);
    for part in expected {
        assert!(message.contains(part), "{part:?} in {message}");
    }
    // An error must not print a token that was given instead of its hash.
    assert!(!message.contains("hunter2"), "{message}");
}

#[test]
fn test_settings_missing_file_is_reported() {
    let output = run(GATE, &["--settings", "no-such-file.toml"]);
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("no-such-file.toml"), "{message}");
}
