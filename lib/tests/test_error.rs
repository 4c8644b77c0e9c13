//! Tests of the table from error kind to answer.

use hawthornrack_lib::ErrorKind;
use hawthornrack_lib::Outcome;

#[test]
fn test_error_table_is_whole() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind:?}");
        assert!((1..=16).contains(&answer.grpc), "{kind:?}");
        assert!(!kind.name().is_empty());
    }
}

#[test]
fn test_error_refusals_before_dispatch_say_not_run() {
    let refused = ErrorKind::ALL
        .into_iter()
        .filter(|kind| kind.answer().outcome == Outcome::NotRun);
    for kind in refused {
        assert_ne!(kind.answer().status, 502, "{kind:?}");
    }
}
