//! Brings engines to wanted weights, a few at a time.
//!
//! The daemon that holds the lease runs it. An engine is first announced to the other daemons, so
//! that they send it nothing; then it gets the order, finishes what it runs and loads.

use std::collections::BTreeMap;

use wisteriahitch_types::{DurationUs, EndpointInstance, ModelName, TimeUs, WeightNumber};

use super::rollout_concurrency::{ConcurrencyOptions, Overrun, Remaining, RolloutConcurrency};
use crate::border::{EngineReport, OrderOutcome};

/// Time between an announcement and the order in a small fleet: the other daemons' next messages.
/// Requests that cross an order are refused by the engine.
const ANNOUNCE_DELAY_US: DurationUs = DurationUs::from_ms(150);
/// The same in a large fleet, where news takes three steps.
const LARGE_FLEET_ANNOUNCE_DELAY_US: DurationUs = DurationUs::from_ms(600);
/// Engines above which a fleet counts as large here.
const LARGE_FLEET_ENGINES: usize = 30;
/// Time between two reports of an engine that loads. Reports lag by some hundred milliseconds.
const REPORT_INTERVAL_US: DurationUs = DurationUs::from_ms(200);
/// Time after which an order that was accepted and shows no effect is given again.
const LOAD_TIMEOUT_US: DurationUs = DurationUs::from_ms(4_000);
/// Pause after a failure.
const RETRY_BACKOFF_US: DurationUs = DurationUs::from_ms(300);
/// Time for which an engine that couldn't be reached lets others go first. Engines that crash are back
/// in one or two seconds, mostly under another name; the registration of one that isn't lapses after
/// three to four.
const UNREACHABLE_BACKOFF_US: DurationUs = DurationUs::from_ms(1_000);

/// One engine as the rollout sees it.
#[derive(Clone, Debug)]
pub struct RolloutRow {
    /// Endpoint. Orders that were given to one life say nothing of the next.
    pub endpoint: EndpointInstance,
    /// Model.
    pub model: ModelName,
    /// Weights that it has.
    pub current: WeightNumber,
    /// Weights that it is to have.
    pub wanted: WeightNumber,
    /// Since when the weights that it has are no longer wanted.
    pub replaced_at_us: TimeUs,
    /// Requests that it runs.
    pub running: u32,
}

/// Asks the shell to do something.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutStep {
    /// Read an engine's report, and tell [`Rollout::apply_report`].
    ReadReport(EndpointInstance),
    /// Give an order, if the lease allows it now, and tell [`Rollout::record_order_outcome`].
    GiveOrder {
        /// Endpoint.
        endpoint: EndpointInstance,
        /// Model.
        model: ModelName,
        /// Version.
        version: WeightNumber,
        /// Orders that the engine has accepted so far.
        expected_orders: u64,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// The next report is due at this time.
    ReportDueAt(TimeUs),
    ReportPending,
    /// The order may be given; the engine has accepted so many.
    OrderAllowed(u64),
    OrderPending,
}

#[derive(Clone, Debug)]
struct ActiveEngine {
    model: ModelName,
    wanted: WeightNumber,
    /// Version of the order that was given last.
    ordered_version: WeightNumber,
    phase: Phase,
    /// When it was taken out.
    started_at_us: TimeUs,
    /// The order that the engine accepted last, and when.
    accepted: Option<(WeightNumber, TimeUs)>,
}

impl ActiveEngine {
    /// Returns the version that it has accepted and may still be loading.
    fn loading_version(&self, now: TimeUs) -> Option<WeightNumber> {
        let accepted = self.accepted;
        let accepted = accepted.filter(|(_, at)| now.since(*at) < LOAD_TIMEOUT_US);
        accepted.map(|(version, _)| version)
    }
}

/// Follows the engines that are being brought to wanted weights.
#[derive(Clone, Debug)]
pub struct Rollout {
    concurrency: RolloutConcurrency,
    active: BTreeMap<EndpointInstance, ActiveEngine>,
    /// Oldest weights of the engines that wait for their turn.
    oldest_waiting: Option<WeightNumber>,
    /// Engines that couldn't be reached, and until when others go first.
    backed_off: BTreeMap<EndpointInstance, TimeUs>,
}

impl Rollout {
    /// Starts without any.
    pub fn new(options: ConcurrencyOptions) -> Self {
        Self {
            concurrency: RolloutConcurrency::new(options),
            active: BTreeMap::new(),
            oldest_waiting: None,
            backed_off: BTreeMap::new(),
        }
    }

    /// Returns the engines that take no requests because of it.
    pub fn reserved(&self) -> impl Iterator<Item = &EndpointInstance> {
        self.active.keys()
    }

    /// Returns what keeps the rollout from ending in time; nothing where it is expected to.
    pub fn overrun(&self, behind: &[RolloutRow], engines: usize, now: TimeUs) -> Option<Overrun> {
        self.concurrency.overrun(remaining(behind, engines)?, now)
    }

    /// Returns whether there is nothing under way.
    pub fn is_idle(&self) -> bool {
        self.active.is_empty()
    }

    /// Drops everything, since another daemon holds the lease.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Takes the engines that are behind, of so many in all, and returns what is due.
    pub fn tick(&mut self, behind: &[RolloutRow], engines: usize, now: TimeUs) -> Vec<RolloutStep> {
        self.drop_finished(behind);
        self.start_next(behind, engines, now);
        let mut steps = Vec::new();
        for (endpoint, active) in &mut self.active {
            match active.phase {
                Phase::ReportDueAt(at) if at <= now => {
                    active.phase = Phase::ReportPending;
                    steps.push(RolloutStep::ReadReport(endpoint.clone()));
                }
                Phase::OrderAllowed(expected_orders) => {
                    active.phase = Phase::OrderPending;
                    active.ordered_version = active.wanted;
                    steps.push(RolloutStep::GiveOrder {
                        endpoint: endpoint.clone(),
                        model: active.model.clone(),
                        version: active.wanted,
                        expected_orders,
                    });
                }
                _ => {}
            }
        }
        steps
    }

