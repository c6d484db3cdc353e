//! A refusal that says `not run` is true, also where the daemon that refuses knows nothing.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use wisteriahitch::peer::{ForwardMeaning, ForwardRequest, KeyKind, PeerClient, PeerIdentity};
use wisteriahitch::types::{Code, Incarnation};

use crate::harness::{Answer, Site, SiteOptions, post_json, wait_until};

const BODY: &str = r#"{"bay":3}"#;

#[tokio::test]
async fn daemon_without_configuration_knows_nothing_of_a_key() {
    // Symptom: a caller was told `not run` of a booking that stands, and books again. Sequence of
    // events: a booking runs at a daemon; its answer is lost on the way; the caller repeats at a
    // daemon that has just started and finds neither platform nor peers. Cause: that one refuses
    // before it looks for a key, and speaks for a key that another daemon decides for.
    let mut site = Site::start(SiteOptions::default()).await;
    let first = send(&site, "own-1").await;
    assert_eq!(first.status, 200, "{}", first.text());
    let down = json!({ "mode": "down" });
    post_json(site.platform.address, "/control", &down).await;
    site.daemons[1].process.kill();
    site.restart_daemon(0);
    wait_until("the daemon to answer", async || {
        site.operator(0, Method::GET, "/v1/status", "")
            .await
            .is_some()
    })
    .await;
    let repeat = send(&site, "own-1").await;
    assert_eq!(repeat.code(), "W2006", "{}", repeat.text());
    assert_eq!(repeat.meaning(), "outcome_unknown");
    assert!(repeat.headers.contains_key("retry-after"));
    assert_eq!(site.runs("own-1").await, 1);
}

#[tokio::test]
async fn key_of_a_removed_workspace_is_not_called_unused() {
    // Symptom and cause as above. Sequence of events: a booking runs; the workspace's key is taken
    // out of the configuration; the caller repeats.
    let site = Site::start(SiteOptions::default()).await;
    let first = send(&site, "own-2").await;
    assert_eq!(first.status, 200, "{}", first.text());
    remove_workspace(&site).await;
    let repeat = send(&site, "own-2").await;
    assert_eq!(repeat.code(), "W1008", "{}", repeat.text());
    assert_eq!(repeat.meaning(), "outcome_unknown");
    let unkeyed = site.send(0, Method::POST, "/bookings", None, BODY).await;
    assert_eq!(unkeyed.unwrap().meaning(), "not_run");
}

#[tokio::test]
async fn refused_resumption_does_not_say_that_the_request_was_not_run() {
    // Symptom: a caller that has half an answer is told that its request was not run. Sequence of
    // events: a stream breaks and the caller asks another daemon for the rest. Cause: that one
    // knows nothing of the request, and takes its own ignorance for a fact.
    let site = Site::start(SiteOptions::default()).await;
    for path in [
        "/v1/requests/r-1-2/stream?position=3",
        "/v1/requests/r-1-2/stream?position=x",
        "/v1/requests/%20/stream",
    ] {
        let refused = site.send(1, Method::GET, path, None, "").await.unwrap();
        assert!(refused.status >= 400, "{path}: {refused:?}");
        assert_eq!(refused.meaning(), "outcome_unknown", "{path}");
    }
}

#[tokio::test]
async fn forwarded_request_needs_a_workspace_in_force() {
    // Symptom: a workspace that an operator removed still books. Sequence of events: a daemon with
    // an older configuration, or anything else on the daemons' network, hands over a request in
    // the name of a workspace that isn't in force. Cause: only the side of the callers looks for
    // the workspace.
    let site = Site::start(SiteOptions::default()).await;
    let dump = site.dump(0).await;
    let incarnation = dump["incarnation"].as_u64().unwrap();
    let address = dump["listen"]["peers"].as_str().unwrap();
    let address = address.parse().unwrap();
    let me = PeerIdentity::new("entry-9".parse().unwrap(), Incarnation::new(9));
    let request = ForwardRequest {
        envelope: Some(me.envelope(Some(Incarnation::new(incarnation)))),
        workspace: "nobody".to_owned(),
        kind: KeyKind::Claim.into(),
        key: "0123456789abcdef0123456789abcdef".to_owned(),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(BODY.as_bytes()),
        deadline_us: 5_000_000,
    };
    let peers = PeerClient::new(Duration::from_secs(5));
    let reply = peers
        .forward(address, request, Duration::from_secs(20))
        .await;
    let reply = reply.unwrap();
    assert_eq!(reply.result_code().unwrap(), Code::UnknownKey, "{reply:?}");
    assert_eq!(reply.meaning(), ForwardMeaning::OutcomeUnknown);
}

#[tokio::test]
async fn forwarded_refusal_says_when_to_come_back() {
    // Symptom: a till that is refused at a peer's word tries again at once, and again. Sequence of
    // events: a ticket comes to another daemon than its issuer; the service refuses the call.
    // Cause: the protocol between daemons carries the code alone.
    let site = Site::start(SiteOptions::default()).await;
    let ticket = site.ticket(0).await;
    let control = json!({ "mode": "refuse_not_run", "count": 1 });
    post_json(site.service.address, "/control", &control).await;
    let refused = site.send(1, Method::POST, "/bookings", Some(&ticket), BODY);
    let refused = refused.await.unwrap();
    assert_eq!(refused.code(), "W2011", "{}", refused.text());
    assert_eq!(refused.meaning(), "not_run");
    assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
}

async fn send(site: &Site, key: &str) -> Answer {
    let answer = site.send(0, Method::POST, "/bookings", Some(key), BODY);
    answer.await.unwrap()
}

async fn remove_workspace(site: &Site) {
    let configuration = site.configuration("v1");
    let start = configuration.find("[[workspaces]]\nid = \"kandy-central\"");
    let end = configuration.find("[[workspaces]]\nid = \"galle-fort\"");
    let (start, end) = (start.unwrap(), end.unwrap());
    let without = format!(
        "removed_workspaces = [\"kandy-central\"]\n{}{}",
        &configuration[..start],
        &configuration[end..]
    );
    let answer = site.submit(0, &without, "removed").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    wait_until("the removal to be in force", async || {
        site.version(0).await == 2
    })
    .await;
}
