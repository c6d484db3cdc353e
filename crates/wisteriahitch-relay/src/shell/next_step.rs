//! What follows a failed attempt.

/// Says whether a call is tried again, or why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NextStep {
    /// Another attempt follows.
    Retry,
    /// The caller no longer waits.
    NoTimeLeft,
    /// No more endpoints are tried to connect to.
    TooManyConnects,
    /// It may have run, and may run once only.
    MayHaveRun,
    /// The route allows no more attempts.
    AttemptsUsedUp,
    /// Endpoints have crashed under it before, and may crash under it again.
    Suspect,
    /// All daemons together have made as many retries as they may.
    BudgetUsedUp,
}

impl NextStep {
    /// Returns the word for the log.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            NextStep::Retry => "again",
            NextStep::NoTimeLeft => "no_time_left",
            NextStep::TooManyConnects => "too_many_connects",
            NextStep::MayHaveRun => "may_have_run",
            NextStep::AttemptsUsedUp => "attempts_used_up",
            NextStep::Suspect => "suspect",
            NextStep::BudgetUsedUp => "budget_used_up",
        }
    }
}
