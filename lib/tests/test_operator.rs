//! Operator RPC: access, changes of the configuration and their refusals.

mod testutils;

use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::ConfigState;
use hawthornrack_lib::Customer;
use hawthornrack_lib::Error;
use hawthornrack_lib::ErrorKind;
use hawthornrack_lib::KIND_METADATA;
use hawthornrack_lib::Offset;
use hawthornrack_lib::OperatorBackend;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::Versioned;
use hawthornrack_lib::operator_proto as proto;
use hawthornrack_lib::operator_proto::operator_client::OperatorClient;
use hawthornrack_lib::to_status;
use hawthornrack_lib::token_hash;
use rstest::rstest;
use testutils::operator::kind;
use testutils::operator::name;
use testutils::operator::put_service;
use testutils::operator::service;
use testutils::operator::start;
use tonic::Code;
use tonic::Request;
use tonic::metadata::MetadataValue;

#[rstest]
#[case::none(None)]
#[case::wrong(Some("Bearer another token"))]
#[case::hash(Some("Bearer 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"))]
#[case::basic(Some("Basic dXNlcjpwYXNz"))]
#[tokio::test]
async fn test_operator_wrong_token_learns_nothing(#[case] header: Option<&'static str>) {
    let bench = start().await;
    *bench.backend.ready.lock() = false;
    let mut client = OperatorClient::new(bench.channel.clone());
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
        assert_eq!(kind(&status), Some("unauthorized"));
        assert!(!status.message().contains("token hash"), "{status}");
    }
}

#[tokio::test]
async fn test_operator_configuration_comes_back_as_applied() {
    let mut bench = start().await;
    assert_eq!(
        bench.apply(put_service(None, &service())).await,
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
    assert_eq!(bench.apply(request).await, Verdict::Accepted);
    let reply = bench
        .client
        .get(proto::GetRequest {})
        .await
        .expect("an answer");
    let state = ConfigState::try_from(reply.into_inner()).expect("a configuration");
    assert_eq!(state.next, Offset(2));
    let kept = Versioned {
        revision: Offset(0),
        value: service(),
    };
    assert_eq!(state.services[&service().name], kept);
    assert_eq!(state.customers[&customer.name].value, customer);
}

#[tokio::test]
async fn test_operator_racing_changes_conflict_and_repeats_do_not() {
    let mut bench = start().await;
    let first = put_service(None, &service());
    assert_eq!(bench.apply(first.clone()).await, Verdict::Accepted);
    assert_eq!(bench.apply(first).await, Verdict::Accepted, "sent again");
    let mut other = service();
    other.replicas = 9;
    let verdict = bench.apply(put_service(None, &other)).await;
    let current = Some(Offset(0));
    assert_eq!(verdict, Verdict::Conflict { current });
    assert_eq!(
        bench.apply(put_service(Some(0), &other)).await,
        Verdict::Accepted
    );
    let verdict = bench.apply(put_service(Some(0), &service())).await;
    assert!(matches!(verdict, Verdict::Conflict { current: Some(_) }));
}

#[tokio::test]
async fn test_operator_change_that_breaks_a_rule_is_invalid() {
    let mut bench = start().await;
    let mut bad = service();
    bad.versions[1].share = 1;
    let verdict = bench.apply(put_service(None, &bad)).await;
    let Verdict::Invalid { reason } = verdict else {
        panic!("{verdict:?}");
    };
    assert!(reason.contains("add up to 1000"), "{reason}");
}

fn without_change(_request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    proto::ApplyRequest::default()
}

fn edited(request: &mut proto::ApplyRequest, edit: fn(&mut proto::Service)) -> proto::ApplyRequest {
    let Some(proto::apply_request::Change::PutService(put)) = &mut request.change else {
        panic!("a change of a service");
    };
    edit(put.service.as_mut().expect("a service"));
    request.clone()
}

fn without_kind(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edited(request, |service| service.kind = 0)
}

fn with_bad_name(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edited(request, |service| service.name = String::from("a b"))
}

fn with_version_twice(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edited(request, |service| {
        service.versions[1].name = String::from("v1");
    })
}

fn with_no_timeout(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edited(request, |service| service.routes[0].timeout_ms = 0)
}

#[rstest]
#[case::no_change(without_change, "change is missing")]
#[case::no_kind(without_kind, "service.kind")]
#[case::bad_name(with_bad_name, "service.name")]
#[case::twice(with_version_twice, "service.versions is given twice: v1")]
#[case::timeout(with_no_timeout, "route.timeout_ms")]
#[tokio::test]
async fn test_operator_bad_field_is_named(
    #[case] edit: fn(&mut proto::ApplyRequest) -> proto::ApplyRequest,
    #[case] field: &str,
) {
    let mut bench = start().await;
    let request = edit(&mut put_service(None, &service()));
    let status = bench.client.apply(request).await.expect_err("refused");
    assert_eq!(status.code(), Code::InvalidArgument);
    assert_eq!(kind(&status), Some("bad_request"));
    assert!(status.message().contains(field), "{status}");
    assert_eq!(
        bench.backend.config().next,
        Offset(0),
        "nothing was submitted"
    );
}

#[tokio::test]
async fn test_operator_refusal_names_its_kind() {
    let mut bench = start().await;
    *bench.backend.fault.lock() = Some(ErrorKind::LogUnavailable);
    let request = put_service(None, &service());
    let status = bench.client.apply(request).await.expect_err("refused");
    assert_eq!(status.code(), Code::Unavailable);
    assert_eq!(kind(&status), Some("log_unavailable"));
    assert_eq!(status.metadata().get("retry-after").expect("a time"), "5");
    *bench.backend.ready.lock() = false;
    let status = bench
        .client
        .get(proto::GetRequest {})
        .await
        .expect_err("refused");
    assert_eq!(kind(&status), Some("not_ready"));
}

#[test]
fn test_operator_status_follows_the_table() {
    for kind in ErrorKind::ALL {
        let error = Error::new(kind, "a fault of the test");
        let status = to_status(&error);
        assert_eq!(status.code() as i32, kind.answer().grpc);
        let name = status.metadata().get(KIND_METADATA).expect("a kind");
        assert_eq!(name.to_str().expect("ASCII"), kind.name());
        let known = status.metadata().contains_key("retry-after");
        assert_eq!(known, error.retry_after().is_some());
    }
}
