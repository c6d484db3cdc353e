//! Replays of a fleet in front of brittle endpoints: daemons that ask for room, messages that take
//! time, and endpoints that fail if they refuse too many calls.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::Ipv4Addr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wisteriahitch_relay::{
    EndpointRoom, Load, LoanEnd, LoanId, RoomLender, RoomRequest, room_lender,
};
use wisteriahitch_types::{DurationUs, EndpointId, TimeUs};

/// Time of a message from one machine to another.
const HOP_US: u64 = 1_400;
/// Endpoints that a call asks at most.
const MAX_ASKED: usize = 4;
/// Time after which a failed endpoint is back.
const RESTART_US: u64 = 3_000_000;
/// Refusals in a second that an endpoint bears.
const MAX_REFUSALS_PER_S: u32 = 5;
/// Time for which members of a large fleet may differ in whom they hold for failed.
const VIEWS_DIFFER_US: u64 = 2_700_000;
const PLAY_US: u64 = 5_000_000;

#[derive(Clone, Debug)]
struct Case {
    name: &'static str,
    daemons: u16,
    endpoints: usize,
    slots: u32,
    /// Calls that an endpoint really runs at a time.
    real_slots: u32,
    calls_per_s: u64,
    call_us: u64,
    /// Until when half of the daemons hold the first third for failed, and the others don't.
    views_differ_until_us: u64,
    /// Part of the calls, or of what the endpoints can run if that is less, that must be served.
    min_served: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive,
    /// The lender gets the question.
    Ask(usize),
    Reach(usize),
    End(usize, u64),
    Report(usize, Outcome),
    Restart(usize),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
    Finished,
    Refused,
}

struct Call {
    daemon: usize,
    endpoint: usize,
    lender: usize,
    asked: Vec<usize>,
}

struct Endpoint {
    process: u64,
    running: u32,
    is_up: bool,
    refused: VecDeque<u64>,
}

struct Fleet {
    case: Case,
    rng: StdRng,
    now: u64,
    due: BinaryHeap<Reverse<(u64, u64, Step)>>,
    lenders: Vec<RoomLender>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    /// Lender of an endpoint's process in a view.
    known_lenders: HashMap<(usize, u64, bool), usize>,
    served: u64,
    falls: u64,
}

impl Fleet {
    fn new(case: &Case) -> Self {
        let up = || Endpoint {
            process: 0,
            running: 0,
            is_up: true,
            refused: VecDeque::new(),
        };
        Self {
            case: case.clone(),
            rng: StdRng::seed_from_u64(1),
            now: 0,
            due: BinaryHeap::new(),
            lenders: vec![RoomLender::default(); usize::from(case.daemons)],
            endpoints: (0..case.endpoints).map(|_| up()).collect(),
            calls: Vec::new(),
            known_lenders: HashMap::new(),
            served: 0,
            falls: 0,
        }
    }

    fn schedule(&mut self, after_us: u64, step: Step) {
        let number = self.rng.random();
        self.due.push(Reverse((self.now + after_us, number, step)));
    }

    fn ip(daemon: usize) -> Ipv4Addr {
        Ipv4Addr::from(0x0a00_0000 + u32::try_from(daemon).unwrap())
    }

    fn sees_all(&self, daemon: usize) -> bool {
        self.now >= self.case.views_differ_until_us || daemon.is_multiple_of(2)
    }

    fn lender(&mut self, endpoint: usize, daemon: usize) -> usize {
        let (process, sees_all) = (self.endpoints[endpoint].process, self.sees_all(daemon));
        let daemons = usize::from(self.case.daemons);
        let lender = || {
            let id: EndpointId = format!("e-{endpoint}-{process}").parse().unwrap();
            let from = if sees_all { 0 } else { daemons / 3 };
            let lender = room_lender(&id, (from..daemons).map(Self::ip)).unwrap();
            usize::try_from(u32::from(lender) - 0x0a00_0000).unwrap()
        };
        let key = (endpoint, process, sees_all);
        *self.known_lenders.entry(key).or_insert_with(lender)
    }

