//! Retries of all daemons of a fleet together.

use std::collections::{BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch_core::route::RetryBudget;
use wisteriahitch_relay::{PermitShares, ViewObservation, max_saved_retries};
use wisteriahitch_types::TimeUs;

const SEED: u64 = 1;
const RATIO: f64 = 0.2;
const STEPS_PER_S: usize = 10;
const STEP_US: u64 = 1_000_000 / STEPS_PER_S as u64;
const WINDOW_STEPS: usize = 10 * STEPS_PER_S;

/// Each replay has two halves of this length. A disruption happens between them.
const HALF_STEPS: usize = 30 * STEPS_PER_S;

fn ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + u32::try_from(index).unwrap())
}

/// What happens to the daemons between the halves of a replay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disruption {
    None,
    /// All processes are killed and start again; their registrations stay.
    AllKilled,
    /// The fleet is partitioned, with this many daemons on one side; no daemon sees those on the
    /// other side, nor any registration.
    Cut(usize),
}

#[derive(Clone, Copy)]
struct Case {
    what: &'static str,
    daemons: usize,
    slack: f64,
    /// Calls per second of one daemon.
    calls_per_s: f64,
    /// Number of calls that arrive together.
    burst: u32,
    /// Fraction of the calls that fail in each half.
    failing: [f64; 2],
    disruption: Disruption,
}

const SMALL: Case = Case {
    what: "a small fleet",
    daemons: 8,
    slack: 56.0,
    calls_per_s: 20.0,
    burst: 4,
    failing: [0.14, 0.14],
    disruption: Disruption::None,
};

/// A large fleet whose daemons receive a call every few seconds.
const LARGE: Case = Case {
    what: "a large fleet",
    daemons: 1_000,
    slack: 1_040.0,
    calls_per_s: 0.3,
    burst: 1,
    ..SMALL
};

struct Replay {
    budgets: Vec<RetryBudget>,
    /// What each daemon has seen of the members.
    views: Vec<PermitShares>,
    /// Steps since the fleet was partitioned.
    steps: u64,
    failed: u32,
    retried: u32,
    /// Calls and retries of the last steps.
    window: VecDeque<(u32, u32)>,
    /// Largest number of retries beyond the bound in any window.
    max_excess: f64,
}

/// Records what a daemon sees of the members, in a step of a replay.
fn observe(view: &mut PermitShares, alive: &BTreeSet<Ipv4Addr>, step: u64) {
    let observation = ViewObservation {
        alive: alive.clone(),
        is_complete: true,
        ..ViewObservation::default()
    };
    view.observe(&observation, TimeUs::new(step * STEP_US));
}

impl Replay {
    /// Replays both halves for a fleet that starts for the first time.
    fn of(case: &Case) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let budget = |index: usize| {
            let max_saved = max_saved_retries(case.slack, case.daemons, ip(index));
            RetryBudget::new(RATIO).with_max_saved(f64::from(max_saved))
        };
        let mut replay = Self {
            budgets: (0..case.daemons).map(budget).collect(),
            views: vec![],
            steps: 0,
            failed: 0,
            retried: 0,
            window: VecDeque::new(),
            max_excess: f64::MIN,
        };
        replay.budgets.iter_mut().for_each(RetryBudget::fill);
        replay.play_half(case, case.failing[0], &mut rng);
        match case.disruption {
            Disruption::None => {}
            Disruption::AllKilled => replay.budgets = (0..case.daemons).map(budget).collect(),
            Disruption::Cut(_) => {
                let view = |index| PermitShares::new(ip(index), TimeUs::ZERO);
                replay.views = (0..case.daemons).map(view).collect();
                let all = (0..case.daemons).map(ip).collect();
                replay
                    .views
                    .iter_mut()
                    .for_each(|view| observe(view, &all, 0));
                // Calls that succeed earn retries for a while before calls begin to fail.
                replay.play_half(case, 0.0, &mut rng);
            }
        }
        replay.play_half(case, case.failing[1], &mut rng);
        replay
    }

    /// Divides the slack among the daemons as each of them sees the fleet.
    fn divide_slack(&mut self, case: &Case) {
        let Disruption::Cut(on_one_side) = case.disruption else {
            return;
        };
        self.steps += 1;
        let (one, other): (BTreeSet<_>, BTreeSet<_>) = (0..case.daemons)
            .map(ip)
            .partition(|at| *at < ip(on_one_side));
        let budgets = self.budgets.iter_mut().enumerate();
        for ((index, budget), view) in budgets.zip(&mut self.views) {
            let side = if index < on_one_side { &one } else { &other };
            observe(view, side, self.steps);
            let max_saved = max_saved_retries(case.slack, view.member_count(), ip(index));
            budget.set_max_saved(f64::from(max_saved));
        }
    }

    fn play_half(&mut self, case: &Case, failing: f64, rng: &mut ChaCha8Rng) {
        let bursts_per_s = case.calls_per_s / f64::from(case.burst);
        let burst_probability = bursts_per_s / STEPS_PER_S as f64;
        for _ in 0..HALF_STEPS {
            self.divide_slack(case);
            let (mut calls, retried_before) = (0, self.retried);
            for budget in &mut self.budgets {
                let arriving = u32::from(rng.random_bool(burst_probability)) * case.burst;
                for _ in 0..arriving {
                    calls += 1;
                    budget.record_request();
                    if rng.random_bool(failing) {
                        self.failed += 1;
                        self.retried += u32::from(budget.try_acquire());
                    }
                }
            }
            self.window
                .push_back((calls, self.retried - retried_before));
            if self.window.len() > WINDOW_STEPS {
                self.window.pop_front();
            }
            let calls: u32 = self.window.iter().map(|(calls, _)| calls).sum();
            let retries: u32 = self.window.iter().map(|(_, retries)| retries).sum();
            let bound = f64::from(calls) * RATIO + case.slack;
            self.max_excess = self.max_excess.max(f64::from(retries) - bound);
        }
    }
}

