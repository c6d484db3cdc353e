//! Admission: fair shares in driven time, quotas, bounds, deadlines and cancelling.

use std::collections::{BTreeMap, HashMap, VecDeque};

use proptest::prelude::*;
use wisteriahitch_config::{Configuration, Workspace};
use wisteriahitch_core::route::{Admission, AdmissionCommand, AdmissionRequest};
use wisteriahitch_types::{
    ByteCount, Code, DurationUs, RequestId, ServiceName, TimeUs, TokenCount, TokenRate, WorkspaceId,
};

use crate::generated::seeded_config;
use crate::route_fixture::{START, after_ms};

fn service() -> ServiceName {
    "assistant".parse().unwrap()
}

fn workspace(name: &str, weight: u32) -> Workspace {
    Workspace {
        id: name.parse().unwrap(),
        key_hashes: vec![],
        weight,
        requests_per_s: None,
        prompt_tokens_per_s: None,
        max_queued: 100_000,
        store_bytes: ByteCount::ZERO,
    }
}

fn admission(workspaces: &[Workspace], capacity: usize) -> Admission {
    let by_id = |workspace: &Workspace| (workspace.id.clone(), workspace.clone());
    let configuration = Configuration {
        workspaces: workspaces.iter().map(by_id).collect(),
        ..Configuration::default()
    };
    let mut admission = Admission::default();
    admission.configured(&configuration, 1, START);
    assert!(
        admission
            .set_capacity(&service(), capacity, START)
            .is_empty()
    );
    admission
}

fn ask(id: &str, workspace: &str, cost: u64) -> AdmissionRequest {
    AdmissionRequest {
        request: id.parse().unwrap(),
        workspace: workspace.parse().unwrap(),
        service: service(),
        priority: 5,
        prompt_tokens: TokenCount::new(cost),
        cost_tokens: TokenCount::new(cost),
        deadline_us: after_ms(10_000_000),
    }
}

fn started(commands: &[AdmissionCommand]) -> Vec<String> {
    let id = |command: &AdmissionCommand| match command {
        AdmissionCommand::Start(request) => Some(request.to_string()),
        AdmissionCommand::Refuse { .. } => None,
    };
    commands.iter().filter_map(id).collect()
}

fn refused(commands: &[AdmissionCommand]) -> Vec<(String, Code)> {
    let seen = |command: &AdmissionCommand| match command {
        AdmissionCommand::Start(_) => None,
        AdmissionCommand::Refuse { request, code, .. } => Some((request.to_string(), *code)),
    };
    commands.iter().filter_map(seen).collect()
}

/// Serves one request at a time, `ms_per_cost` long for each unit of cost, and tells what share
/// of the work and what longest wait each workspace had.
struct Site {
    admission: Admission,
    now: TimeUs,
    running: VecDeque<(RequestId, WorkspaceId, u64, TimeUs)>,
    known: HashMap<RequestId, (WorkspaceId, u64, TimeUs)>,
    work: BTreeMap<String, u64>,
    longest_wait: BTreeMap<String, DurationUs>,
    next: u64,
}

impl Site {
    fn new(workspaces: &[Workspace]) -> Self {
        Self {
            admission: admission(workspaces, 1),
            now: START,
            running: VecDeque::new(),
            known: HashMap::new(),
            work: BTreeMap::new(),
            longest_wait: BTreeMap::new(),
            next: 0,
        }
    }

    fn send(&mut self, workspace: &str, cost: u64) {
        let id = format!("r{}", self.next);
        self.next += 1;
        let request = ask(&id, workspace, cost);
        let held = (request.workspace.clone(), cost, self.now);
        self.known.insert(request.request.clone(), held);
        let commands = self.admission.arrive(request, self.now);
        self.take(commands);
    }

