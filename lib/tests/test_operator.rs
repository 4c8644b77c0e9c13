//! Operator RPC: authentication, configuration changes and error statuses.

mod testutils;

use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::ConfigState;
use hawthornrack_lib::Customer;
use hawthornrack_lib::ERROR_KIND_METADATA_KEY;
use hawthornrack_lib::Error;
use hawthornrack_lib::ErrorKind;
use hawthornrack_lib::Offset;
use hawthornrack_lib::OperatorBackend;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::Versioned;
use hawthornrack_lib::operator_proto as proto;
use hawthornrack_lib::operator_proto::operator_client::OperatorClient;
use hawthornrack_lib::to_status;
use hawthornrack_lib::token_hash;
use rstest::rstest;
use testutils::operator::error_kind;
use testutils::operator::name;
use testutils::operator::put_service_request;
use testutils::operator::service;
use testutils::operator::start_server;
use tonic::Code;
use tonic::Request;
use tonic::metadata::MetadataValue;

/// Guards against a call without a valid token that reaches a handler, which would answer that the
/// node is not ready or the request is bad. A token's hash must not be accepted in its place.
#[rstest]
#[case::none(None)]
#[case::wrong(Some("Bearer another token"))]
#[case::hash(Some("Bearer 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"))]
#[case::basic(Some("Basic dXNlcjpwYXNz"))]
#[tokio::test]
async fn test_operator_invalid_token_is_unauthenticated(#[case] header: Option<&'static str>) {
    let fixture = start_server().await;
    *fixture.backend.ready.lock() = false;
    let mut client = OperatorClient::new(fixture.channel.clone());
    let request = || {
        let mut request = Request::new(proto::WatchMoveRequest::default());
        if let Some(header) = header {
            let value = MetadataValue::from_static(header);
            request.metadata_mut().insert("authorization", value);
        }
        request
    };
    let watch = client.watch_move(request()).await.expect_err("refused");
    let get = client.get(request().map(|_| proto::GetRequest {})).await;
    for status in [watch, get.expect_err("refused")] {
        assert_eq!(status.code(), Code::Unauthenticated);
        assert_eq!(error_kind(&status), Some("unauthorized"));
        assert!(!status.message().contains("token hash"), "{status}");
    }
}

/// Guards against a field that the conversions to and from the messages lose or alter.
#[tokio::test]
async fn test_operator_get_returns_applied_configuration() {
    let mut fixture = start_server().await;
    assert_eq!(
        fixture.apply(put_service_request(None, &service())).await,
        Verdict::Accepted
    );
    let customer = Customer {
        name: name("kanem"),
        tokens: vec![token_hash("secret")],
        weight: 2,
    };
    let change = ConfigChange::PutCustomer {
        base: None,
        customer: customer.clone(),
    };
    let request = proto::ApplyRequest::from_change(&change).expect("a change");
    assert_eq!(fixture.apply(request).await, Verdict::Accepted);
    let reply = fixture
        .client
        .get(proto::GetRequest {})
        .await
        .expect("a response");
    let state = ConfigState::try_from(reply.into_inner()).expect("a configuration");
    assert_eq!(state.next, Offset(2));
    let expected = Versioned {
        revision: Offset(0),
        value: service(),
    };
    assert_eq!(state.services[&service().name], expected);
    assert_eq!(state.customers[&customer.name].value, customer);
}

/// Guards against a change on an outdated revision that overwrites a newer one, and against a
/// conflict reported for a change that was only sent again after a lost response.
#[tokio::test]
async fn test_operator_stale_change_conflicts_and_resent_change_is_accepted() {
    let mut fixture = start_server().await;
    let first = put_service_request(None, &service());
    assert_eq!(fixture.apply(first.clone()).await, Verdict::Accepted);
    assert_eq!(fixture.apply(first).await, Verdict::Accepted, "sent again");
    let mut other = service();
    other.replicas = 9;
    let verdict = fixture.apply(put_service_request(None, &other)).await;
    let current = Some(Offset(0));
    assert_eq!(verdict, Verdict::Conflict { current });
    assert_eq!(
        fixture.apply(put_service_request(Some(0), &other)).await,
        Verdict::Accepted
    );
    let verdict = fixture
        .apply(put_service_request(Some(0), &service()))
        .await;
    assert!(matches!(verdict, Verdict::Conflict { current: Some(_) }));
}

