//! Tests of the mapping from error kinds to responses.

use hawthornrack_lib::ErrorKind;
use hawthornrack_lib::Outcome;

// Guards against an error kind that is added with a status outside 4xx and 5xx, an undefined gRPC
// code or an empty name.
#[test]
fn test_error_mapping_has_valid_codes() {
    for kind in ErrorKind::ALL {
        let mapping = kind.mapping();
        assert!((400..600).contains(&mapping.status), "{kind:?}");
        assert!((1..=16).contains(&mapping.grpc), "{kind:?}");
        assert!(!kind.name().is_empty());
    }
}

// Guards against status 502 for a request that was refused before dispatch: callers would assume
// that an endpoint had run it.
#[test]
fn test_error_not_run_has_no_bad_gateway_status() {
    let refused = ErrorKind::ALL
        .into_iter()
        .filter(|kind| kind.mapping().outcome == Outcome::NotRun);
    for kind in refused {
        assert_ne!(kind.mapping().status, 502, "{kind:?}");
    }
}