    fn take(&mut self, commands: Vec<AdmissionCommand>) {
        for command in commands {
            let AdmissionCommand::Start(id) = command else {
                panic!("nothing is to be refused here: {command:?}");
            };
            let (workspace, cost, sent_at) = self.known.remove(&id).unwrap();
            let wait = self.now.since(sent_at);
            let longest = self.longest_wait.entry(workspace.to_string()).or_default();
            *longest = wait.max(*longest);
            let end = self.now + DurationUs::from_ms(cost);
            self.running.push_back((id, workspace, cost, end));
        }
    }

    /// Runs what is running to its end; time stands still where nothing runs.
    fn step(&mut self) {
        let Some((id, workspace, cost, end)) = self.running.pop_front() else {
            return;
        };
        self.now = end;
        *self.work.entry(workspace.to_string()).or_default() += cost;
        let commands = self.admission.finished(&id, self.now);
        self.take(commands);
    }
}

#[test]
fn workspaces_that_always_wait_share_by_weight() {
    let workspaces = [workspace("galle", 1), workspace("kandy", 3)];
    let mut site = Site::new(&workspaces);
    for _ in 0..500 {
        site.send("galle", 10);
        site.send("kandy", 20);
    }
    (0..300).for_each(|_| site.step());
    let ratio = site.work["kandy"] as f64 / site.work["galle"] as f64;
    assert!((2.9..=3.1).contains(&ratio), "{ratio}");
}

/// Symptom: a workspace that was quiet for an hour takes everything for the next minutes.
/// Sequence: one works while the other is idle; then both send without end.
/// Cause: counting only past use would give the idle one credit for all that it didn't use.
#[test]
fn an_idle_workspace_banks_no_credit() {
    let mut site = Site::new(&[workspace("galle", 1), workspace("kandy", 1)]);
    for _ in 0..1_000 {
        site.send("galle", 10);
        site.step();
    }
    for _ in 0..200 {
        site.send("galle", 10);
        site.send("kandy", 10);
    }
    let before = site.work["galle"];
    (0..100).for_each(|_| site.step());
    let (galle, kandy) = (site.work["galle"] - before, site.work["kandy"]);
    assert!(galle.abs_diff(kandy) <= 20, "{galle} {kandy}");
}

/// Symptom: callers of a small workspace wait because a large one sends ten times its share.
/// Sequence: one sends a request every 20 ms of work 10; another sends tenfold that.
/// Cause: in one queue for all, each small request would wait behind all large ones.
#[test]
fn a_workspace_that_sends_tenfold_costs_others_little() {
    let mut site = Site::new(&[workspace("flood", 1), workspace("small", 1)]);
    for round in 0..500_u64 {
        for _ in 0..10 {
            site.send("flood", 10);
        }
        while site.now < after_ms(20 * round) {
            site.step();
        }
        site.send("small", 10);
    }
    let waited = site.longest_wait["small"];
    assert!(waited <= DurationUs::from_ms(20), "{waited}");
}

proptest! {
    #![proptest_config(seeded_config(64, 9))]

    /// While two workspaces always wait, their work over weight differs by no more than one
    /// request of each, which is the bound of start-time fair queueing; so none starves.
    #[test]
    fn work_over_weight_stays_together(
        weights in proptest::collection::vec(1_u32..8, 2..6),
        costs in proptest::collection::vec(1_u64..50, 400),
    ) {
        let name = |number: usize| format!("w{number}");
        let workspaces: Vec<Workspace> = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| workspace(&name(number), *weight))
            .collect();
        let mut site = Site::new(&workspaces);
        for _ in 0..2 {
            for number in 0..weights.len() {
                site.send(&name(number), 1);
            }
        }
        for cost in costs {
            // Whoever is served sends again, so that each always has a request waiting.
            let served = site.running.front().unwrap().1.clone();
            site.step();
            site.send(served.as_str(), cost);
            let scaled = |number: usize| {
                let work = site.work.get(&name(number)).copied().unwrap_or(0);
                work as f64 / f64::from(weights[number])
            };
            for a in 0..weights.len() {
                for b in 0..weights.len() {
                    let bound = 50.0 / f64::from(weights[a]) + 50.0 / f64::from(weights[b]);
                    prop_assert!(scaled(a) - scaled(b) <= bound + 1e-6);
                }
            }
        }
    }
}