    /// Asks the lender of an endpoint that the call hasn't asked yet.
    fn ask_next(&mut self, call: usize) {
        if self.calls[call].asked.len() >= MAX_ASKED.min(self.endpoints.len()) {
            return;
        }
        let endpoint = loop {
            let drawn = self.rng.random_range(0..self.endpoints.len());
            if !self.calls[call].asked.contains(&drawn) {
                break drawn;
            }
        };
        self.calls[call].asked.push(endpoint);
        if !self.endpoints[endpoint].is_up {
            return self.ask_next(call);
        }
        let daemon = self.calls[call].daemon;
        let lender = self.lender(endpoint, daemon);
        self.calls[call].endpoint = endpoint;
        self.calls[call].lender = lender;
        self.schedule(HOP_US, Step::Ask(call));
    }

    fn key(&self, endpoint: usize) -> u32 {
        let process = self.endpoints[endpoint].process;
        u32::try_from(endpoint as u64 + process * 100_000).unwrap()
    }

    fn lend(&mut self, call: usize) {
        let (endpoint, lender) = (self.calls[call].endpoint, self.calls[call].lender);
        let request = RoomRequest {
            loan: self.loan(call),
            memory_tokens: 0,
            time_us: DurationUs::from_ms(1_500),
        };
        let room = EndpointRoom {
            slots: self.case.slots,
            memory_tokens: None,
            max_refusals_per_s: MAX_REFUSALS_PER_S,
            reported: Load::default(),
        };
        let (key, now) = (self.key(endpoint), TimeUs::new(self.now));
        match self.lenders[lender].lend(key, &request, &room, |_| true, now) {
            true => self.schedule(2 * HOP_US, Step::Reach(call)),
            false => self.ask_next(call),
        }
    }

    fn loan(&self, call: usize) -> LoanId {
        LoanId {
            borrower: Self::ip(self.calls[call].daemon),
            number: call as u64,
        }
    }

    fn reach(&mut self, call: usize) {
        let (now, real_slots) = (self.now, self.case.real_slots);
        let index = self.calls[call].endpoint;
        let endpoint = &mut self.endpoints[index];
        if !endpoint.is_up {
            return;
        }
        if endpoint.running < real_slots {
            endpoint.running += 1;
            let process = endpoint.process;
            return self.schedule(self.case.call_us, Step::End(call, process));
        }
        endpoint.refused.retain(|at| now - at < 1_000_000);
        endpoint.refused.push_back(now);
        if endpoint.refused.len() > MAX_REFUSALS_PER_S as usize {
            endpoint.is_up = false;
            self.falls += 1;
            return self.schedule(RESTART_US, Step::Restart(index));
        }
        self.schedule(2 * HOP_US, Step::Report(call, Outcome::Refused));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive => {
                let daemon = self.rng.random_range(0..usize::from(self.case.daemons));
                self.calls.push(Call {
                    daemon,
                    endpoint: 0,
                    lender: 0,
                    asked: Vec::new(),
                });
                self.ask_next(self.calls.len() - 1);
                let pause_us = 1e6 / self.case.calls_per_s as f64;
                let share: f64 = self.rng.random_range(1e-9..1.0);
                self.schedule((-share.ln() * pause_us) as u64, Step::Arrive);
            }
            Step::Ask(call) => self.lend(call),
            Step::Reach(call) => self.reach(call),
            Step::End(call, process) => {
                let endpoint = &mut self.endpoints[self.calls[call].endpoint];
                if endpoint.is_up && endpoint.process == process {
                    endpoint.running -= 1;
                    self.served += 1;
                    self.schedule(2 * HOP_US, Step::Report(call, Outcome::Finished));
                }
            }
            Step::Report(call, outcome) => {
                let end = match outcome {
                    Outcome::Finished => LoanEnd::Finished,
                    Outcome::Refused => LoanEnd::Refused,
                };
                let (key, loan) = (self.key(self.calls[call].endpoint), self.loan(call));
                let now = TimeUs::new(self.now);
                self.lenders[self.calls[call].lender].end(key, loan, end, now);
            }
            Step::Restart(index) => {
                let endpoint = &mut self.endpoints[index];
                endpoint.process += 1;
                endpoint.running = 0;
                endpoint.is_up = true;
                endpoint.refused.clear();
            }
        }
    }

    fn play(mut self) -> Self {
        self.schedule(0, Step::Arrive);
        while let Some(Reverse((at, _, step))) = self.due.pop() {
            if at >= PLAY_US {
                break;
            }
            self.now = at;
            self.step(step);
        }
        self
    }
}

