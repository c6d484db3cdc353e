//! One row of the endpoint table.

use std::net::SocketAddr;

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};
use wisteriahitch_config::{Endpoint, ServiceKind};
use wisteriahitch_types::{
    AdapterName, AvailabilityZone, DurationUs, EndpointId, ModelName, ServiceName, TimeUs,
    TokenCount,
};

use super::{
    EndpointLoad, EndpointOptions, EndpointState, EndpointStateEvent, EndpointStateMachine,
    Freshness, LeavingClaims, LeavingSource, OutlierCounters, PoolKey, PoolMembership,
    PoolMembershipState, PreviousInstances, ReceivedReport, SentLoad,
};

/// Part of a new sample in the moving mean of the time that a request takes.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;
/// How far the difference of two clocks may drift from one report to the next.
const MAX_CLOCK_DRIFT_US: i64 = 50;

/// Holds what is known of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) id: EndpointId,
    pub(crate) service: ServiceName,
    pub(crate) kind: ServiceKind,
    pub(crate) address: SocketAddr,
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) checks_fence: bool,
    pub(crate) report: Option<ReceivedReport>,
    pub(crate) leaving: LeavingClaims,
    pub(crate) outlier: OutlierCounters,
    pub(crate) sent_load: SentLoad,
    /// Attempts of this daemon that have not ended.
    pub(crate) in_flight: u64,
    /// Counts the lives that this row has held, so that a late end of an earlier one is told apart.
    pub(crate) instance_number: u64,
    pub(crate) membership: PoolMembership,
    state_machine: InitializedStateMachine<EndpointStateMachine>,
    previous_instances: PreviousInstances,
    mean_service_time_us: Option<f64>,
    clock_offset_us: Option<i64>,
}