#[test]
fn priorities_order_a_workspace_within_itself() {
    let mut admission = admission(&[workspace("galle", 1), workspace("kandy", 1)], 1);
    admission.arrive(ask("running", "galle", 1), START);
    let arrivals = [
        ("low", "galle", 0),
        ("high", "galle", 9),
        ("mid", "galle", 5),
        ("other", "kandy", 0),
    ];
    for (id, workspace, priority) in arrivals {
        let request = AdmissionRequest {
            priority,
            ..ask(id, workspace, 1)
        };
        assert!(admission.arrive(request, START).is_empty());
    }
    let mut last = "running".to_owned();
    let mut order = Vec::new();
    for _ in arrivals {
        last = started(&admission.finished(&last.parse().unwrap(), START)).remove(0);
        order.push(last.clone());
    }
    let of_galle: Vec<&String> = order.iter().filter(|id| *id != "other").collect();
    assert_eq!(of_galle, ["high", "mid", "low"]);
    assert!(
        order.iter().position(|id| id == "other") < Some(2),
        "{order:?}"
    );
}

fn quota_wait_ms(commands: &[AdmissionCommand]) -> Option<u64> {
    commands.iter().find_map(|command| match command {
        AdmissionCommand::Refuse {
            code: Code::QuotaExceeded,
            retry_after_us,
            ..
        } => Some(retry_after_us.as_ms()),
        _ => None,
    })
}

struct QuotaCase {
    name: &'static str,
    requests_per_s: Option<u32>,
    tokens_per_s: Option<u64>,
    daemons: u32,
    /// Tokens of the prompt, milliseconds after the start, milliseconds to come back after.
    sent: &'static [(u64, u64, Option<u64>)],
}

fn quota_cases() -> Vec<QuotaCase> {
    const PASSES: (u64, u64, Option<u64>) = (9, 0, None);
    let case = |name, requests_per_s, tokens_per_s, daemons, sent| QuotaCase {
        name,
        requests_per_s,
        tokens_per_s,
        daemons,
        sent,
    };
    vec![
        case("no quota", None, None, 1, &[PASSES, PASSES, PASSES]),
        case(
            "two requests a second, four at once",
            Some(2),
            None,
            1,
            &[
                PASSES,
                PASSES,
                PASSES,
                PASSES,
                (9, 0, Some(500)),
                (9, 500, None),
                (9, 500, Some(500)),
            ],
        ),
        case(
            "a quiet hour pays for no larger burst",
            Some(1),
            None,
            1,
            &[
                (9, 0, None),
                (9, 3_600_000, None),
                (9, 3_600_000, None),
                (9, 3_600_000, Some(1_000)),
            ],
        ),
        case(
            "a prompt above the burst passes and leaves a debt",
            None,
            Some(100),
            1,
            &[
                (1_200, 0, None),
                (1, 0, Some(10_010)),
                (1, 9_000, Some(1_010)),
                (1, 10_011, None),
            ],
        ),
        case(
            "a quarter at each of four",
            Some(2),
            None,
            4,
            &[PASSES, (9, 0, Some(2_000))],
        ),
    ]
}

#[test]
fn quotas_refuse_with_the_time_to_come_back() {
    for case in quota_cases() {
        let quota = Workspace {
            requests_per_s: case.requests_per_s,
            prompt_tokens_per_s: case.tokens_per_s.map(TokenRate::new),
            ..workspace("galle", 1)
        };
        let mut admission = Admission::default();
        let configuration = Configuration {
            workspaces: BTreeMap::from([(quota.id.clone(), quota)]),
            ..Configuration::default()
        };
        admission.configured(&configuration, case.daemons, START);
        for (number, (tokens, at_ms, refused_ms)) in case.sent.iter().enumerate() {
            let request = ask(&format!("r{number}"), "galle", *tokens);
            let commands = admission.arrive(request, after_ms(*at_ms));
            let seen = quota_wait_ms(&commands);
            assert_eq!(seen, *refused_ms, "{}, request {number}", case.name);
        }
    }
}

