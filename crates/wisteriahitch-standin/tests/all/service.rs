use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::{Value, json};
use wisteriahitch_standin::service::{ServiceControl, ServiceMode, ServiceOptions, ServiceStandin};
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::service::{
    HttpService, HttpServiceOptions, Service, ServiceErrorKind, ServiceRequest,
};

use crate::control;

fn request(id: &str, headers: &[(&'static str, &'static str)]) -> ServiceRequest {
    let headers = headers.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    ServiceRequest {
        request_id: id.parse().unwrap(),
        workspace: "kandy-1".parse().unwrap(),
        method: Method::POST,
        path_and_query: "/bookings?bay=2".to_owned(),
        headers: headers.collect::<HeaderMap>(),
        body: "order".into(),
        timeout_us: DurationUs::from_ms(20_000),
        answer_limit_bytes: ByteCount::new(10_000),
    }
}

async fn start(options: ServiceOptions) -> (ServiceStandin, HttpService) {
    let standin = ServiceStandin::start(&options).await.unwrap();
    (standin, HttpService::new(HttpServiceOptions::default()))
}

#[tokio::test]
async fn runs_are_answered_and_counted_by_key() {
    struct Case {
        headers: &'static [(&'static str, &'static str)],
        expected_key: &'static str,
    }
    let cases = [
        Case {
            headers: &[("x-test-key", "t-1"), ("idempotency-key", "k-1")],
            expected_key: "t-1",
        },
        Case {
            headers: &[("idempotency-key", "k-1")],
            expected_key: "k-1",
        },
        Case {
            headers: &[],
            expected_key: "r-1",
        },
    ];
    for case in cases {
        let (standin, service) = start(ServiceOptions::default()).await;
        for sequence in 1..=2_u64 {
            let call = service.call(standin.address(), request("r-1", case.headers));
            let answer: Value = serde_json::from_slice(&call.await.unwrap().body).unwrap();
            let expected = json!({
                "ran": true,
                "path": "/bookings",
                "body_hash": blake3::hash(b"order").to_hex().as_str(),
                "sequence": sequence,
            });
            assert_eq!(answer, expected);
        }
        let runs = control::get(standin.address(), "/control/runs").await;
        assert_eq!(runs, json!({case.expected_key: 2}));
    }
}

/// Guards against "not run" being reported for a request that ran. That happens if the service runs
/// the request and fails before its answer is complete, and every failed call counts as not run.
#[tokio::test]
async fn faults_are_classified_and_end_after_their_count() {
    struct Case {
        mode: ServiceMode,
        expected: ServiceErrorKind,
        runs: u64,
    }
    let case = |mode, expected, runs| Case {
        mode,
        expected,
        runs,
    };
    let cases = [
        case(ServiceMode::Freeze, ServiceErrorKind::Timeout, 1),
        case(ServiceMode::CloseBeforeAnswer, ServiceErrorKind::Lost, 1),
        case(ServiceMode::CloseMidway, ServiceErrorKind::Lost, 1),
        case(ServiceMode::WrongId, ServiceErrorKind::Nonsense, 1),
        case(ServiceMode::RefuseNotRun, ServiceErrorKind::NotRun, 0),
    ];
    for case in cases {
        let (standin, service) = start(ServiceOptions::default()).await;
        let address = standin.address();
        let change = ServiceControl {
            mode: Some(case.mode),
            count: Some(1),
            ..ServiceControl::default()
        };
        // The client keeps its connection open from here on, like a daemon and its endpoint.
        service.call(address, request("r-0", &[])).await.unwrap();
        control::post(address, "/control", &change).await;
        let short_timeout_request = ServiceRequest {
            timeout_us: DurationUs::from_ms(1_000),
            ..request("r-1", &[])
        };
        let error = service
            .call(address, short_timeout_request)
            .await
            .unwrap_err();
        assert_eq!(error.kind(), case.expected, "{:?}: {error}", case.mode);
        assert_eq!(error.is_not_run(), case.runs == 0, "{:?}", case.mode);
        service.call(address, request("r-2", &[])).await.unwrap();
        let runs = control::get(address, "/control/runs").await;
        assert_eq!(
            runs["r-1"].as_u64().unwrap_or(0),
            case.runs,
            "{:?}",
            case.mode
        );
    }
}

#[tokio::test]
async fn the_load_report_counts_running_and_queued_requests() {
    let options = ServiceOptions {
        slots: 1,
        ..ServiceOptions::default()
    };
    let (standin, service) = start(options).await;
    let address = standin.address();
    let change = ServiceControl {
        mode: Some(ServiceMode::Freeze),
        leaving: Some(true),
        ..ServiceControl::default()
    };
    control::post(address, "/control", &change).await;
    let calls: Vec<_> = ["r-1", "r-2"]
        .into_iter()
        .map(|id| {
            let service = service.clone();
            tokio::spawn(async move { service.call(address, request(id, &[])).await })
        })
        .collect();
    let load = control::wait_for(async || {
        let load = service.load(address).await.unwrap();
        (load.running == 1 && load.queued == 1).then_some(load)
    })
    .await;
    assert_eq!((load.slots, load.leaving), (1, true));
    for call in &calls {
        call.abort();
    }
    control::wait_for(async || {
        let load = service.load(address).await.unwrap();
        (load.running == 0 && load.queued == 0).then_some(())
    })
    .await;
}
