//! The platform is away for the whole of a test.

use http::Method;

use crate::harness::{OTHER_SECRET, SECRET, Site, SiteOptions, ask, prompt, wait_until};

const BODY: &str = r#"{"bay":3}"#;

#[tokio::test]
async fn platform_away_throughout() {
    // Symptom: a site stands still for an hour because a service that it hardly needs is down.
    // Sequence of events: the platform dies; callers go on; a daemon dies and a new one, which
    // remembers nothing, takes its place; operators submit. Cause: work waits for the platform, a
    // claim is refused as `not run`, or the new daemon stays out or takes an older configuration.
    let options = SiteOptions {
        daemons: 3,
        engines: 2,
        ..SiteOptions::default()
    };
    let mut site = Site::start(options).await;
    let accepted = site.submit(0, &site.configuration("v1"), "again").await;
    assert_eq!(accepted.status, 200, "{}", accepted.text());
    let version = accepted.json()["version"].as_u64().unwrap();
    for daemon in 0..3 {
        wait_until("the version everywhere", async || {
            site.version(daemon).await == version
        })
        .await;
    }
    site.platform.process.kill();
    serve_all(&site, "before").await;
    site.daemons[2].process.kill();
    site.restart_daemon(2);
    wait_until("the new daemon to learn from its peers", async || {
        site.version(2).await == version
    })
    .await;
    site.wait_until_daemon_ready(2).await;
    serve_all(&site, "after").await;
    let refused = site.submit(2, &site.configuration("v2"), "late").await;
    assert_eq!(refused.status, 503, "{}", refused.text());
    for daemon in 0..3 {
        assert_eq!(site.version(daemon).await, version);
    }
}

/// Sends one request of each kind to every daemon.
async fn serve_all(site: &Site, name: &str) {
    for daemon in 0..3 {
        for secret in [SECRET, OTHER_SECRET] {
            let completion = prompt(&format!("{name}{daemon}x"), 250, 4);
            let answer = ask(site, daemon, secret, &completion).await;
            assert!(answer.is_ok(), "{answer:?}\n{}", site.logs());
        }
        let ticket = site.ticket(daemon).await;
        let other = (daemon + 1) % 3;
        for copy in [daemon, other] {
            let booked = site
                .send(copy, Method::POST, "/bookings", Some(&ticket), BODY)
                .await
                .unwrap();
            assert_eq!(booked.status, 200, "{}\n{}", booked.text(), site.logs());
        }
        assert_eq!(site.runs(&ticket).await, 1);
        let key = format!("own-{name}-{daemon}");
        let claimed = site
            .send(daemon, Method::POST, "/bookings", Some(&key), BODY)
            .await
            .unwrap();
        assert_eq!(claimed.meaning(), "outcome_unknown", "{}", claimed.text());
        assert_eq!(site.runs(&key).await, 0);
    }
}
