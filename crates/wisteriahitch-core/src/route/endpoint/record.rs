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

/// Weight of a new sample in the moving mean of the service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;
/// Maximum drift of the clock offset from one report to the next, in microseconds.
const MAX_CLOCK_DRIFT_US: i64 = 50;

/// Everything known about one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) id: EndpointId,
    pub(crate) service: ServiceName,
    pub(crate) kind: ServiceKind,
    pub(crate) address: SocketAddr,
    pub(crate) availability_zone: AvailabilityZone,
    /// Whether the endpoint checks the fence of a request, as configured.
    pub(crate) checks_fence: bool,
    /// Last report that was accepted from the current instance.
    pub(crate) report: Option<ReceivedReport>,
    pub(crate) leaving: LeavingClaims,
    pub(crate) outlier: OutlierCounters,
    /// Load that this daemon added or removed since the last report was made.
    pub(crate) sent_load: SentLoad,
    /// Number of this daemon's unfinished attempts.
    pub(crate) in_flight: u64,
    /// Number of the instance that the row holds; outcomes of attempts at earlier ones are ignored.
    pub(crate) instance_number: u64,
    /// Pools that the row is in; kept equal to [`Self::compute_membership`].
    pub(crate) membership: PoolMembership,
    state_machine: InitializedStateMachine<EndpointStateMachine>,
    previous_instances: PreviousInstances,
    /// Moving mean of the time that a request holds its slot, without the expected wait.
    mean_service_time_us: Option<f64>,
    /// Smallest observed difference between this process's clock and the endpoint's.
    clock_offset_us: Option<i64>,
}

impl EndpointRecord {
    /// Creates a row for a configured endpoint.
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

    /// Returns the state of the endpoint.
    pub(crate) fn state(&self) -> EndpointState {
        self.state_machine.state().into()
    }

    /// Applies an event to the state machine.
    pub(crate) fn handle(&mut self, event: EndpointStateEvent) {
        self.state_machine.handle(&event);
    }

    /// Applies a report and the state changes that follow from it; a stale one changes nothing.
    pub(crate) fn apply_report(
        &mut self,
        load: EndpointLoad,
        options: &EndpointOptions,
        now: TimeUs,
    ) {
        let last_report = self.report.as_ref();
        match self.previous_instances.classify_report(
            last_report,
            &load,
            self.leaving.is_leaving,
            now,
        ) {
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
        let last_report = self.report.take();
        if let Some(instance) = last_report.and_then(|report| report.load.life) {
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

    /// Estimates when a report was made, on this process's clock.
    ///
    /// The smallest difference observed between the arrival time and the endpoint's own time is
    /// taken as the offset of the clocks; a larger difference is the lag of a report.
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

    /// Returns the running and queued requests: the report plus this daemon's changes since it.
    pub(crate) fn estimated_requests(&self) -> u64 {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |report| report.load.running + report.load.queued);
        self.sent_load.correct_requests(reported)
    }

    /// Returns the queued prompt tokens: the report plus this daemon's changes since it.
    pub(crate) fn estimated_queued_tokens(&self) -> TokenCount {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |report| report.load.queued_tokens.get());
        TokenCount::new(self.sent_load.correct_tokens(reported))
    }

    /// Returns the number of requests that can run at once, at least one.
    pub(crate) fn batch_slots(&self) -> u64 {
        let reported = self
            .report
            .as_ref()
            .map_or(1, |report| report.load.batch_slots);
        reported.max(1)
    }

    /// Returns the estimated requests divided by the batch slots.
    pub(crate) fn utilisation(&self) -> f64 {
        self.estimated_requests() as f64 / self.batch_slots() as f64
    }

    /// Returns the time to compute `tokens` prompt tokens.
    pub(crate) fn prefill_time(&self, tokens: TokenCount, options: &EndpointOptions) -> DurationUs {
        let reported = self
            .report
            .as_ref()
            .map(|report| report.load.prefill_tokens_per_s);
        let rate = reported.filter(|rate| rate.get() > 0);
        let rate = rate.unwrap_or(options.default_prefill_tokens_per_s);
        rate.time_for(tokens)
    }

    /// Estimates the wait of a new request: for a batch slot, then for the prompts queued ahead.
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
        let Some(report) = &self.report else {
            return false;
        };
        let mut models = report.load.models.iter();
        models.any(|loaded| loaded.model == *model && loaded.adapters.contains(adapter))
    }

    /// Computes the pools that the row belongs to now.
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
        let models = self.report.iter().flat_map(|report| &report.load.models);
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
