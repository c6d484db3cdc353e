//! Results of a simulation.

use std::fmt;

/// Results for one kind of calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindOutcome {
    /// Name of the kind, from the load file.
    pub name: String,
    /// Number of calls; a call that is retried after a refusal counts once.
    pub calls: u64,
    /// Calls whose first event arrived within the target latency.
    pub in_time: u64,
    /// Calls whose first event arrived after the target latency.
    pub late: u64,
    /// Calls that were refused and not retried any more.
    pub refused: u64,
    /// Calls whose engine stopped, or that had no first event by the end of the simulation.
    pub failed: u64,
    /// Latencies of the first events in milliseconds, in the order in which prefills ended.
    pub first_event_ms: Vec<f64>,
}

impl KindOutcome {
    /// Returns the share of all calls that were in time, 0 to 1.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.calls.max(1) as f64
    }

    /// Returns the quantile `share` (0 to 1) of the first-event latencies, in milliseconds.
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

/// Results for the calls that arrived within one window of two seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    /// Calls that arrived in the window.
    pub calls: u64,
    /// Those of them that were in time.
    pub in_time: u64,
}

/// Results of one simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Results by kind of call, in the order of the load file.
    pub kinds: Vec<KindOutcome>,
    /// Results by window of two seconds.
    pub windows: Vec<Window>,
    /// Prompt tokens that were prefilled.
    pub read_tokens: u64,
    /// Prefilled tokens of shared parts that some engine had prefilled before.
    pub reread_tokens: u64,
    /// Gossip messages; one that is sent to all other daemons counts once.
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