/// Guards against endpoints that fail under the calls that they have to refuse, and against slots that
/// stay free while calls are refused: daemons with fewer slots than there are daemons, two lenders of
/// one endpoint, and endpoints that run fewer calls than they have slots.
#[test]
fn a_fleet_fills_brittle_endpoints_without_making_them_fail() {
    let small = Case {
        name: "a small service",
        daemons: 76,
        endpoints: 3,
        slots: 6,
        real_slots: 6,
        calls_per_s: 271,
        call_us: 30_000,
        views_differ_until_us: 0,
        min_served: 0.95,
    };
    let cases = [
        small.clone(),
        Case {
            name: "overload",
            calls_per_s: 1_200,
            min_served: 0.7,
            ..small.clone()
        },
        Case {
            name: "the lenders' views differ",
            views_differ_until_us: VIEWS_DIFFER_US,
            ..small.clone()
        },
        Case {
            name: "the lenders' views differ under overload",
            calls_per_s: 1_200,
            views_differ_until_us: VIEWS_DIFFER_US,
            min_served: 0.3,
            ..small.clone()
        },
        Case {
            name: "half of the slots can't be used, under overload",
            calls_per_s: 1_200,
            real_slots: 3,
            min_served: 0.3,
            ..small.clone()
        },
        Case {
            name: "engines",
            endpoints: 90,
            slots: 24,
            real_slots: 24,
            calls_per_s: 773,
            call_us: 500_000,
            ..small.clone()
        },
        Case {
            name: "engines of a large fleet",
            daemons: 984,
            endpoints: 9_525,
            slots: 24,
            real_slots: 24,
            calls_per_s: 5_000,
            call_us: 500_000,
            ..small
        },
    ];
    for case in cases {
        let fleet = Fleet::new(&case).play();
        let seconds = PLAY_US as f64 / 1e6;
        let real_slots = f64::from(case.real_slots) * case.endpoints as f64;
        let possible = real_slots * seconds * 1e6 / case.call_us as f64;
        // Calls that still run at the end aren't served yet.
        let asked = fleet.calls.len() as f64 - case.calls_per_s as f64 * case.call_us as f64 / 1e6;
        let served = fleet.served as f64 / asked.min(possible);
        println!("{}: served {served:.3}, {} falls", case.name, fleet.falls);
        // The deployments' rule: two, and a tenth of the endpoints.
        let allowed = 2 + case.endpoints as u64 / 10;
        assert!(
            fleet.falls <= allowed,
            "{}: {} falls",
            case.name,
            fleet.falls
        );
        assert!(
            served >= case.min_served,
            "{}: served {served:.3}",
            case.name
        );
    }
}

/// Guards against starvation: a daemon gets no room, because others request each freed slot earlier.
#[test]
fn a_borrower_that_had_less_comes_first() {
    let mut lender = RoomLender::default();
    let room = EndpointRoom {
        slots: 1,
        memory_tokens: None,
        max_refusals_per_s: MAX_REFUSALS_PER_S,
        reported: Load::default(),
    };
    let mut number = 0;
    let mut ask = |lender: &mut RoomLender, daemon: usize, now_us: u64| {
        number += 1;
        let loan = LoanId {
            borrower: Fleet::ip(daemon),
            number,
        };
        let request = RoomRequest {
            loan,
            memory_tokens: 0,
            time_us: DurationUs::from_ms(1_000),
        };
        let is_lent = lender.lend(1, &request, &room, |_| true, TimeUs::new(now_us));
        is_lent.then_some(loan)
    };
    let first = ask(&mut lender, 0, 0).unwrap();
    assert_eq!(ask(&mut lender, 1, 1_000), None);
    lender.end(1, first, LoanEnd::Finished, TimeUs::new(2_000));
    assert_eq!(ask(&mut lender, 0, 3_000), None, "the other one had none");
    assert!(ask(&mut lender, 1, 10_000).is_some());
}

