//! Rollouts of new weights on a simulated fleet of engines.

use std::collections::{BTreeMap, BTreeSet};

use wisteriahitch_relay::{
    ConcurrencyOptions, EngineReport, OrderOutcome, Rollout, RolloutRow, RolloutStep,
};
use wisteriahitch_types::{DurationUs, EndpointInstance, TimeUs, WeightNumber};

use crate::fixture::{at_ms, id, model, ms};

/// Time after new weights were named until which calls are sent to engines with the old ones.
const SEND_DEADLINE: TimeUs = TimeUs::new(8_000_000);
/// Time after new weights were named by which a call must have started on the old ones.
const START_DEADLINE: TimeUs = TimeUs::new(9_200_000);
/// Time after new weights were named within which all engines must have loaded them.
const LOAD_DEADLINE: TimeUs = TimeUs::new(14_000_000);
/// Share of the engines that may finish their calls at once, and of those that load at their usual
/// speed.
const PARALLEL_SHARE: f64 = 0.2;
/// Share of the engines that may be kept from calls which they could still take.
const MAX_MISSING_SHARE: f64 = 0.3;
/// Age of what a report states.
const REPORT_LAG: DurationUs = ms(300);
/// Time that the weights take to load. It is longer in proportion while more than
/// [`PARALLEL_SHARE`] of the engines load.
const LOAD_TIME: DurationUs = ms(400);
/// Interval between two steps of the rollout.
const TICK: DurationUs = ms(50);
/// Interval between two steps of the engines.
const ENGINE_STEP: DurationUs = ms(10);

const OLD: WeightNumber = WeightNumber::new(1);
const NEW: WeightNumber = WeightNumber::new(2);

struct SimulatedEngine {
    /// Time for which the last call runs that it takes.
    run: DurationUs,
    /// Time at which its running calls end.
    runs_end_at: TimeUs,
    ordered_at: Option<TimeUs>,
    remaining_load: DurationUs,
    loaded_at: Option<TimeUs>,
}

impl SimulatedEngine {
    fn weights(&self, at: TimeUs) -> WeightNumber {
        match self.loaded_at.is_some_and(|loaded_at| loaded_at <= at) {
            true => NEW,
            false => OLD,
        }
    }

    fn takes_calls(&self, is_reserved: bool, now: TimeUs) -> bool {
        match self.loaded_at {
            Some(_) => true,
            None => !is_reserved && self.ordered_at.is_none() && now < SEND_DEADLINE,
        }
    }

    fn is_loading(&self, now: TimeUs) -> bool {
        self.ordered_at.is_some() && self.loaded_at.is_none() && self.runs_end_at <= now
    }
}

struct SimulatedFleet {
    engines: BTreeMap<EndpointInstance, SimulatedEngine>,
    rollout: Rollout,
}

impl SimulatedFleet {
    /// Engines whose last calls run for `run_ms.0` to `run_ms.1`.
    fn new(engines: u64, run_ms: (u64, u64)) -> Self {
        let engine = |number: u64| {
            let spread_ms = run_ms.1 - run_ms.0;
            let engine = SimulatedEngine {
                run: ms(run_ms.0 + number * 7_919 % 100 * spread_ms / 100),
                runs_end_at: TimeUs::ZERO,
                ordered_at: None,
                remaining_load: LOAD_TIME,
                loaded_at: None,
            };
            (id(&format!("i-{number:04}")), engine)
        };
        let options = ConcurrencyOptions {
            parallel_min: 3,
            parallel_share: PARALLEL_SHARE,
            completion_timeout_us: LOAD_DEADLINE.since(TimeUs::ZERO),
        };
        Self {
            engines: (0..engines).map(engine).collect(),
            rollout: Rollout::new(options),
        }
    }

    /// Lets the engines take calls, run and load for [`ENGINE_STEP`].
    fn run(&mut self, now: TimeUs) {
        let reserved: BTreeSet<&EndpointInstance> = self.rollout.reserved().collect();
        let engines = self.engines.values();
        let loading = engines.filter(|engine| engine.is_loading(now)).count();
        let slowdown = loading as f64 / (self.engines.len() as f64 * PARALLEL_SHARE);
        let progress = DurationUs::new((ENGINE_STEP.as_f64() / slowdown.max(1.0)) as u64);
        for (endpoint, engine) in &mut self.engines {
            if engine.takes_calls(reserved.contains(endpoint), now) {
                engine.runs_end_at = now + engine.run;
            } else if engine.is_loading(now) {
                engine.remaining_load = engine.remaining_load - progress;
                let is_done = engine.remaining_load == DurationUs::ZERO;
                engine.loaded_at = is_done.then_some(now);
            }
        }
    }

