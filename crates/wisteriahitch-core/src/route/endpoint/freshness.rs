//! Tells a new report from a late one, and a new life from an old one.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::EndpointLoad;

/// A report made up to so much before the last one came late; one made earlier still shows a
/// clock that was set back, or that began again with a new life.
const STALE_REPORT_WINDOW_MS: u64 = 10_000;
/// A leaving endpoint that tells no life and was silent for so long has started again.
const RESTART_SILENCE_US: DurationUs = DurationUs::from_ms(10_000);
/// Lives before the present one that are remembered.
const MAX_PREVIOUS_INSTANCES: usize = 4;

/// Holds the last report of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedReport {
    /// What it said.
    pub(crate) load: EndpointLoad,
    /// When it arrived here.
    pub(crate) received_at_us: TimeUs,
}

/// Says how a report stands to the last one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Freshness {
    /// It is older than the last one.
    Stale,
    /// It is newer and of the same life.
    SameInstance,
    /// It is newer and of the same life, whose clock was set back.
    ClockSetBack,
    /// It is of a life that began since.
    NewInstance,
}

/// Remembers the lives that are over.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreviousInstances(Vec<String>);

impl PreviousInstances {
    /// Adds a life that is over.
    pub(crate) fn push(&mut self, instance: String) {
        if self.0.len() >= MAX_PREVIOUS_INSTANCES {
            self.0.remove(0);
        }
        self.0.push(instance);
    }

    /// Judges a report against the last one.
    ///
    /// A late report that was taken for a new life would put a leaving endpoint back to work,
    /// which shows as requests cut off. So a life that is over is remembered, and reports that
    /// tell no life have to be far apart before they count as two lives.
    pub(crate) fn classify_report(
        &self,
        received: Option<&ReceivedReport>,
        load: &EndpointLoad,
        is_leaving: bool,
        now: TimeUs,
    ) -> Freshness {
        let Some(received) = received else {
            return Freshness::SameInstance;
        };
        let set_back_ms = received.load.made_at_ms.saturating_sub(load.made_at_ms);
        match (&received.load.life, &load.life) {
            (_, Some(new)) if self.0.contains(new) => Freshness::Stale,
            (Some(old), Some(new)) if old != new => Freshness::NewInstance,
            _ if (1..=STALE_REPORT_WINDOW_MS).contains(&set_back_ms) => Freshness::Stale,
            (Some(_), Some(_)) if set_back_ms > 0 => Freshness::ClockSetBack,
            (Some(_), Some(_)) => Freshness::SameInstance,
            _ if set_back_ms > 0 => Freshness::NewInstance,
            _ => {
                let silence = now.since(received.received_at_us);
                match is_leaving && silence >= RESTART_SILENCE_US {
                    true => Freshness::NewInstance,
                    false => Freshness::SameInstance,
                }
            }
        }
    }
}