#[test]
fn queues_are_bounded_for_each_workspace() {
    let small = Workspace {
        max_queued: 2,
        ..workspace("small", 1)
    };
    let mut admission = admission(&[small, workspace("large", 1)], 1);
    assert_eq!(
        started(&admission.arrive(ask("a", "small", 1), START)),
        ["a"]
    );
    assert!(admission.arrive(ask("b", "small", 1), START).is_empty());
    assert!(admission.arrive(ask("c", "small", 1), START).is_empty());
    let full = admission.arrive(ask("d", "small", 1), START);
    assert_eq!(refused(&full), [("d".to_owned(), Code::QueueFull)]);
    assert!(admission.arrive(ask("e", "large", 1), START).is_empty());
    let stranger = admission.arrive(ask("f", "nobody", 1), START);
    assert_eq!(refused(&stranger), [("f".to_owned(), Code::UnknownKey)]);
}

#[test]
fn a_request_that_waits_too_long_is_refused_and_never_started() {
    let mut admission = admission(&[workspace("galle", 1)], 1);
    let soon = |id: &str, ms| AdmissionRequest {
        deadline_us: after_ms(ms),
        ..ask(id, "galle", 1)
    };
    admission.arrive(soon("running", 10), START);
    admission.arrive(soon("first", 20), START);
    admission.arrive(soon("second", 30), START);
    admission.arrive(soon("third", 90), START);
    assert!(admission.tick(after_ms(19)).is_empty());
    let late = [("first".to_owned(), Code::DeadlineUnreachable)];
    assert_eq!(refused(&admission.tick(after_ms(20))), late);
    let commands = admission.finished(&"running".parse().unwrap(), after_ms(40));
    assert_eq!(
        refused(&commands),
        [("second".to_owned(), Code::DeadlineUnreachable)]
    );
    assert_eq!(started(&commands), ["third"]);
    let past = admission.arrive(soon("past", 40), after_ms(40));
    assert_eq!(
        refused(&past),
        [("past".to_owned(), Code::DeadlineUnreachable)]
    );
}

/// Symptom: a service has room, requests wait, and none starts.
/// Sequence: the only waiting request of the workspace that is next is cancelled.
/// Cause: the workspace would keep its place in the order with nothing to start.
#[test]
fn cancelling_the_last_request_of_a_workspace_lets_the_others_on() {
    let mut admission = admission(&[workspace("galle", 1), workspace("kandy", 1)], 1);
    admission.arrive(ask("running", "kandy", 9), START);
    admission.arrive(ask("cancelled", "galle", 1), START);
    admission.arrive(ask("waiting", "kandy", 1), START);
    assert!(admission.cancel(&"cancelled".parse().unwrap()));
    let commands = admission.finished(&"running".parse().unwrap(), START);
    assert_eq!(started(&commands), ["waiting"]);
    assert!(admission.arrive(ask("again", "galle", 1), START).is_empty());
    let commands = admission.finished(&"waiting".parse().unwrap(), START);
    assert_eq!(started(&commands), ["again"]);
}

#[test]
fn cancelling_and_capacity_keep_the_counts_right() {
    let mut admission = admission(&[workspace("galle", 1)], 1);
    for id in ["a", "b", "c", "d", "e"] {
        admission.arrive(ask(id, "galle", 1), START);
    }
    let id = |name: &str| name.parse::<RequestId>().unwrap();
    assert!(admission.cancel(&id("b")));
    assert!(!admission.cancel(&id("b")));
    assert!(!admission.cancel(&id("a")), "a runs and stays counted");
    assert!(
        admission.finished(&id("c"), START).is_empty(),
        "c has not started"
    );
    assert!(
        admission.arrive(ask("c", "galle", 1), START).is_empty(),
        "c waits already"
    );
    assert_eq!(
        started(&admission.set_capacity(&service(), 2, START)),
        ["c"]
    );
    assert_eq!(started(&admission.finished(&id("a"), START)), ["d"]);
    let given_up = admission.refuse_waiting(Code::Draining);
    assert_eq!(refused(&given_up), [("e".to_owned(), Code::Draining)]);
    admission.finished(&id("c"), START);
    admission.finished(&id("d"), START);
    let gate = admission.snapshot().remove(0);
    assert_eq!((gate.running, gate.waiting, gate.capacity), (0, 0, 2));
}

