//! What came of a simulated load.

use std::fmt;

/// What came of one kind of calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindOutcome {
    /// Name.
    pub name: String,
    /// Calls; one that comes back after a refusal counts once.
    pub calls: u64,
    /// Calls whose first event came within their target.
    pub in_time: u64,
    /// Calls whose first event came later.
    pub late: u64,
    /// Calls that were refused in the end.
    pub refused: u64,
    /// Calls that an engine was lost with, or that were still waiting at the end.
    pub failed: u64,
    /// First events in milliseconds, in their order of coming.
    pub first_event_ms: Vec<f64>,
}

impl KindOutcome {
    /// Returns the share of the calls that were in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.calls.max(1) as f64
    }

    /// Returns the time that this share of the first events took at most, in milliseconds.
    pub fn first_event_quantile_ms(&self, share: f64) -> f64 {
        let mut sorted = self.first_event_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * share) as usize;
        sorted
            .get(index.min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    }
}

/// Two seconds of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    /// Calls that arrived.
    pub calls: u64,
    /// Those of them that were in time.
    pub in_time: u64,
}

/// What came of a load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// By kind, in the plan's order.
    pub kinds: Vec<KindOutcome>,
    /// By two seconds.
    pub windows: Vec<Window>,
    /// Prompt tokens that were read.
    pub read_tokens: u64,
    /// Those of them that belong to shared parts which some engine had read before.
    pub reread_tokens: u64,
    /// Messages that daemons sent, each to all others.
    pub messages: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16}{:>8}{:>9}{:>7}{:>9}{:>8}{:>9}{:>9}",
            "kind", "asked", "in time", "late", "refused", "failed", "p50 ms", "p99 ms"
        )?;
        for kind in &self.kinds {
            writeln!(
                f,
                "{:<16}{:>8}{:>9}{:>7}{:>9}{:>8}{:>9.0}{:>9.0}",
                kind.name,
                kind.calls,
                kind.in_time,
                kind.late,
                kind.refused,
                kind.failed,
                kind.first_event_quantile_ms(0.5),
                kind.first_event_quantile_ms(0.99)
            )?;
        }
        writeln!(f, "in time by two seconds:")?;
        for window in &self.windows {
            let share = window.in_time as f64 / window.calls.max(1) as f64;
            write!(f, " {share:.2}")?;
        }
        write!(
            f,
            "\nread {} tokens, {} of shared parts again; {} messages",
            self.read_tokens, self.reread_tokens, self.messages
        )
    }
}