    /// Takes an engine's report; nothing where it couldn't be read.
    pub fn apply_report(
        &mut self,
        endpoint: &EndpointInstance,
        report: Option<&EngineReport>,
        now: TimeUs,
    ) {
        let Some(active) = self.active.get_mut(endpoint) else {
            return;
        };
        let Some(report) = report else {
            match active.loading_version(now) {
                Some(_) => active.phase = Phase::ReportDueAt(now + RETRY_BACKOFF_US),
                None => self.back_off(endpoint, now),
            }
            return;
        };
        let current = report
            .weights
            .get(&active.model)
            .copied()
            .unwrap_or_default();
        if current >= active.wanted {
            self.concurrency
                .record_turnaround(now.since(active.started_at_us));
            self.active.remove(endpoint);
            return;
        }
        // Another version may have been named since the order: once it is carried out, the next
        // one can follow, unless engines with still older weights wait. Their time runs out first.
        let has_loaded = active
            .accepted
            .is_some_and(|(ordered, _)| current >= ordered);
        if has_loaded && self.oldest_waiting.is_some_and(|oldest| oldest < current) {
            self.concurrency
                .record_turnaround(now.since(active.started_at_us));
            self.active.remove(endpoint);
            return;
        }
        let is_loading = active
            .loading_version(now)
            .is_some_and(|ordered| current < ordered);
        active.phase = match is_loading || report.is_busy {
            true => Phase::ReportDueAt(now + REPORT_INTERVAL_US),
            false => Phase::OrderAllowed(report.accepted_orders),
        };
    }

    /// Takes what became of an order.
    pub fn record_order_outcome(
        &mut self,
        endpoint: &EndpointInstance,
        outcome: &OrderOutcome,
        now: TimeUs,
    ) {
        let Some(active) = self.active.get_mut(endpoint) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => {
                active.accepted = Some((active.ordered_version, now));
                active.phase = Phase::ReportDueAt(now + REPORT_INTERVAL_US);
            }
            OrderOutcome::AlreadyDone => {
                self.active.remove(endpoint);
            }
            OrderOutcome::NotSent(_) | OrderOutcome::Refused(_) => self.back_off(endpoint, now),
            // The same number goes with the next order, so that only one of the two is carried
            // out, whichever the engine sees first.
            _ => active.phase = Phase::ReportDueAt(now + RETRY_BACKOFF_US),
        }
    }

    /// Notes that an order wasn't given, since the lease doesn't allow it now.
    pub fn record_withheld_order(&mut self, endpoint: &EndpointInstance, now: TimeUs) {
        if let Some(active) = self.active.get_mut(endpoint) {
            active.phase = Phase::ReportDueAt(now + RETRY_BACKOFF_US);
        }
    }

    /// Gives the place of an engine that can't be reached to another one for a while.
    ///
    /// Few engines are out at once. Kept by those that are gone, the places leave the living ones on
    /// weights that go out of use; one would notice by calls that all engines refuse, seconds after new
    /// weights were named.
    fn back_off(&mut self, endpoint: &EndpointInstance, now: TimeUs) {
        self.active.remove(endpoint);
        self.backed_off
            .insert(endpoint.clone(), now + UNREACHABLE_BACKOFF_US);
    }

    fn drop_finished(&mut self, behind: &[RolloutRow]) {
        self.active.retain(|endpoint, active| {
            let row = behind.iter().find(|row| row.endpoint == *endpoint);
            if let Some(row) = row {
                active.wanted = row.wanted;
            }
            row.is_some()
        });
    }

    /// Takes the engines with the oldest weights first, and of those the ones with the least work:
    /// they are empty soonest.
    fn start_next(&mut self, behind: &[RolloutRow], engines: usize, now: TimeUs) {
        let max_parallel = self.concurrency.max_parallel(engines);
        self.backed_off.retain(|_, until| *until > now);
        let is_free = |row: &&RolloutRow| {
            !self.active.contains_key(&row.endpoint) && !self.backed_off.contains_key(&row.endpoint)
        };
        let mut waiting: Vec<&RolloutRow> = behind.iter().filter(is_free).collect();
        waiting.sort_by_key(|row| (row.current, row.running));
        let announce_delay_us = match engines > LARGE_FLEET_ENGINES {
            true => LARGE_FLEET_ANNOUNCE_DELAY_US,
            false => ANNOUNCE_DELAY_US,
        };
        let free = max_parallel.saturating_sub(self.active.len());
        self.oldest_waiting = waiting.get(free).map(|row| row.current);
        for row in waiting.into_iter().take(free) {
            let active = ActiveEngine {
                model: row.model.clone(),
                wanted: row.wanted,
                phase: Phase::ReportDueAt(now + announce_delay_us),
                started_at_us: now,
                ordered_version: row.wanted,
                accepted: None,
            };
            self.active.insert(row.endpoint.clone(), active);
        }
    }
}

fn remaining(behind: &[RolloutRow], engines: usize) -> Option<Remaining> {
    let replaced_at_us = behind.iter().map(|row| row.replaced_at_us).min()?;
    Some(Remaining {
        behind: behind.len(),
        engines,
        replaced_at_us,
    })
}
