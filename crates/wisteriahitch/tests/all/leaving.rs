//! A leaving endpoint gets no new work.

use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::harness::{SECRET, Site, SiteOptions, ask, call, post_json, prompt, wait_until};

#[derive(Clone, Copy, Debug)]
enum FirstSign {
    OwnReport,
    VmList,
    Dead,
}

#[tokio::test]
async fn endpoint_leaves_by_whichever_sign_comes_first() {
    // Symptom: prompts go on to an engine that shuts down, and fail there. Sequence of events: the
    // engine's VM is leaving, told first by its own report, by the VM list, or by silence. Cause:
    // only one of these is looked at.
    for sign in [FirstSign::OwnReport, FirstSign::VmList, FirstSign::Dead] {
        let options = SiteOptions {
            engines: 2,
            ..SiteOptions::default()
        };
        let mut site = Site::start(options).await;
        let leaving = site.engines[0].address;
        match sign {
            FirstSign::OwnReport => {
                post_json(leaving, "/control", &json!({ "leaving": true })).await;
            }
            FirstSign::VmList => {
                let vm = json!({
                    "name": "assistant-0",
                    "address": leaving.to_string(),
                    "availability_zone": "colombo-a",
                    "phase": "leaving",
                });
                let vms = json!({ "vms": [vm] });
                post_json(site.platform.address, "/control/vms", &vms).await;
            }
            FirstSign::Dead => site.engines[0].process.kill(),
        }
        for daemon in 0..2 {
            wait_until("the endpoint to be out", async || {
                let state = state_of(&site, daemon, "assistant-0").await;
                state == "leaving" || state == "suspect" || state == "ejected"
            })
            .await;
        }
        let runs_before = runs(&site, sign).await;
        for number in 0..6 {
            let completion = prompt(&format!("leave{number}"), 30, 2);
            let answer = ask(&site, number % 2, SECRET, &completion).await;
            assert!(answer.is_ok(), "{sign:?}: {answer:?}\n{}", site.logs());
        }
        assert_eq!(
            runs(&site, sign).await,
            runs_before,
            "{sign:?}: new work was sent"
        );
    }
}

pub(crate) async fn state_of(site: &Site, daemon: usize, endpoint: &str) -> String {
    let status = site
        .operator(daemon, Method::GET, "/v1/status", "")
        .await
        .unwrap()
        .json();
    let rows = status["endpoints"].as_array().unwrap().clone();
    let row = rows
        .into_iter()
        .find(|row| row["endpoint"] == endpoint)
        .unwrap();
    row["state"].as_str().unwrap().to_owned()
}

/// Returns how many requests the first engine has run, or 0 where it is dead.
async fn runs(site: &Site, sign: FirstSign) -> usize {
    if matches!(sign, FirstSign::Dead) {
        return 0;
    }
    let answer = call(site.engines[0].address, Method::GET, "/control", &[], "")
        .await
        .unwrap();
    let counters: Value = answer.json();
    counters["runs"].as_object().map_or(0, serde_json::Map::len)
}

#[tokio::test]
async fn frozen_daemon_is_left_out_and_its_ticket_stays_safe() {
    // Symptom: a booking runs twice. Sequence of events: a daemon freezes with a ticket dispatched;
    // the caller asks for the ticket at another daemon; the frozen one wakes up. Cause: another
    // daemon takes over what only the issuing incarnation may decide.
    let options = SiteOptions {
        daemons: 3,
        service_flags: vec!["--work-ms".to_owned(), "200".to_owned()],
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let ticket = site.ticket(0).await;
    site.daemons[0].process.signal(Signal::SIGSTOP);
    let frozen = site.daemons[0].callers.to_string();
    wait_until(
        "the frozen daemon to be left out of the entries",
        async || {
            let answer = site
                .send(1, Method::GET, "/v1/entries", None, "")
                .await
                .unwrap();
            let entries = answer.json()["entries"].as_array().unwrap().clone();
            entries
                .iter()
                .all(|entry| entry["address"] != frozen.as_str())
        },
    )
    .await;
    let elsewhere = site
        .send(1, Method::POST, "/bookings", Some(&ticket), "{}")
        .await
        .unwrap();
    assert_eq!(elsewhere.code(), "W3005", "{}", elsewhere.text());
    assert_eq!(elsewhere.meaning(), "outcome_unknown");
    site.daemons[0].process.signal(Signal::SIGCONT);
    wait_until("the ticket to be redeemed by its issuer", async || {
        let answer = site
            .send(2, Method::POST, "/bookings", Some(&ticket), "{}")
            .await
            .unwrap();
        answer.status == 200
    })
    .await;
    assert_eq!(site.runs(&ticket).await, 1);
}