/// Lets `count` requests of one workspace wait behind a running one and end a second apart, so
/// that the table learns how fast the service is; one request stays and runs at the end.
fn learn_pace(admission: &mut Admission, workspace: &str, start_ms: u64, count: u64) -> u64 {
    let name = |number| format!("{workspace}-{start_ms}-{number}");
    for number in 0..=count {
        admission.arrive(ask(&name(number), workspace, 1), after_ms(start_ms));
    }
    for number in 0..count {
        let now = after_ms(start_ms + 1_000 * (number + 1));
        admission.finished(&name(number).parse().unwrap(), now);
    }
    start_ms + 1_000 * count
}

fn ask_within(id: &str, workspace: &str, now_ms: u64, deadline_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        deadline_us: after_ms(now_ms + deadline_ms),
        ..ask(id, workspace, 1)
    }
}

#[test]
fn a_request_that_could_not_start_in_time_is_refused_at_its_arrival() {
    // Symptom: callers wait for their whole deadline to hear that they were refused. Sequence of
    // events: the service ends one request a second; five wait; one arrives that can wait for
    // three seconds. Cause: it is let into the queue whatever the queue's length.
    let mut admission = admission(&[workspace("kandy", 1), workspace("galle", 1)], 1);
    let now_ms = learn_pace(&mut admission, "kandy", 0, 20);
    let now = after_ms(now_ms);
    for number in 0..5 {
        let waits = ask_within(&format!("w{number}"), "kandy", now_ms, 60_000);
        assert!(admission.arrive(waits, now).is_empty());
    }
    let commands = admission.arrive(ask_within("late", "kandy", now_ms, 3_000), now);
    let expected = ("late".to_owned(), Code::DeadlineUnreachable);
    assert_eq!(refused(&commands), [expected]);
    // One that can wait longer, goes first by its priority, or has its own share is let in.
    let patient = ask_within("patient", "kandy", now_ms, 10_000);
    assert!(admission.arrive(patient, now).is_empty());
    let urgent = AdmissionRequest {
        priority: 9,
        ..ask_within("urgent", "kandy", now_ms, 3_000)
    };
    assert!(admission.arrive(urgent, now).is_empty());
    let other = ask_within("other", "galle", now_ms, 3_000);
    assert!(admission.arrive(other, now).is_empty());
}

#[test]
fn a_quiet_hour_makes_no_burst_unreachable() {
    // Symptom: the first burst of the morning is refused while the endpoints are idle. Sequence of
    // events: requests end minutes apart through the night. Cause: these pauses are taken for the
    // pace of the service.
    let mut admission = admission(&[workspace("kandy", 1)], 1);
    let mut now_ms = learn_pace(&mut admission, "kandy", 0, 20);
    admission.finished(&"kandy-0-20".parse().unwrap(), after_ms(now_ms));
    for number in 0..20 {
        now_ms += 600_000;
        let id = format!("night-{number}");
        admission.arrive(ask(&id, "kandy", 1), after_ms(now_ms));
        admission.finished(&id.parse().unwrap(), after_ms(now_ms + 500));
    }
    for number in 0..4 {
        let id = format!("morning-{number}");
        let commands = admission.arrive(ask_within(&id, "kandy", now_ms, 8_000), after_ms(now_ms));
        assert!(refused(&commands).is_empty(), "{commands:?}");
    }
}
