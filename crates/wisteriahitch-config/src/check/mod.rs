//! Checks across the whole draft: names, addresses, contradictions and unreachable rules.

mod contradictions;
mod finish;
mod names;
mod rules;
mod shadow;

pub(crate) use names::check_defined_once;

use crate::Configuration;
use crate::draft::Draft;
use crate::read::ProblemLog;

/// Checks a draft and converts it into a configuration. Returns `None` if the log has problems.
pub(crate) fn check(draft: Draft, log: &ProblemLog<'_>) -> Option<Configuration> {
    // The names defined in a text that could not be parsed are missing, so each use of them would
    // be reported as unknown.
    if draft.has_unparsed_source {
        return None;
    }
    check_defined_once(&draft, log);
    names::check_used(&draft, log);
    contradictions::check(&draft, log);
    rules::check(&draft, log);
    log.is_empty().then(|| finish::finish(draft))
}
