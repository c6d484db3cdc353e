//! Two faults at the same time.

use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use wisteriahitch_bench::caller::CallError;

use crate::harness::{OTHER_SECRET, SECRET, Site, SiteOptions, ask, post_json, prompt, wait_until};

const BODY: &str = r#"{"bay":3}"#;

/// Names the choice of pairs; another number gives other pairs.
const SEED: u64 = 20_261_202;

/// Pairs that one run of the test brings about.
const PAIRS: usize = 6;

/// Daemons; the second one is hit by the faults of daemons.
const DAEMONS: usize = 3;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    DaemonDies,
    DaemonFreezes,
    DaemonDrains,
    PlatformAway,
    PlatformLosesAnswers,
    StoreDies,
    StoreAltersBlocks,
    EngineFreezes,
    EngineClosesMidway,
    EngineLeaves,
    ServiceLosesAnswers,
}

const FAULTS: [Fault; 11] = [
    Fault::DaemonDies,
    Fault::DaemonFreezes,
    Fault::DaemonDrains,
    Fault::PlatformAway,
    Fault::PlatformLosesAnswers,
    Fault::StoreDies,
    Fault::StoreAltersBlocks,
    Fault::EngineFreezes,
    Fault::EngineClosesMidway,
    Fault::EngineLeaves,
    Fault::ServiceLosesAnswers,
];

impl Fault {
    fn hits_a_daemon(self) -> bool {
        matches!(
            self,
            Self::DaemonDies | Self::DaemonFreezes | Self::DaemonDrains
        )
    }

    async fn begin(self, site: &mut Site) {
        let platform = site.platform.address;
        let store = site.store.address;
        let engine = site.engines[0].address;
        match self {
            Self::DaemonDies => site.daemons[1].process.kill(),
            Self::DaemonFreezes => site.daemons[1].process.signal(Signal::SIGSTOP),
            Self::DaemonDrains => site.daemons[1].process.signal(Signal::SIGTERM),
            Self::PlatformAway => control(platform, json!({ "mode": "down" })).await,
            Self::PlatformLosesAnswers => control(platform, json!({ "lose_answers": 6 })).await,
            Self::StoreDies => site.store.process.kill(),
            Self::StoreAltersBlocks => {
                control(store, json!({ "fault": { "corrupt_reads": 100 } })).await;
            }
            Self::EngineFreezes => control(engine, json!({ "fault": "freeze" })).await,
            Self::EngineClosesMidway => {
                control(engine, json!({ "fault": "close_midway", "count": 3 })).await;
            }
            Self::EngineLeaves => control(engine, json!({ "leaving": true })).await,
            Self::ServiceLosesAnswers => {
                let lost = json!({ "mode": "close_before_answer", "count": 3 });
                control(site.service.address, lost).await;
            }
        }
    }

    async fn end(self, site: &mut Site) {
        let platform = site.platform.address;
        match self {
            Self::DaemonDies => site.restart_daemon(1),
            Self::DaemonFreezes => site.daemons[1].process.signal(Signal::SIGCONT),
            Self::DaemonDrains => {
                site.daemons[1].process.wait_for_exit().await;
                site.restart_daemon(1);
            }
            Self::PlatformAway => control(platform, json!({ "mode": "up" })).await,
            Self::PlatformLosesAnswers => control(platform, json!({ "lose_answers": 0 })).await,
            Self::StoreDies => site.restart_store(site.store.address),
            Self::StoreAltersBlocks => {
                control(site.store.address, json!({ "fault": "none" })).await;
            }
            Self::EngineFreezes | Self::EngineClosesMidway => {
                control(site.engines[0].address, json!({ "fault": "none" })).await;
            }
            // What has left comes back only as a new life; the other engine goes on.
            Self::EngineLeaves => {}
            Self::ServiceLosesAnswers => {
                control(site.service.address, json!({ "mode": "normal" })).await;
            }
        }
    }
}

async fn control(address: std::net::SocketAddr, change: serde_json::Value) {
    post_json(address, "/control", &change).await;
}

