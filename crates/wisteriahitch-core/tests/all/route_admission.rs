//! Admission in simulated time: fair shares, quotas, limits, deadlines and cancelling.

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
    admission.apply_quota_configuration(&configuration, 1, START);
    assert!(
        admission
            .set_capacity(&service(), capacity, START)
            .is_empty()
    );
    admission
}

fn request_of(id: &str, workspace: &str, cost: u64) -> AdmissionRequest {
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

/// A service that runs one request at a time, for 1 ms per unit of cost, and records the work done
/// for each workspace and its longest wait.
struct SimulatedService {
    admission: Admission,
    now: TimeUs,
    running: VecDeque<(RequestId, WorkspaceId, u64, TimeUs)>,
    waiting: HashMap<RequestId, (WorkspaceId, u64, TimeUs)>,
    work: BTreeMap<String, u64>,
    max_wait: BTreeMap<String, DurationUs>,
    next_request_number: u64,
}

impl SimulatedService {
    fn new(workspaces: &[Workspace]) -> Self {
        Self {
            admission: admission(workspaces, 1),
            now: START,
            running: VecDeque::new(),
            waiting: HashMap::new(),
            work: BTreeMap::new(),
            max_wait: BTreeMap::new(),
            next_request_number: 0,
        }
    }

    fn send(&mut self, workspace: &str, cost: u64) {
        let id = format!("r{}", self.next_request_number);
        self.next_request_number += 1;
        let request = request_of(&id, workspace, cost);
        let sent = (request.workspace.clone(), cost, self.now);
        self.waiting.insert(request.request.clone(), sent);
        let commands = self.admission.submit_request(request, self.now);
        self.start_all(commands);
    }

    fn start_all(&mut self, commands: Vec<AdmissionCommand>) {
        for command in commands {
            let AdmissionCommand::Start(id) = command else {
                panic!("expected only started requests, got {command:?}");
            };
            let (workspace, cost, sent_at_us) = self.waiting.remove(&id).unwrap();
            let wait = self.now.since(sent_at_us);
            let max_wait = self.max_wait.entry(workspace.to_string()).or_default();
            *max_wait = wait.max(*max_wait);
            let end = self.now + DurationUs::from_ms(cost);
            self.running.push_back((id, workspace, cost, end));
        }
    }

    /// Ends the running request, if any, and moves the time to its end.
    fn finish_one(&mut self) {
        let Some((id, workspace, cost, end)) = self.running.pop_front() else {
            return;
        };
        self.now = end;
        *self.work.entry(workspace.to_string()).or_default() += cost;
        let commands = self.admission.finish_request(&id, self.now);
        self.start_all(commands);
    }
}

#[test]
fn backlogged_workspaces_share_by_weight() {
    let workspaces = [workspace("galle", 1), workspace("kandy", 3)];
    let mut simulation = SimulatedService::new(&workspaces);
    for _ in 0..500 {
        simulation.send("galle", 10);
        simulation.send("kandy", 20);
    }
    (0..300).for_each(|_| simulation.finish_one());
    let ratio = simulation.work["kandy"] as f64 / simulation.work["galle"] as f64;
    assert!((2.9..=3.1).contains(&ratio), "{ratio}");
}

/// A workspace that was idle for an hour must not get the whole service for the next minutes.
/// Counting only past use would give it credit for all that it didn't use.
#[test]
fn idle_workspace_accumulates_no_credit() {
    let mut simulation = SimulatedService::new(&[workspace("galle", 1), workspace("kandy", 1)]);
    for _ in 0..1_000 {
        simulation.send("galle", 10);
        simulation.finish_one();
    }
    for _ in 0..200 {
        simulation.send("galle", 10);
        simulation.send("kandy", 10);
    }
    let before = simulation.work["galle"];
    (0..100).for_each(|_| simulation.finish_one());
    let (galle, kandy) = (simulation.work["galle"] - before, simulation.work["kandy"]);
    assert!(galle.abs_diff(kandy) <= 20, "{galle} {kandy}");
}

/// Callers of a small workspace must not wait because a large one sends ten times as much. In a
/// single queue each small request would wait behind all requests of the large workspace.
#[test]
fn a_workspace_that_sends_tenfold_costs_others_little() {
    let mut simulation = SimulatedService::new(&[workspace("flood", 1), workspace("small", 1)]);
    for round in 0..500_u64 {
        for _ in 0..10 {
            simulation.send("flood", 10);
        }
        while simulation.now < after_ms(20 * round) {
            simulation.finish_one();
        }
        simulation.send("small", 10);
    }
    let waited = simulation.max_wait["small"];
    assert!(waited <= DurationUs::from_ms(20), "{waited}");
}

proptest! {
    #![proptest_config(seeded_config(64, 9))]

    /// While two workspaces are backlogged, their work over weight differs by no more than one
    /// request of each, which is the bound of start-time fair queueing; so none starves.
    #[test]
    fn work_over_weight_of_backlogged_workspaces_stays_within_the_bound(
        weights in proptest::collection::vec(1_u32..8, 2..6),
        costs in proptest::collection::vec(1_u64..50, 400),
    ) {
        let name = |number: usize| format!("w{number}");
        let workspaces: Vec<Workspace> = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| workspace(&name(number), *weight))
            .collect();
        let mut simulation = SimulatedService::new(&workspaces);
        for _ in 0..2 {
            for number in 0..weights.len() {
                simulation.send(&name(number), 1);
            }
        }
        for cost in costs {
            // The workspace that is served sends again, so that each always has a request waiting.
            let served = simulation.running.front().unwrap().1.clone();
            simulation.finish_one();
            simulation.send(served.as_str(), cost);
            let scaled = |number: usize| {
                let work = simulation.work.get(&name(number)).copied().unwrap_or(0);
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
fn priorities_order_requests_within_a_workspace() {
    let mut admission = admission(&[workspace("galle", 1), workspace("kandy", 1)], 1);
    admission.submit_request(request_of("running", "galle", 1), START);
    let arrivals = [
        ("low", "galle", 0),
        ("high", "galle", 9),
        ("mid", "galle", 5),
        ("other", "kandy", 0),
    ];
    for (id, workspace, priority) in arrivals {
        let request = AdmissionRequest {
            priority,
            ..request_of(id, workspace, 1)
        };
        assert!(admission.submit_request(request, START).is_empty());
    }
    let mut last = "running".to_owned();
    let mut order = Vec::new();
    for _ in arrivals {
        last = started(&admission.finish_request(&last.parse().unwrap(), START)).remove(0);
        order.push(last.clone());
    }
    let of_galle: Vec<&String> = order.iter().filter(|id| *id != "other").collect();
    assert_eq!(of_galle, ["high", "mid", "low"]);
    assert!(
        order.iter().position(|id| id == "other") < Some(2),
        "{order:?}"
    );
}

fn quota_retry_after_ms(commands: &[AdmissionCommand]) -> Option<u64> {
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
    /// For each request: prompt tokens, arrival in milliseconds after the start, and the retry
    /// delay in milliseconds if it is refused.
    sent: &'static [(u64, u64, Option<u64>)],
}

fn quota_cases() -> Vec<QuotaCase> {
    const ADMITTED: (u64, u64, Option<u64>) = (9, 0, None);
    let case = |name, requests_per_s, tokens_per_s, daemons, sent| QuotaCase {
        name,
        requests_per_s,
        tokens_per_s,
        daemons,
        sent,
    };
    vec![
        case("no quota", None, None, 1, &[ADMITTED, ADMITTED, ADMITTED]),
        case(
            "two requests a second, four at once",
            Some(2),
            None,
            1,
            &[
                ADMITTED,
                ADMITTED,
                ADMITTED,
                ADMITTED,
                (9, 0, Some(500)),
                (9, 500, None),
                (9, 500, Some(500)),
            ],
        ),
        case(
            "an idle hour allows no larger burst",
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
            "a quarter of the quota at each of four daemons",
            Some(2),
            None,
            4,
            &[ADMITTED, (9, 0, Some(2_000))],
        ),
    ]
}

#[test]
fn quotas_refuse_with_the_retry_delay() {
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
        admission.apply_quota_configuration(&configuration, case.daemons, START);
        for (number, (tokens, at_ms, retry_after_ms)) in case.sent.iter().enumerate() {
            let request = request_of(&format!("r{number}"), "galle", *tokens);
            let commands = admission.submit_request(request, after_ms(*at_ms));
            let seen = quota_retry_after_ms(&commands);
            assert_eq!(seen, *retry_after_ms, "{}, request {number}", case.name);
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
        started(&admission.submit_request(request_of("a", "small", 1), START)),
        ["a"]
    );
    assert!(
        admission
            .submit_request(request_of("b", "small", 1), START)
            .is_empty()
    );
    assert!(
        admission
            .submit_request(request_of("c", "small", 1), START)
            .is_empty()
    );
    let full = admission.submit_request(request_of("d", "small", 1), START);
    assert_eq!(refused(&full), [("d".to_owned(), Code::QueueFull)]);
    assert!(
        admission
            .submit_request(request_of("e", "large", 1), START)
            .is_empty()
    );
    let stranger = admission.submit_request(request_of("f", "nobody", 1), START);
    assert_eq!(refused(&stranger), [("f".to_owned(), Code::UnknownKey)]);
}

#[test]
fn request_past_its_deadline_is_refused_and_never_started() {
    let mut admission = admission(&[workspace("galle", 1)], 1);
    let due_at = |id: &str, ms| AdmissionRequest {
        deadline_us: after_ms(ms),
        ..request_of(id, "galle", 1)
    };
    admission.submit_request(due_at("running", 10), START);
    admission.submit_request(due_at("first", 20), START);
    admission.submit_request(due_at("second", 30), START);
    admission.submit_request(due_at("third", 90), START);
    assert!(admission.tick(after_ms(19)).is_empty());
    let late = [("first".to_owned(), Code::DeadlineUnreachable)];
    assert_eq!(refused(&admission.tick(after_ms(20))), late);
    let commands = admission.finish_request(&"running".parse().unwrap(), after_ms(40));
    assert_eq!(
        refused(&commands),
        [("second".to_owned(), Code::DeadlineUnreachable)]
    );
    assert_eq!(started(&commands), ["third"]);
    let past = admission.submit_request(due_at("past", 40), after_ms(40));
    assert_eq!(
        refused(&past),
        [("past".to_owned(), Code::DeadlineUnreachable)]
    );
}

/// Waiting requests must not be stuck while a service has free slots. If the only waiting request
/// of the next workspace is cancelled, the workspace must not keep its place in the order with
/// nothing to start.
#[test]
fn cancelling_the_last_request_of_a_workspace_does_not_block_others() {
    let mut admission = admission(&[workspace("galle", 1), workspace("kandy", 1)], 1);
    admission.submit_request(request_of("running", "kandy", 9), START);
    admission.submit_request(request_of("cancelled", "galle", 1), START);
    admission.submit_request(request_of("waiting", "kandy", 1), START);
    assert!(admission.cancel(&"cancelled".parse().unwrap()));
    let commands = admission.finish_request(&"running".parse().unwrap(), START);
    assert_eq!(started(&commands), ["waiting"]);
    assert!(
        admission
            .submit_request(request_of("again", "galle", 1), START)
            .is_empty()
    );
    let commands = admission.finish_request(&"waiting".parse().unwrap(), START);
    assert_eq!(started(&commands), ["again"]);
}

#[test]
fn cancelling_and_capacity_changes_keep_the_counts() {
    let mut admission = admission(&[workspace("galle", 1)], 1);
    for id in ["a", "b", "c", "d", "e"] {
        admission.submit_request(request_of(id, "galle", 1), START);
    }
    let id = |name: &str| name.parse::<RequestId>().unwrap();
    assert!(admission.cancel(&id("b")));
    assert!(!admission.cancel(&id("b")));
    assert!(!admission.cancel(&id("a")), "a runs and stays counted");
    assert!(
        admission.finish_request(&id("c"), START).is_empty(),
        "c has not started"
    );
    assert!(
        admission
            .submit_request(request_of("c", "galle", 1), START)
            .is_empty(),
        "c waits already"
    );
    assert_eq!(
        started(&admission.set_capacity(&service(), 2, START)),
        ["c"]
    );
    assert_eq!(started(&admission.finish_request(&id("a"), START)), ["d"]);
    let refused_waiting = admission.refuse_waiting(Code::Draining);
    assert_eq!(
        refused(&refused_waiting),
        [("e".to_owned(), Code::Draining)]
    );
    admission.finish_request(&id("c"), START);
    admission.finish_request(&id("d"), START);
    let gate = admission.snapshot().remove(0);
    assert_eq!((gate.running, gate.waiting, gate.capacity), (0, 0, 2));
}

/// Lets `count` requests of one workspace end one second apart while others wait, so that the gate
/// measures the throughput. One more request is left running. Returns the time at the end, in
/// milliseconds.
fn record_end_intervals(
    admission: &mut Admission,
    workspace: &str,
    start_ms: u64,
    count: u64,
) -> u64 {
    let name = |number| format!("{workspace}-{start_ms}-{number}");
    for number in 0..=count {
        admission.submit_request(request_of(&name(number), workspace, 1), after_ms(start_ms));
    }
    for number in 0..count {
        let now = after_ms(start_ms + 1_000 * (number + 1));
        admission.finish_request(&name(number).parse().unwrap(), now);
    }
    start_ms + 1_000 * count
}

fn request_with_deadline(
    id: &str,
    workspace: &str,
    now_ms: u64,
    deadline_ms: u64,
) -> AdmissionRequest {
    AdmissionRequest {
        deadline_us: after_ms(now_ms + deadline_ms),
        ..request_of(id, workspace, 1)
    }
}

#[test]
fn request_that_cannot_start_in_time_is_refused_on_arrival() {
    // A caller must not wait for its whole deadline only to be refused. The service ends one
    // request a second and five wait, so a request with a deadline of three seconds can't start in
    // time.
    let mut admission = admission(&[workspace("kandy", 1), workspace("galle", 1)], 1);
    let now_ms = record_end_intervals(&mut admission, "kandy", 0, 20);
    let now = after_ms(now_ms);
    for number in 0..5 {
        let waits = request_with_deadline(&format!("w{number}"), "kandy", now_ms, 60_000);
        assert!(admission.submit_request(waits, now).is_empty());
    }
    let commands =
        admission.submit_request(request_with_deadline("late", "kandy", now_ms, 3_000), now);
    let expected = ("late".to_owned(), Code::DeadlineUnreachable);
    assert_eq!(refused(&commands), [expected]);
    // Accepted: a request that can wait longer, has a higher priority or is of another workspace.
    let patient = request_with_deadline("patient", "kandy", now_ms, 10_000);
    assert!(admission.submit_request(patient, now).is_empty());
    let urgent = AdmissionRequest {
        priority: 9,
        ..request_with_deadline("urgent", "kandy", now_ms, 3_000)
    };
    assert!(admission.submit_request(urgent, now).is_empty());
    let other = request_with_deadline("other", "galle", now_ms, 3_000);
    assert!(admission.submit_request(other, now).is_empty());
}

#[test]
fn idle_pauses_do_not_refuse_the_next_burst() {
    // The first burst of the morning must not be refused while the endpoints are idle. Requests
    // that end minutes apart through the night must not count as the throughput of the service.
    let mut admission = admission(&[workspace("kandy", 1)], 1);
    let mut now_ms = record_end_intervals(&mut admission, "kandy", 0, 20);
    admission.finish_request(&"kandy-0-20".parse().unwrap(), after_ms(now_ms));
    for number in 0..20 {
        now_ms += 600_000;
        let id = format!("night-{number}");
        admission.submit_request(request_of(&id, "kandy", 1), after_ms(now_ms));
        admission.finish_request(&id.parse().unwrap(), after_ms(now_ms + 500));
    }
    for number in 0..4 {
        let id = format!("morning-{number}");
        let commands = admission.submit_request(
            request_with_deadline(&id, "kandy", now_ms, 8_000),
            after_ms(now_ms),
        );
        assert!(refused(&commands).is_empty(), "{commands:?}");
    }
}
