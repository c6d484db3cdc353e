//! Checks what was read as a whole: names, addresses, contradictions and rules that never match.

mod contradictions;
mod finish;
mod names;
mod rules;
mod shadow;

pub(crate) use names::check_defined_once;

use crate::Configuration;
use crate::draft::Draft;
use crate::read::ProblemLog;

/// Checks a draft and turns it into a configuration; nothing comes back where the log has problems.
pub(crate) fn check(draft: Draft, log: &ProblemLog<'_>) -> Option<Configuration> {
    // With one text unread its names are unknown, and each use of them would be reported.
    if draft.has_gap {
        return None;
    }
    check_defined_once(&draft, log);
    names::check_used(&draft, log);
    contradictions::check(&draft, log);
    rules::check(&draft, log);
    log.is_empty().then(|| finish::finish(draft))
}