    /// Carries out a step of the rollout by the daemon that holds the lease.
    fn tick(&mut self, now: TimeUs) {
        let lagged = TimeUs::ZERO + now.since(TimeUs::ZERO + REPORT_LAG);
        let row = |(endpoint, engine): (&EndpointInstance, &SimulatedEngine)| {
            let current = engine.weights(lagged);
            (current == OLD).then(|| RolloutRow {
                endpoint: endpoint.clone(),
                model: model(),
                current,
                wanted: NEW,
                replaced_at_us: TimeUs::ZERO,
                dispatch_deadline_us: Some(SEND_DEADLINE),
                running: 1,
            })
        };
        let behind: Vec<RolloutRow> = self.engines.iter().filter_map(row).collect();
        for step in self.rollout.tick(&behind, self.engines.len(), now) {
            match step {
                RolloutStep::ReadReport(endpoint) => {
                    let engine = &self.engines[&endpoint];
                    let is_accepted = engine.ordered_at.is_some_and(|at| at <= lagged);
                    let report = EngineReport {
                        weights: BTreeMap::from([(model(), engine.weights(lagged))]),
                        accepted_orders: u64::from(is_accepted),
                        running: u32::from(engine.runs_end_at > lagged),
                        is_busy: is_accepted && engine.weights(lagged) == OLD,
                        ..EngineReport::default()
                    };
                    self.rollout.apply_report(&endpoint, Some(&report), now);
                }
                RolloutStep::GiveOrder { endpoint, .. } => {
                    let engine = self.engines.get_mut(&endpoint).unwrap();
                    engine.ordered_at.get_or_insert(now);
                    let outcome = OrderOutcome::Accepted;
                    self.rollout.record_order_outcome(&endpoint, &outcome, now);
                }
            }
        }
    }

    fn serving(&self, now: TimeUs) -> usize {
        let reserved: BTreeSet<&EndpointInstance> = self.rollout.reserved().collect();
        let engines = self.engines.iter();
        engines
            .filter(|(endpoint, engine)| engine.takes_calls(reserved.contains(endpoint), now))
            .count()
    }
}

/// Engines began calls on weights that had been out of use for seconds: their orders waited for the
/// limit on concurrent loads, although no daemon sent them calls any more, and calls that had been
/// delayed on their way arrived there.
#[test]
fn engines_whose_weights_go_out_of_use_refuse_late_calls() {
    struct Case {
        what: &'static str,
        engines: u64,
        run_ms: (u64, u64),
        /// Time from which the lease is held.
        held_from_ms: u64,
    }
    let cases = [
        Case {
            what: "short runs",
            engines: 140,
            run_ms: (500, 1_000),
            held_from_ms: 0,
        },
        Case {
            what: "long runs",
            engines: 140,
            run_ms: (500, 2_500),
            held_from_ms: 0,
        },
        Case {
            what: "long runs at twice the engines",
            engines: 280,
            run_ms: (500, 2_500),
            held_from_ms: 0,
        },
        Case {
            what: "a new holder of the lease after three seconds",
            engines: 140,
            run_ms: (500, 1_000),
            held_from_ms: 3_000,
        },
        Case {
            what: "no holder until calls are no longer sent to old weights",
            engines: 280,
            run_ms: (500, 1_000),
            held_from_ms: 8_500,
        },
    ];
    for case in cases {
        let mut fleet = SimulatedFleet::new(case.engines, case.run_ms);
        let min_serving = (case.engines as f64 * (1.0 - MAX_MISSING_SHARE)) as usize;
        for now_ms in (0..=14_000).step_by(10) {
            let now = at_ms(now_ms);
            fleet.run(now);
            if now_ms >= case.held_from_ms && now_ms % TICK.as_ms() == 0 {
                fleet.tick(now);
            }
            if now < SEND_DEADLINE {
                let serving = fleet.serving(now);
                assert!(
                    serving >= min_serving,
                    "{}: only {serving} engines serve at {now_ms} ms",
                    case.what
                );
            }
        }
        let engines = fleet.engines.values();
        let late = engines.filter(|engine| engine.ordered_at.is_none_or(|at| at > START_DEADLINE));
        assert_eq!(
            late.count(),
            0,
            "{}: engines that accept late calls",
            case.what
        );
        let engines = fleet.engines.values();
        let unfinished = engines.filter(|engine| engine.loaded_at.is_none());
        assert_eq!(
            unfinished.count(),
            0,
            "{}: engines with old weights",
            case.what
        );
    }
}

/// Guards against a small VM that runs out of descriptors when all engines of a large fleet are due
/// at once.
#[test]
fn reports_and_orders_in_progress_are_limited() {
    let row = |number: u64| RolloutRow {
        endpoint: id(&format!("i-{number:04}")),
        model: model(),
        current: OLD,
        wanted: NEW,
        replaced_at_us: TimeUs::ZERO,
        dispatch_deadline_us: Some(SEND_DEADLINE),
        running: 0,
    };
    let behind: Vec<RolloutRow> = (0..9_525).map(row).collect();
    let mut rollout = SimulatedFleet::new(0, (0, 1)).rollout;
    let now = START_DEADLINE;
    let reports = rollout.tick(&behind, behind.len(), now);
    assert!(reports.len() <= 2_000, "{} reports at once", reports.len());
    assert!(
        rollout.tick(&behind, behind.len(), now + TICK).is_empty(),
        "none before one of them ends"
    );
    let RolloutStep::ReadReport(first) = &reports[0] else {
        panic!("{:?} is no report", reports[0]);
    };
    rollout.apply_report(first, Some(&EngineReport::default()), now + TICK);
    let steps = rollout.tick(&behind, behind.len(), now + TICK);
    assert!(
        matches!(&steps[..], [RolloutStep::GiveOrder { endpoint, .. }] if endpoint == first),
        "an order goes before the reports of others: {steps:?}"
    );
    assert_eq!(
        rollout.reserved().count(),
        0,
        "engines that no daemon sends calls to need no announcement"
    );
}
