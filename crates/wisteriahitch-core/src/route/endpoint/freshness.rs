//! Tells a new report from a late one, and a new life from an old one.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::EndpointLoad;

/// A report made up to so much before the last one came late; one made earlier still shows a
/// clock that was set back, or that began again with a new life.
const LATE_WINDOW_MS: u64 = 10_000;
/// A leaving endpoint that tells no life and was silent for so long has started again.
const SILENCE_OF_NEW_LIFE_US: DurationUs = DurationUs::from_ms(10_000);
/// Lives before the present one that are remembered.
const PAST_LIVES: usize = 4;

/// Holds the last report of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct HeldReport {
    /// What it said.
    pub(crate) load: EndpointLoad,
    /// When it arrived here.
    pub(crate) received_at_us: TimeUs,
}

/// Says how a report stands to the last one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Freshness {
    /// It is older than the last one.
    Late,
    /// It is newer and of the same life.
    SameLife,
    /// It is newer and of the same life, whose clock was set back.
    ClockSetBack,
    /// It is of a life that began since.
    NewLife,
}

/// Remembers the lives that are over.
#[derive(Clone, Debug, Default)]
pub(crate) struct PastLives(Vec<String>);

impl PastLives {
    /// Adds a life that is over.
    pub(crate) fn push(&mut self, life: String) {
        if self.0.len() >= PAST_LIVES {
            self.0.remove(0);
        }
        self.0.push(life);
    }

    /// Judges a report against the last one.
    ///
    /// A late report that was taken for a new life would put a leaving endpoint back to work,
    /// which shows as requests cut off. So a life that is over is remembered, and reports that
    /// tell no life have to be far apart before they count as two lives.
    pub(crate) fn judge(
        &self,
        held: Option<&HeldReport>,
        load: &EndpointLoad,
        is_leaving: bool,
        now: TimeUs,
    ) -> Freshness {
        let Some(held) = held else {
            return Freshness::SameLife;
        };
        let back_ms = held.load.made_at_ms.saturating_sub(load.made_at_ms);
        match (&held.load.life, &load.life) {
            (_, Some(new)) if self.0.contains(new) => Freshness::Late,
            (Some(old), Some(new)) if old != new => Freshness::NewLife,
            _ if (1..=LATE_WINDOW_MS).contains(&back_ms) => Freshness::Late,
            (Some(_), Some(_)) if back_ms > 0 => Freshness::ClockSetBack,
            (Some(_), Some(_)) => Freshness::SameLife,
            _ if back_ms > 0 => Freshness::NewLife,
            _ => {
                let silence = now.since(held.received_at_us);
                match is_leaving && silence >= SILENCE_OF_NEW_LIFE_US {
                    true => Freshness::NewLife,
                    false => Freshness::SameLife,
                }
            }
        }
    }
}