impl EndpointRecord {
    /// Builds a row for a configured endpoint.
    pub(crate) fn new(
        service: ServiceName,
        kind: ServiceKind,
        endpoint: &Endpoint,
        instance_number: u64,
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
            outlier: OutlierCounters::default(),
            sent_load: SentLoad::default(),
            in_flight: 0,
            instance_number,
            membership: PoolMembership::default(),
            state_machine: EndpointStateMachine.uninitialized_state_machine().init(),
            previous_instances: PreviousInstances::default(),
            mean_service_time_us: None,
            clock_offset_us: None,
        }
    }

    /// Returns the step of life.
    pub(crate) fn state(&self) -> EndpointState {
        self.state_machine.state().into()
    }

    /// Lets an event change the life.
    pub(crate) fn handle(&mut self, event: EndpointStateEvent) {
        self.state_machine.handle(&event);
    }

    /// Takes a report over and changes the life accordingly; a late one changes nothing.
    pub(crate) fn apply_report(
        &mut self,
        load: EndpointLoad,
        options: &EndpointOptions,
        now: TimeUs,
    ) {
        let received = self.report.as_ref();
        match self
            .previous_instances
            .classify_report(received, &load, self.leaving.is_leaving, now)
        {
            Freshness::Stale => return,
            Freshness::SameInstance => {}
            Freshness::ClockSetBack => self.clock_offset_us = None,
            Freshness::NewInstance => self.begin_instance(),
        }
        let made_at = self.estimate_made_at(&load, options, now);
        self.sent_load.drop_before(made_at);
        let is_leaving = load.leaving;
        self.report = Some(ReceivedReport {
            load,
            received_at_us: now,
        });
        self.handle(EndpointStateEvent::Reported);
        if is_leaving {
            self.leaving.claim(&LeavingSource::OwnReport);
            self.handle(EndpointStateEvent::LeavingAnnounced);
        }
    }

    fn begin_instance(&mut self) {
        let received = self.report.take();
        if let Some(instance) = received.and_then(|received| received.load.life) {
            self.previous_instances.push(instance);
        }
        self.instance_number += 1;
        self.in_flight = 0;
        self.sent_load.clear();
        self.outlier = OutlierCounters::default();
        self.mean_service_time_us = None;
        self.clock_offset_us = None;
        self.leaving.record_restart();
        self.handle(EndpointStateEvent::Restarted);
    }

    /// Returns when a report was made, on this process's clock.
    ///
    /// The smallest difference seen between arrival and the endpoint's own time stands for the
    /// difference of the clocks; what a report exceeds it by is its lag.
    fn estimate_made_at(
        &mut self,
        load: &EndpointLoad,
        options: &EndpointOptions,
        now: TimeUs,
    ) -> TimeUs {
        let now_us = i64::try_from(now.get()).unwrap_or(i64::MAX);
        let remote_made_us =
            i64::try_from(load.made_at_ms.saturating_mul(1_000)).unwrap_or(i64::MAX);
        let observed_offset = now_us.saturating_sub(remote_made_us);
        let offset = match self.clock_offset_us {
            Some(offset) => observed_offset.min(offset.saturating_add(MAX_CLOCK_DRIFT_US)),
            None => observed_offset,
        };
        self.clock_offset_us = Some(offset);
        let local_made_us = remote_made_us.saturating_add(offset).max(0).unsigned_abs();
        TimeUs::new(local_made_us.saturating_sub(options.min_report_lag_us.get()))
    }

    /// Records how long a request held its slot.
    pub(crate) fn record_service_time(&mut self, service_time: DurationUs) {
        let sample = service_time.as_f64();
        self.mean_service_time_us = Some(match self.mean_service_time_us {
            Some(mean) => mean + SERVICE_TIME_SMOOTHING * (sample - mean),
            None => sample,
        });
    }

    /// Returns requests that run or wait, with this daemon's changes since the report.
    pub(crate) fn estimated_requests(&self) -> u64 {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |received| received.load.running + received.load.queued);
        self.sent_load.correct_requests(reported)
    }

    /// Returns prompt tokens that wait, with this daemon's changes since the report.
    pub(crate) fn estimated_queued_tokens(&self) -> TokenCount {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |received| received.load.queued_tokens.get());
        TokenCount::new(self.sent_load.correct_tokens(reported))
    }

    /// Returns requests that can run at once, at least one.
    pub(crate) fn batch_slots(&self) -> u64 {
        let reported = self
            .report
            .as_ref()
            .map_or(1, |received| received.load.batch_slots);
        reported.max(1)
    }

    /// Returns requests over slots, both as known here.
    pub(crate) fn utilisation(&self) -> f64 {
        self.estimated_requests() as f64 / self.batch_slots() as f64
    }

    /// Returns how long `tokens` take to be read.
    pub(crate) fn prefill_time(&self, tokens: TokenCount, options: &EndpointOptions) -> DurationUs {
        let reported = self
            .report
            .as_ref()
            .map(|received| received.load.prefill_tokens_per_s);
        let rate = reported.filter(|rate| rate.get() > 0);
        let rate = rate.unwrap_or(options.default_prefill_tokens_per_s);
        rate.time_for(tokens)
    }

    /// Estimates the wait before a new request is begun: for a slot, then for the prompts ahead.
    pub(crate) fn queue_time(&self, options: &EndpointOptions) -> DurationUs {
        let slots = self.batch_slots();
        let waiting = (self.estimated_requests() + 1).saturating_sub(slots);
        let mean_service_time_us = self
            .mean_service_time_us
            .unwrap_or(options.default_service_time_us.as_f64());
        let slot_wait_us = waiting as f64 * mean_service_time_us / slots as f64;
        DurationUs::new(slot_wait_us as u64)
            + self.prefill_time(self.estimated_queued_tokens(), options)
    }

    /// Returns whether the adapter is loaded for the model.
    pub(crate) fn has_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let Some(received) = &self.report else {
            return false;
        };
        let mut models = received.load.models.iter();
        models.any(|loaded| loaded.model == *model && loaded.adapters.contains(adapter))
    }

    /// Works out the pools that the row belongs to now.
    pub(crate) fn compute_membership(&self) -> PoolMembership {
        let state = match self.state() {
            EndpointState::Ready => PoolMembershipState::Ready,
            EndpointState::Suspect => PoolMembershipState::LastResort,
            _ => PoolMembershipState::Excluded,
        };
        let keys = match state {
            PoolMembershipState::Excluded => Vec::new(),
            _ => self.pool_keys(),
        };
        PoolMembership { keys, state }
    }

    fn pool_keys(&self) -> Vec<PoolKey> {
        let service = &self.service;
        if self.kind == ServiceKind::Plain {
            return vec![PoolKey {
                service: service.clone(),
                model: None,
            }];
        }
        let models = self
            .report
            .iter()
            .flat_map(|received| &received.load.models);
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
