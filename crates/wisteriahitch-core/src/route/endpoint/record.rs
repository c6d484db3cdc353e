//! One row of the endpoint table.

use std::net::SocketAddr;

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};
use wisteriahitch_config::{Endpoint, ServiceKind};
use wisteriahitch_types::{
    AdapterName, AvailabilityZone, DurationUs, EndpointId, ModelName, ServiceName, TimeUs,
    TokenCount,
};

use super::{
    EndpointLoad, EndpointOptions, Freshness, HeldReport, LeavingClaims, LeavingSource, Life,
    LifeEvent, LifeState, Membership, Outlier, PastLives, PoolKey, SentLoad, Standing,
};

/// Part of a new sample in the moving mean of the time that a request takes.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// How far the difference of two clocks may drift from one report to the next.
const CLOCK_DRIFT_US: i64 = 50;

/// Holds what is known of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) id: EndpointId,
    pub(crate) service: ServiceName,
    pub(crate) kind: ServiceKind,
    pub(crate) address: SocketAddr,
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) checks_fence: bool,
    pub(crate) report: Option<HeldReport>,
    pub(crate) leaving: LeavingClaims,
    pub(crate) outlier: Outlier,
    pub(crate) sent: SentLoad,
    /// Attempts of this daemon that have not ended.
    pub(crate) in_flight: u64,
    /// Counts the lives that this row has held, so that a late end of an earlier one is told apart.
    pub(crate) life_number: u64,
    pub(crate) membership: Membership,
    life: InitializedStateMachine<Life>,
    past_lives: PastLives,
    service_time_us: Option<f64>,
    clock_offset_us: Option<i64>,
}

impl EndpointRecord {
    /// Builds a row for a configured endpoint.
    pub(crate) fn new(
        service: ServiceName,
        kind: ServiceKind,
        endpoint: &Endpoint,
        life_number: u64,
    ) -> Self {
        Self {
            id: endpoint.id.clone(),
            service,
            kind,
            address: endpoint.address,
            availability_zone: endpoint.availability_zone.clone(),
            checks_fence: endpoint.checks_fence,
            report: None,
            leaving: LeavingClaims::default(),
            outlier: Outlier::default(),
            sent: SentLoad::default(),
            in_flight: 0,
            life_number,
            membership: Membership::default(),
            life: Life.uninitialized_state_machine().init(),
            past_lives: PastLives::default(),
            service_time_us: None,
            clock_offset_us: None,
        }
    }

    /// Returns the step of life.
    pub(crate) fn state(&self) -> LifeState {
        self.life.state().into()
    }

    /// Lets an event change the life.
    pub(crate) fn handle(&mut self, event: LifeEvent) {
        self.life.handle(&event);
    }

    /// Takes a report over and changes the life accordingly; a late one changes nothing.
    pub(crate) fn accept(&mut self, load: EndpointLoad, options: &EndpointOptions, now: TimeUs) {
        let held = self.report.as_ref();
        match self
            .past_lives
            .judge(held, &load, self.leaving.is_leaving, now)
        {
            Freshness::Late => return,
            Freshness::SameLife => {}
            Freshness::ClockSetBack => self.clock_offset_us = None,
            Freshness::NewLife => self.begin_life(),
        }
        let made_at = self.made_at(&load, options, now);
        self.sent.forget_before(made_at);
        let is_leaving = load.leaving;
        self.report = Some(HeldReport {
            load,
            received_at_us: now,
        });
        self.handle(LifeEvent::Reported);
        if is_leaving {
            self.leaving.claim(&LeavingSource::OwnReport);
            self.handle(LifeEvent::Left);
        }
    }

    fn begin_life(&mut self) {
        let held = self.report.take();
        if let Some(life) = held.and_then(|held| held.load.life) {
            self.past_lives.push(life);
        }
        self.life_number += 1;
        self.in_flight = 0;
        self.sent.clear();
        self.outlier = Outlier::default();
        self.service_time_us = None;
        self.clock_offset_us = None;
        self.leaving.reborn();
        self.handle(LifeEvent::Reborn);
    }

