//! Brings engines to wanted weights, a few at a time.
//!
//! The daemon that holds the lease runs it. An engine is first announced to the other daemons, so
//! that they send it nothing; then it gets the order, finishes what it runs and loads.

use std::collections::BTreeMap;

use wisteriahitch_types::{DurationUs, EndpointInstance, ModelName, TimeUs, WeightNumber};

use super::rollout_pace::{Overrun, PaceOptions, Remaining, RolloutPace};
use crate::border::{EngineReport, OrderOutcome};

/// Time between an announcement and the order in a small fleet: the other daemons' next messages.
/// Requests that cross an order are refused by the engine.
const ANNOUNCE_US: DurationUs = DurationUs::from_ms(150);
/// The same in a large fleet, where news takes three steps.
const LARGE_ANNOUNCE_US: DurationUs = DurationUs::from_ms(600);
/// Engines above which a fleet counts as large here.
const LARGE_FLEET: usize = 30;
/// Time between two reports of an engine that loads. Reports lag by some hundred milliseconds.
const REPORT_US: DurationUs = DurationUs::from_ms(200);
/// Time after which an order that was accepted and shows no effect is given again.
const LOAD_TIMEOUT_US: DurationUs = DurationUs::from_ms(4_000);
/// Pause after a failure.
const PAUSE_US: DurationUs = DurationUs::from_ms(300);
/// Time for which an engine that couldn't be reached lets others go first. Engines that crash are back
/// in one or two seconds, mostly under another name; the registration of one that isn't lapses after
/// three to four.
const REST_US: DurationUs = DurationUs::from_ms(1_000);

/// One engine as the rollout sees it.
#[derive(Clone, Debug)]
pub struct RolloutRow {
    /// Endpoint. Orders that were given to one life say nothing of the next.
    pub endpoint: EndpointInstance,
    /// Model.
    pub model: ModelName,
    /// Weights that it has.
    pub has: WeightNumber,
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
    /// Read an engine's report, and tell [`Rollout::reported`].
    Report(EndpointInstance),
    /// Give an order, if the lease allows it now, and tell [`Rollout::ordered`].
    Order {
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
    AskAt(TimeUs),
    Asking,
    /// The order may be given; the engine has accepted so many.
    MayOrder(u64),
    Ordering,
}

#[derive(Clone, Debug)]
struct Active {
    model: ModelName,
    wanted: WeightNumber,
    /// Version of the order that was given last.
    ordering: WeightNumber,
    phase: Phase,
    /// When it was taken out.
    taken_at_us: TimeUs,
    /// The order that the engine accepted last, and when.
    accepted: Option<(WeightNumber, TimeUs)>,
}

impl Active {
    /// Returns the version that it has accepted and may still be loading.
    fn loads(&self, now: TimeUs) -> Option<WeightNumber> {
        let accepted = self.accepted;
        let accepted = accepted.filter(|(_, at)| now.since(*at) < LOAD_TIMEOUT_US);
        accepted.map(|(version, _)| version)
    }
}

/// Follows the engines that are being brought to wanted weights.
#[derive(Clone, Debug)]
pub struct Rollout {
    pace: RolloutPace,
    active: BTreeMap<EndpointInstance, Active>,
    /// Oldest weights of the engines that wait for their turn.
    oldest_waiting: Option<WeightNumber>,
    /// Engines that couldn't be reached, and until when others go first.
    resting: BTreeMap<EndpointInstance, TimeUs>,
}

impl Rollout {
    /// Starts without any.
    pub fn new(options: PaceOptions) -> Self {
        Self {
            pace: RolloutPace::new(options),
            active: BTreeMap::new(),
            oldest_waiting: None,
            resting: BTreeMap::new(),
        }
    }

    /// Returns the engines that take no requests because of it.
    pub fn reserved(&self) -> impl Iterator<Item = &EndpointInstance> {
        self.active.keys()
    }

