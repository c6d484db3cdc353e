//! Divides what is left of a service among workspaces.
//!
//! Load pattern: one workspace sends tenfold. If all calls of a rank were refused alike, the
//! workspaces that send as usual would lose as large a part of their calls as the one that caused it.

/// Steps in which the level is searched for; each halves the error.
const SEARCH_STEPS: u32 = 40;

/// What one workspace asks for, in milliseconds of an endpoint per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceDemand {
    /// Its work of more urgent ranks, which goes first.
    pub more_urgent: f64,
    /// Its work of the rank that is divided.
    pub asked: f64,
}

impl WorkspaceDemand {
    /// Returns what the workspace gets of the rank at a level, which holds for all of its work.
    fn at(&self, level: f64) -> f64 {
        (level - self.more_urgent).clamp(0.0, self.asked)
    }
}

/// What the workspaces of a rank ask for, in milliseconds of an endpoint per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankDemand {
    /// What all of them ask for together.
    pub total: f64,
    /// What the heaviest of them ask for, each.
    pub heavy: Vec<WorkspaceDemand>,
}

impl RankDemand {
    /// Returns how much work each workspace may cause at most, that of more urgent ranks included, so
    /// that together they get `room` of this rank: the max-min fair level. `None` if everybody gets
    /// what it asks for.
    ///
    /// Of the workspaces that aren't listed only the sum is known, and that none asks for more than
    /// the lightest one that is listed. They count as so many workspaces of that size.
    pub fn level(&self, room: f64) -> Option<f64> {
        if self.total <= room {
            return None;
        }
        let asked = self.heavy.iter().map(|workspace| workspace.asked);
        let unlisted = (self.total - asked.sum::<f64>()).max(0.0);
        let count = (unlisted / self.unlisted_size()).ceil().max(1.0);
        let each = WorkspaceDemand {
            more_urgent: 0.0,
            asked: unlisted / count,
        };
        let given = |level: f64| {
            let heavy = self.heavy.iter().map(|workspace| workspace.at(level));
            heavy.sum::<f64>() + each.at(level) * count
        };
        let all = self.heavy.iter().chain([&each]);
        let highest = all.map(|workspace| workspace.more_urgent + workspace.asked);
        let (mut low, mut high) = (0.0, highest.fold(0.0, f64::max));
        for _ in 0..SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            match given(middle) > room {
                true => high = middle,
                false => low = middle,
            }
        }
        Some(low)
    }

    /// Returns what a workspace that isn't listed asks for at most.
    pub(super) fn unlisted_size(&self) -> f64 {
        let asked = self.heavy.iter().map(|workspace| workspace.asked);
        let lightest = asked.min_by(f64::total_cmp).unwrap_or(self.total);
        lightest.max(f64::MIN_POSITIVE)
    }
}