/// Chooses pairs of different faults, at most one of them a daemon's, by a fixed seed.
fn choose_pairs() -> Vec<[Fault; 2]> {
    let mut all = Vec::new();
    for (number, one) in FAULTS.iter().enumerate() {
        for other in &FAULTS[number + 1..] {
            if !(one.hits_a_daemon() && other.hits_a_daemon()) {
                all.push([*one, *other]);
            }
        }
    }
    let mut state = SEED;
    let mut chosen = Vec::new();
    for _ in 0..PAIRS {
        // SplitMix64, so that a seed gives the same pairs with every version of every library.
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let place = usize::try_from(mixed % all.len() as u64).unwrap();
        chosen.push(all.swap_remove(place));
    }
    chosen
}

#[tokio::test]
async fn two_faults_at_once() {
    // Symptom: what holds in each failure alone breaks where two meet. Sequence of events: two
    // faults begin; callers send prompts and bookings, and repeat each booking at every daemon;
    // the faults end. Cause: the mending of one rests on what the other has taken away.
    for pair in choose_pairs() {
        let options = SiteOptions {
            daemons: DAEMONS,
            engines: 2,
            engine_flags: vec!["--kv-capacity-tokens".to_owned(), "1000".to_owned()],
            ..SiteOptions::default()
        };
        let mut site = Site::start(options).await;
        let returning = prompt("returning", 400, 4);
        ask(&site, 0, SECRET, &returning).await.unwrap();
        let tickets = [site.ticket(0).await, site.ticket(1).await];
        for fault in pair {
            fault.begin(&mut site).await;
        }
        let keys = [tickets[0].clone(), tickets[1].clone(), "own-1".to_owned()];
        for (number, key) in keys.iter().enumerate() {
            prompts(&site, pair, number).await;
            book(&site, pair, key).await;
        }
        for fault in pair {
            fault.end(&mut site).await;
        }
        recover(&site, pair).await;
        for key in &keys {
            book(&site, pair, key).await;
        }
    }
}

/// Sends prompts of two workspaces; one that is answered at all is answered whole and rightly.
async fn prompts(site: &Site, pair: [Fault; 2], number: usize) {
    let returning = prompt("returning", 400, 4);
    let fresh = prompt(&format!("fresh{number}x"), 400, 4);
    for (daemon, secret, completion) in [
        (0, SECRET, &returning),
        (2, OTHER_SECRET, &returning),
        (0, OTHER_SECRET, &fresh),
        (2, SECRET, &fresh),
    ] {
        match ask(site, daemon, secret, completion).await {
            Ok(_) | Err(CallError::Refused { .. }) => {}
            Err(error) => panic!("{pair:?}: {error}\n{}", site.logs()),
        }
    }
}

/// Sends one booking to every daemon that may answer, and checks what is said of it.
async fn book(site: &Site, pair: [Fault; 2], key: &str) {
    let mut was_refused = false;
    for daemon in [0, 2, 0] {
        let answer = site
            .send(daemon, Method::POST, "/bookings", Some(key), BODY)
            .await
            .unwrap();
        let runs = site.runs(key).await;
        assert!(runs <= 1, "{pair:?}: {key} ran {runs} times");
        if answer.status == 200 {
            assert_eq!(runs, 1, "{pair:?}: {key} was answered and never ran");
            assert!(!was_refused, "{pair:?}: {key} ran after `not run`");
        }
        was_refused |= answer.meaning() == "not_run";
        if was_refused {
            assert_eq!(runs, 0, "{pair:?}: {key} was refused as `not run`");
        }
    }
}

/// Waits until every daemon serves prompts and bookings again, by the same configuration.
async fn recover(site: &Site, pair: [Fault; 2]) {
    for daemon in 0..DAEMONS {
        let mut number = 0;
        wait_until(&format!("{pair:?} to be over at {daemon}"), async || {
            number += 1;
            let key = format!("after-{daemon}-{number}");
            let completion = prompt(&format!("after{daemon}x"), 60, 2);
            let version = site.version(daemon).await;
            assert!(version <= 1, "{pair:?}: nobody accepted {version}");
            version == 1
                && ask(site, daemon, SECRET, &completion).await.is_ok()
                && is_booked(site, daemon, &key).await
        })
        .await;
    }
}

async fn is_booked(site: &Site, daemon: usize, key: &str) -> bool {
    let answer = site
        .send(daemon, Method::POST, "/bookings", Some(key), BODY)
        .await;
    answer.is_ok_and(|answer| answer.status == 200)
}