/// Guards against retries beyond the bound over all daemons in any ten seconds, which would keep
/// failing endpoints down.
#[test]
fn a_fleet_retries_within_its_bound() {
    let all_fail = [1.0, 1.0];
    let cases = [
        SMALL,
        LARGE,
        Case {
            what: "all endpoints of a small fleet fail",
            failing: all_fail,
            ..SMALL
        },
        Case {
            what: "all endpoints of a large fleet fail",
            failing: all_fail,
            ..LARGE
        },
        Case {
            what: "all endpoints begin to fail after a calm time",
            failing: [0.0, 1.0],
            ..LARGE
        },
        Case {
            what: "all endpoints fail and all daemons are killed",
            failing: all_fail,
            disruption: Disruption::AllKilled,
            ..LARGE
        },
    ];
    for case in cases {
        let excess = Replay::of(&case).max_excess;
        assert!(excess <= 0.0, "{}: {excess} beyond the bound", case.what);
    }
}

/// Guards against retries beyond the bound while each side of a fleet that is cut in two counts the
/// other as gone and divides the whole slack among its own daemons.
#[test]
fn a_fleet_that_is_cut_in_two_retries_within_its_bound() {
    let cases = [
        ("two halves", 4),
        ("three of eight", 3),
        ("one of eight", 1),
    ];
    for (what, on_one_side) in cases {
        let case = Case {
            what,
            failing: [0.0, 1.0],
            disruption: Disruption::Cut(on_one_side),
            ..SMALL
        };
        let excess = Replay::of(&case).max_excess;
        assert!(excess <= 0.0, "{what}: {excess} beyond the bound");
    }
}

/// Guards against shares that stay small after daemons have left: at once if they have announced it,
/// and after a minute if they have failed.
#[test]
fn the_slack_is_divided_among_the_daemons_that_are_left() {
    let all: BTreeSet<Ipv4Addr> = (0..8).map(ip).collect();
    let left: BTreeSet<Ipv4Addr> = (0..6).map(ip).collect();
    let mut view = PermitShares::new(ip(0), TimeUs::ZERO);
    observe(&mut view, &all, 0);
    assert_eq!(view.member_count(), 8);
    let leaving = ViewObservation {
        alive: all.iter().copied().take(7).collect(),
        leaving: BTreeSet::from([ip(7)]),
        is_complete: true,
        ..ViewObservation::default()
    };
    view.observe(&leaving, TimeUs::new(STEP_US));
    assert_eq!(view.member_count(), 7);
    let minute = 60 * STEPS_PER_S as u64;
    observe(&mut view, &left, 2);
    observe(&mut view, &left, minute);
    assert_eq!(view.member_count(), 7);
    observe(&mut view, &left, minute + 1);
    assert_eq!(view.member_count(), 6);
}

/// Guards against retries that a small fleet refuses although it has hardly made any.
#[test]
fn a_small_fleet_retries_nearly_all_failed_calls() {
    let replay = Replay::of(&SMALL);
    let share = f64::from(replay.retried) / f64::from(replay.failed);
    assert!(share >= 0.99, "{share}");
}

/// Guards against retries that are refused although the fleet as a whole has made fewer than the
/// bound allows, because the retries that other daemons have saved up can't be used.
#[test]
fn a_fleet_retries_all_failed_calls_that_the_bound_allows() {
    for case in [LARGE, SMALL] {
        let replay = Replay::of(&case);
        assert_eq!(replay.retried, replay.failed, "{}", case.what);
    }
}

/// Guards against a daemon that may never retry because its share of the slack is less than one.
#[test]
fn shares_are_whole_and_take_no_more_than_the_slack() {
    struct Case {
        daemons: usize,
        slack: f64,
    }
    let cases = [
        (1, 20.0),
        (8, 56.0),
        (26, 172.0),
        (984, 1_040.0),
        (2_000, 1_040.0),
    ];
    for Case { daemons, slack } in cases.map(|(daemons, slack)| Case { daemons, slack }) {
        let shares = (0..daemons).map(|index| max_saved_retries(slack, daemons, ip(index)));
        let sum = f64::from(shares.sum::<u32>());
        assert!(sum <= slack, "{daemons} daemons: {sum} of {slack}");
        assert!(sum >= slack * 0.75, "{daemons} daemons: {sum} of {slack}");
    }
}
