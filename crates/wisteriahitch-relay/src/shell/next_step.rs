//! What follows a failed attempt.

/// Whether a failed call is sent again, or why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NextStep {
    /// Another attempt follows.
    Retry,
    /// The process is about to exit.
    Exiting,
    /// The call's deadline has passed.
    NoTimeLeft,
    /// The maximum number of endpoints that a call tries to connect to is reached.
    TooManyConnects,
    /// The call may have run and isn't repeatable.
    MayHaveRun,
    /// The route's maximum number of attempts is reached.
    AttemptsUsedUp,
    /// Endpoints have crashed under this request before; another one could.
    Suspect,
    /// The retry budget, shared by all daemons, is used up.
    BudgetUsedUp,
}

impl NextStep {
    /// Returns the label for the log.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            NextStep::Retry => "again",
            NextStep::Exiting => "exiting",
            NextStep::NoTimeLeft => "no_time_left",
            NextStep::TooManyConnects => "too_many_connects",
            NextStep::MayHaveRun => "may_have_run",
            NextStep::AttemptsUsedUp => "attempts_used_up",
            NextStep::Suspect => "suspect",
            NextStep::BudgetUsedUp => "budget_used_up",
        }
    }
}