struct LoanCase {
    name: &'static str,
    slots: u32,
    /// Calls that daemons report when each of two calls asks, and the tokens of each.
    reported: [u32; 2],
    tokens: [u64; 2],
    /// How the first call ends, and when the second one asks, in milliseconds.
    end: Option<LoanEnd>,
    asks_again_ms: u64,
    is_first_alive: bool,
    is_lent: [bool; 2],
}

impl LoanCase {
    /// Two calls at two slots, which both get room.
    const fn of(name: &'static str) -> Self {
        Self {
            name,
            slots: 2,
            reported: [0, 0],
            tokens: [10, 10],
            end: None,
            asks_again_ms: 50,
            is_first_alive: true,
            is_lent: [true, true],
        }
    }

    fn room(&self, running: u32) -> EndpointRoom {
        EndpointRoom {
            slots: self.slots,
            memory_tokens: Some(100),
            max_refusals_per_s: MAX_REFUSALS_PER_S,
            reported: Load {
                running,
                ..Load::default()
            },
        }
    }

    fn request(&self, daemon: usize) -> RoomRequest {
        RoomRequest {
            loan: LoanId {
                borrower: Fleet::ip(daemon),
                number: 1,
            },
            memory_tokens: self.tokens[daemon],
            time_us: DurationUs::from_ms(1_500),
        }
    }
}

/// Guards against room that is lent although it isn't free: memory that is used up, and calls without a
/// loan.
#[test]
fn room_follows_memory_and_unlent_work() {
    check_loans(&[
        LoanCase::of("two slots"),
        LoanCase {
            tokens: [60, 50],
            is_lent: [true, false],
            ..LoanCase::of("memory is used up")
        },
        LoanCase {
            tokens: [200, 0],
            is_lent: [true, false],
            ..LoanCase::of("a call alone larger than the memory")
        },
        LoanCase {
            reported: [1, 2],
            is_lent: [true, false],
            ..LoanCase::of("one call runs without a loan")
        },
        LoanCase {
            reported: [2, 2],
            is_lent: [false, false],
            ..LoanCase::of("two calls run without a loan")
        },
    ]);
}

/// Guards against room that is never free again, or too soon: calls that were given up, ends that were
/// lost, and daemons that have ended.
#[test]
fn room_is_free_again_when_a_loan_ends() {
    let one_slot = |name| LoanCase {
        slots: 1,
        ..LoanCase::of(name)
    };
    check_loans(&[
        LoanCase {
            is_lent: [true, false],
            ..one_slot("it runs")
        },
        LoanCase {
            end: Some(LoanEnd::Finished),
            ..one_slot("it has finished")
        },
        LoanCase {
            end: Some(LoanEnd::Abandoned),
            is_lent: [true, false],
            ..one_slot("it was given up a moment ago")
        },
        LoanCase {
            end: Some(LoanEnd::Abandoned),
            asks_again_ms: 1_100,
            ..one_slot("it was given up")
        },
        LoanCase {
            asks_again_ms: 1_600,
            ..one_slot("its end was lost")
        },
        LoanCase {
            is_first_alive: false,
            ..one_slot("its daemon has ended")
        },
    ]);
}

fn check_loans(cases: &[LoanCase]) {
    for case in cases {
        let mut lender = RoomLender::default();
        let from = TimeUs::new(60_000_000);
        let (room, request) = (case.room(case.reported[0]), case.request(0));
        let first = lender.lend(1, &request, &room, |_| true, from);
        if let Some(end) = case.end {
            lender.end(1, request.loan, end, from);
        }
        let later = from + DurationUs::from_ms(case.asks_again_ms);
        let is_alive = |ip| case.is_first_alive || ip != Fleet::ip(0);
        let (room, request) = (case.room(case.reported[1]), case.request(1));
        let second = lender.lend(1, &request, &room, is_alive, later);
        assert_eq!([first, second], case.is_lent, "{}", case.name);
    }
}
