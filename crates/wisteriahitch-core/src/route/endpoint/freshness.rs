//! Detection of stale reports and of endpoint restarts.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::EndpointLoad;

/// A report made up to this long before the last one is stale.
///
/// One made earlier still means that the clock was set back, or started anew with a new instance.
const STALE_REPORT_WINDOW_MS: u64 = 10_000;
/// Time without reports after which a leaving endpoint that reports no instance has restarted.
const RESTART_SILENCE_US: DurationUs = DurationUs::from_ms(10_000);
/// Maximum number of previous instances that are remembered per endpoint.
const MAX_PREVIOUS_INSTANCES: usize = 4;

/// The last report of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedReport {
    /// The reported load.
    pub(crate) load: EndpointLoad,
    /// When it arrived, on this process's clock.
    pub(crate) received_at_us: TimeUs,
}

/// How a report relates to the last one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Freshness {
    /// It is older than the last one.
    Stale,
    /// It is newer and of the same instance.
    SameInstance,
    /// It is newer and of the same instance, whose clock was set back.
    ClockSetBack,
    /// It is of an instance that started since.
    NewInstance,
}

/// The most recent instances that have ended, the oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreviousInstances(Vec<String>);

impl PreviousInstances {
    /// Adds an instance that has ended.
    pub(crate) fn push(&mut self, instance: String) {
        if self.0.len() >= MAX_PREVIOUS_INSTANCES {
            self.0.remove(0);
        }
        self.0.push(instance);
    }

    /// Classifies a report by comparing it with the last one.
    ///
    /// A stale report taken for a new instance would make a leaving endpoint ready again, and
    /// requests would be cut off. Ended instances are therefore remembered, and reports without an
    /// instance must be far apart in time to count as two instances.
    pub(crate) fn classify_report(
        &self,
        last_report: Option<&ReceivedReport>,
        load: &EndpointLoad,
        is_leaving: bool,
        now: TimeUs,
    ) -> Freshness {
        let Some(last_report) = last_report else {
            return Freshness::SameInstance;
        };
        let set_back_ms = last_report.load.made_at_ms.saturating_sub(load.made_at_ms);
        match (&last_report.load.life, &load.life) {
            (_, Some(new)) if self.0.contains(new) => Freshness::Stale,
            (Some(old), Some(new)) if old != new => Freshness::NewInstance,
            _ if (1..=STALE_REPORT_WINDOW_MS).contains(&set_back_ms) => Freshness::Stale,
            (Some(_), Some(_)) if set_back_ms > 0 => Freshness::ClockSetBack,
            (Some(_), Some(_)) => Freshness::SameInstance,
            _ if set_back_ms > 0 => Freshness::NewInstance,
            _ => {
                let silence = now.since(last_report.received_at_us);
                match is_leaving && silence >= RESTART_SILENCE_US {
                    true => Freshness::NewInstance,
                    false => Freshness::SameInstance,
                }
            }
        }
    }
}