    /// Returns when a report was made, on this process's clock.
    ///
    /// The smallest difference seen between arrival and the endpoint's own time stands for the
    /// difference of the clocks; what a report exceeds it by is its lag.
    fn made_at(&mut self, load: &EndpointLoad, options: &EndpointOptions, now: TimeUs) -> TimeUs {
        let now_us = i64::try_from(now.get()).unwrap_or(i64::MAX);
        let made_us = i64::try_from(load.made_at_ms.saturating_mul(1_000)).unwrap_or(i64::MAX);
        let seen = now_us.saturating_sub(made_us);
        let offset = match self.clock_offset_us {
            Some(offset) => seen.min(offset.saturating_add(CLOCK_DRIFT_US)),
            None => seen,
        };
        self.clock_offset_us = Some(offset);
        let made_here_us = made_us.saturating_add(offset).max(0).unsigned_abs();
        TimeUs::new(made_here_us.saturating_sub(options.least_lag_us.get()))
    }

    /// Records how long a request held its slot.
    pub(crate) fn took(&mut self, span: DurationUs) {
        let sample = span.as_f64();
        self.service_time_us = Some(match self.service_time_us {
            Some(mean) => mean + SERVICE_TIME_WEIGHT * (sample - mean),
            None => sample,
        });
    }

    /// Returns requests that run or wait, with this daemon's changes since the report.
    pub(crate) fn requests(&self) -> u64 {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |held| held.load.running + held.load.queued);
        self.sent.correct_requests(reported)
    }

    /// Returns prompt tokens that wait, with this daemon's changes since the report.
    pub(crate) fn queued_tokens(&self) -> TokenCount {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |held| held.load.queued_tokens.get());
        TokenCount::new(self.sent.correct_tokens(reported))
    }

    /// Returns requests that can run at once, at least one.
    pub(crate) fn slots(&self) -> u64 {
        let reported = self.report.as_ref().map_or(1, |held| held.load.batch_slots);
        reported.max(1)
    }

    /// Returns requests over slots, both as known here.
    pub(crate) fn utilisation(&self) -> f64 {
        self.requests() as f64 / self.slots() as f64
    }

    /// Returns how long `tokens` take to be read.
    pub(crate) fn prefill_time(&self, tokens: TokenCount, options: &EndpointOptions) -> DurationUs {
        let reported = self
            .report
            .as_ref()
            .map(|held| held.load.prefill_tokens_per_s);
        let rate = reported.filter(|rate| rate.get() > 0);
        let rate = rate.unwrap_or(options.default_prefill_tokens_per_s);
        rate.time_for(tokens)
    }

    /// Estimates the wait before a new request is begun: for a slot, then for the prompts ahead.
    pub(crate) fn queue_time(&self, options: &EndpointOptions) -> DurationUs {
        let slots = self.slots();
        let waiting = (self.requests() + 1).saturating_sub(slots);
        let service_time_us = self
            .service_time_us
            .unwrap_or(options.default_service_us.as_f64());
        let for_slot_us = waiting as f64 * service_time_us / slots as f64;
        DurationUs::new(for_slot_us as u64) + self.prefill_time(self.queued_tokens(), options)
    }

    /// Returns whether the adapter is loaded for the model.
    pub(crate) fn has_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let Some(held) = &self.report else {
            return false;
        };
        let mut models = held.load.models.iter();
        models.any(|loaded| loaded.model == *model && loaded.adapters.contains(adapter))
    }

    /// Works out the pools that the row belongs to now.
    pub(crate) fn wanted_membership(&self) -> Membership {
        let standing = match self.state() {
            LifeState::Ready => Standing::Ready,
            LifeState::Suspect => Standing::LastResort,
            _ => Standing::Out,
        };
        let keys = match standing {
            Standing::Out => Vec::new(),
            _ => self.pool_keys(),
        };
        Membership { keys, standing }
    }

    fn pool_keys(&self) -> Vec<PoolKey> {
        let service = &self.service;
        if self.kind == ServiceKind::Plain {
            return vec![PoolKey {
                service: service.clone(),
                model: None,
            }];
        }
        let models = self.report.iter().flat_map(|held| &held.load.models);
        let ready = models.filter(|loaded| loaded.is_ready);
        let mut keys: Vec<PoolKey> = Vec::new();
        for loaded in ready {
            let key = PoolKey {
                service: service.clone(),
                model: Some((loaded.model.clone(), loaded.weight_version.clone())),
            };
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
        keys
    }
}
