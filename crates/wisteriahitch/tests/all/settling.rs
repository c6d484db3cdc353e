//! Races and lost answers that a slow platform brings about every time.

use http::Method;
use serde_json::{Value, json};

use crate::harness::{Answer, Process, Site, SiteOptions, call, post_json, wait_until};
use crate::weights::is_complete;

const BODY: &str = r#"{"bay":3}"#;

/// Long enough that two calls sent at once are both read before either one writes.
const SLOW_MS: u64 = 200;

async fn slow_down(site: &Site) {
    let control = json!({ "slow_ms": SLOW_MS });
    post_json(site.platform.address, "/control", &control).await;
}

#[tokio::test]
async fn same_key_at_two_daemons_with_a_slow_platform() {
    // Symptom: a stock pull empties a shelf twice. Sequence of events: a caller sends the same key
    // to two daemons at once; both read that nobody claimed it, then both write. Cause: the second
    // write takes effect too, or its refusal counts as a success.
    let site = Site::start(SiteOptions::default()).await;
    slow_down(&site).await;
    let key = Some("race-1");
    let (one, other) = tokio::join!(
        site.send(0, Method::POST, "/bookings", key, BODY),
        site.send(1, Method::POST, "/bookings", key, BODY),
    );
    for answer in [one.unwrap(), other.unwrap()] {
        let is_unknown = answer.meaning() == "outcome_unknown";
        assert!(answer.status == 200 || is_unknown, "{}", answer.text());
    }
    let mut bodies = Vec::new();
    for daemon in 0..2 {
        wait_until("the answer of the one run", async || {
            let answer = site
                .send(daemon, Method::POST, "/bookings", key, BODY)
                .await
                .unwrap();
            let is_answered = answer.status == 200;
            bodies.extend(is_answered.then_some(answer.body));
            is_answered
        })
        .await;
    }
    assert_eq!(bodies[0], bodies[1]);
    assert_eq!(site.runs("race-1").await, 1);
}

#[tokio::test]
async fn two_operators_with_a_slow_platform() {
    // Symptom: an accepted change is gone without a word. Sequence of events: two operators submit
    // at once through two daemons; both read the same head, then both update it. Cause: the second
    // update takes effect too, or its refusal counts as a success.
    let site = Site::start(SiteOptions::default()).await;
    slow_down(&site).await;
    let change = |weight: u32| {
        format!(
            "[[workspaces]]\nid = \"galle-fort\"\n\
             key_hashes = [\"42b3140546aafff770b4cdb4df859abf\"]\nweight = {weight}\n\
             max_queued = 200\nstore_bytes = 64_000_000\n"
        )
    };
    let (one, other) = (change(3), change(5));
    let (one, other) = tokio::join!(site.submit(0, &one, "one"), site.submit(1, &other, "other"));
    let mut statuses = [one.status, other.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{} {}", one.text(), other.text());
    for daemon in 0..2 {
        wait_until("version 2 everywhere", async || {
            site.version(daemon).await == 2
        })
        .await;
    }
}

#[tokio::test]
async fn booking_is_not_tried_at_another_endpoint() {
    // Symptom: a dispatch sends two trucks. Sequence of events: a till runs a booking and breaks
    // its connection; another till is there. Cause: the call is tried again at the other one.
    let site = Site::start(SiteOptions::default()).await;
    let folder = tempfile::tempdir().unwrap();
    let arguments = ["--listen", "127.0.0.1:0", "service"].map(str::to_owned);
    let log = folder.path().join("till-1.log");
    let (_second, second) = Process::start_standin(&arguments, log);
    submit_two_tills(&site, &second.to_string()).await;
    let tills = [site.service.address, second];
    for till in tills {
        let control = json!({ "mode": "close_before_answer", "count": 1 });
        post_json(till, "/control", &control).await;
    }
    let first = site
        .send(0, Method::POST, "/bookings", None, BODY)
        .await
        .unwrap();
    assert_eq!(first.meaning(), "outcome_unknown", "{}", first.text());
    assert_eq!(runs(&tills).await, 1, "a booking was sent twice");
}

/// Puts a second plain service in force beside the first.
async fn submit_two_tills(site: &Site, second: &str) {
    let text = site.configuration("v1");
    let end = "availability_zone = \"colombo-a\"\nchecks_fence = false\n";
    let more =
        format!("{end}[[services.endpoints]]\nid = \"till-1\"\naddress = \"{second}\"\n{end}");
    assert_eq!(text.matches(end).count(), 1);
    let accepted = site.submit(0, &text.replace(end, &more), "two-tills").await;
    assert_eq!(accepted.status, 200, "{}", accepted.text());
    site.wait_until_ready().await;
    wait_until("the second till to be ready", async || {
        let status = site.operator(0, Method::GET, "/v1/status", "").await;
        let rows = status.unwrap().json()["endpoints"].clone();
        let rows = rows.as_array().unwrap().clone();
        rows.iter()
            .any(|row| row["endpoint"] == "till-1" && row["state"] == "ready")
    })
    .await;
}

/// Counts the runs at all tills.
async fn runs(tills: &[std::net::SocketAddr]) -> u64 {
    let mut sum = 0;
    for till in tills {
        let answer: Answer = call(*till, Method::GET, "/control/runs", &[], "")
            .await
            .unwrap();
        let counts: Value = answer.json();
        let counts = counts.as_object().unwrap().clone();
        sum += counts.values().filter_map(Value::as_u64).sum::<u64>();
    }
    sum
}

#[tokio::test]
async fn lost_answer_of_a_lease_is_settled() {
    // Symptom: after a short trouble of the platform no weights are rolled out any more. Sequence
    // of events: the write that takes the lease takes effect and its answer is lost. Cause: the
    // daemon takes its own lease for another's and waits for its end.
    let mut site = Site::start_standins(SiteOptions::default());
    let control = json!({ "lose_answers": 1, "lose_answer_kinds": ["leases"] });
    post_json(site.platform.address, "/control", &control).await;
    site.start_daemons(2);
    let first = site.submit(0, &site.configuration("v1"), "first").await;
    assert_eq!(first.status, 200, "{}", first.text());
    site.wait_until_ready().await;
    let second = site.submit(1, &site.configuration("v2"), "second").await;
    assert_eq!(second.status, 200, "{}", second.text());
    wait_until("the engine to run v2", async || is_complete(&site).await).await;
    let state = call(site.platform.address, Method::GET, "/control", &[], "").await;
    assert_eq!(state.unwrap().json()["answers_lost"], 1);
}