    /// Returns what keeps the rollout from ending in time; nothing where it is expected to.
    pub fn overrun(&self, behind: &[RolloutRow], engines: usize, now: TimeUs) -> Option<Overrun> {
        self.pace.overrun(remaining(behind, engines)?, now)
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
        self.take_next(behind, engines, now);
        let mut steps = Vec::new();
        for (endpoint, active) in &mut self.active {
            match active.phase {
                Phase::AskAt(at) if at <= now => {
                    active.phase = Phase::Asking;
                    steps.push(RolloutStep::Report(endpoint.clone()));
                }
                Phase::MayOrder(expected_orders) => {
                    active.phase = Phase::Ordering;
                    active.ordering = active.wanted;
                    steps.push(RolloutStep::Order {
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
    pub fn reported(
        &mut self,
        endpoint: &EndpointInstance,
        report: Option<&EngineReport>,
        now: TimeUs,
    ) {
        let Some(active) = self.active.get_mut(endpoint) else {
            return;
        };
        let Some(report) = report else {
            match active.loads(now) {
                Some(_) => active.phase = Phase::AskAt(now + PAUSE_US),
                None => self.back_off(endpoint, now),
            }
            return;
        };
        let has = report
            .weights
            .get(&active.model)
            .copied()
            .unwrap_or_default();
        if has >= active.wanted {
            self.pace.returned(now.since(active.taken_at_us));
            self.active.remove(endpoint);
            return;
        }
        // Another version may have been named since the order: once it is carried out, the next
        // one can follow, unless engines with still older weights wait. Their time runs out first.
        let has_loaded = active.accepted.is_some_and(|(ordered, _)| has >= ordered);
        if has_loaded && self.oldest_waiting.is_some_and(|oldest| oldest < has) {
            self.pace.returned(now.since(active.taken_at_us));
            self.active.remove(endpoint);
            return;
        }
        let is_loading = active.loads(now).is_some_and(|ordered| has < ordered);
        active.phase = match is_loading || report.is_busy {
            true => Phase::AskAt(now + REPORT_US),
            false => Phase::MayOrder(report.accepted_orders),
        };
    }

    /// Takes what became of an order.
    pub fn ordered(&mut self, endpoint: &EndpointInstance, outcome: &OrderOutcome, now: TimeUs) {
        let Some(active) = self.active.get_mut(endpoint) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => {
                active.accepted = Some((active.ordering, now));
                active.phase = Phase::AskAt(now + REPORT_US);
            }
            OrderOutcome::AlreadyDone => {
                self.active.remove(endpoint);
            }
            OrderOutcome::NotSent(_) | OrderOutcome::Refused(_) => self.back_off(endpoint, now),
            // The same number goes with the next order, so that only one of the two is carried
            // out, whichever the engine sees first.
            _ => active.phase = Phase::AskAt(now + PAUSE_US),
        }
    }

    /// Notes that an order wasn't given, since the lease doesn't allow it now.
    pub fn withheld(&mut self, endpoint: &EndpointInstance, now: TimeUs) {
        if let Some(active) = self.active.get_mut(endpoint) {
            active.phase = Phase::AskAt(now + PAUSE_US);
        }
    }

    /// Gives the place of an engine that can't be reached to another one for a while.
    ///
    /// Few engines are out at once. Kept by those that are gone, the places leave the living ones on
    /// weights that go out of use; one would notice by calls that all engines refuse, seconds after new
    /// weights were named.
    fn back_off(&mut self, endpoint: &EndpointInstance, now: TimeUs) {
        self.active.remove(endpoint);
        self.resting.insert(endpoint.clone(), now + REST_US);
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
    fn take_next(&mut self, behind: &[RolloutRow], engines: usize, now: TimeUs) {
        let parallel = self.pace.parallel(engines);
        self.resting.retain(|_, until| *until > now);
        let is_free = |row: &&RolloutRow| {
            !self.active.contains_key(&row.endpoint) && !self.resting.contains_key(&row.endpoint)
        };
        let mut waiting: Vec<&RolloutRow> = behind.iter().filter(is_free).collect();
        waiting.sort_by_key(|row| (row.has, row.running));
        let announce_us = match engines > LARGE_FLEET {
            true => LARGE_ANNOUNCE_US,
            false => ANNOUNCE_US,
        };
        let free = parallel.saturating_sub(self.active.len());
        self.oldest_waiting = waiting.get(free).map(|row| row.has);
        for row in waiting.into_iter().take(free) {
            let active = Active {
                model: row.model.clone(),
                wanted: row.wanted,
                phase: Phase::AskAt(now + announce_us),
                taken_at_us: now,
                ordering: row.wanted,
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