/// Guards against a change that is accepted although the shares of the service's versions do not
/// add up, and against a verdict without the reason.
#[tokio::test]
async fn test_operator_change_with_wrong_share_sum_is_invalid() {
    let mut fixture = start_server().await;
    let mut bad = service();
    bad.versions[1].share = 1;
    let verdict = fixture.apply(put_service_request(None, &bad)).await;
    let Verdict::Invalid { reason } = verdict else {
        panic!("{verdict:?}");
    };
    assert!(reason.contains("add up to 1000"), "{reason}");
}

fn without_change(_request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    proto::ApplyRequest::default()
}

fn edit_service(
    request: &mut proto::ApplyRequest,
    edit: fn(&mut proto::Service),
) -> proto::ApplyRequest {
    let Some(proto::apply_request::Change::PutService(put)) = &mut request.change else {
        panic!("a change of a service");
    };
    edit(put.service.as_mut().expect("a service"));
    request.clone()
}

fn without_kind(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edit_service(request, |service| service.kind = 0)
}

fn with_bad_name(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edit_service(request, |service| service.name = String::from("a b"))
}

fn with_duplicate_version(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edit_service(request, |service| {
        service.versions[1].name = String::from("v1");
    })
}

fn with_zero_timeout(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edit_service(request, |service| service.routes[0].timeout_ms = 0)
}

/// Guards against a malformed request that reaches the log or whose status does not say which
/// field is wrong.
#[rstest]
#[case::no_change(without_change, "change is missing")]
#[case::no_kind(without_kind, "service.kind")]
#[case::bad_name(with_bad_name, "service.name")]
#[case::twice(with_duplicate_version, "service.versions is given twice: v1")]
#[case::timeout(with_zero_timeout, "route.timeout_ms")]
#[tokio::test]
async fn test_operator_invalid_field_is_named_in_status(
    #[case] edit: fn(&mut proto::ApplyRequest) -> proto::ApplyRequest,
    #[case] expected_text: &str,
) {
    let mut fixture = start_server().await;
    let request = edit(&mut put_service_request(None, &service()));
    let status = fixture.client.apply(request).await.expect_err("refused");
    assert_eq!(status.code(), Code::InvalidArgument);
    assert_eq!(error_kind(&status), Some("bad_request"));
    assert!(status.message().contains(expected_text), "{status}");
    assert_eq!(
        fixture.backend.config().next,
        Offset(0),
        "nothing was submitted"
    );
}

/// Guards against a failed call whose metadata lacks the error kind or the retry delay, on which
/// clients decide whether to retry.
#[tokio::test]
async fn test_operator_error_kind_is_in_metadata() {
    let mut fixture = start_server().await;
    *fixture.backend.submit_error.lock() = Some(ErrorKind::LogUnavailable);
    let request = put_service_request(None, &service());
    let status = fixture.client.apply(request).await.expect_err("refused");
    assert_eq!(status.code(), Code::Unavailable);
    assert_eq!(error_kind(&status), Some("log_unavailable"));
    assert_eq!(status.metadata().get("retry-after").expect("a time"), "5");
    *fixture.backend.ready.lock() = false;
    let status = fixture
        .client
        .get(proto::GetRequest {})
        .await
        .expect_err("refused");
    assert_eq!(error_kind(&status), Some("not_ready"));
}

/// Guards against a status whose code or metadata differs from the mapping of its error kind.
#[test]
fn test_operator_status_matches_error_mapping() {
    for kind in ErrorKind::ALL {
        let error = Error::new(kind, "error created by the test");
        let status = to_status(&error);
        assert_eq!(status.code() as i32, kind.mapping().grpc);
        let name = status
            .metadata()
            .get(ERROR_KIND_METADATA_KEY)
            .expect("a kind");
        assert_eq!(name.to_str().expect("ASCII"), kind.name());
        let has_retry_after = status.metadata().contains_key("retry-after");
        assert_eq!(has_retry_after, error.retry_after().is_some());
    }
}
