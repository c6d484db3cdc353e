//! Checks the list of rules: the last one is a default, and every rule can match.

use wisteriahitch_types::Code;

use super::shadow;
use crate::draft::{Draft, DraftRule};
use crate::read::ProblemLog;

pub(super) fn check(draft: &Draft, log: &ProblemLog<'_>) {
    check_default(&draft.rules, log);
    for (later, earlier) in shadow::unreachable_rules(&draft.rules) {
        // Finding the line of the earlier rule scans the text from its start. Without this limit,
        // a hostile text with thousands of rules would take minutes.
        if log.is_truncated() {
            return;
        }
        let (Some(rule), Some(before)) = (&later.rule, &earlier.rule) else {
            continue;
        };
        let (line, _) = log.position(&earlier.location);
        let (name, first) = (&rule.name, &before.name);
        let message = format!(
            "the rule {name} can never match, because {first} in line {line} matches first"
        );
        log.add(Code::ConfigUnreachableRule, &later.location, message);
    }
}

fn check_default(rules: &[DraftRule], log: &ProblemLog<'_>) {
    let Some(last) = rules.last() else {
        let message = "there is no rule; the last one is to be a default without `when`";
        log.add(Code::ConfigNoDefault, &log.submission_start(), message);
        return;
    };
    let Some(rule) = &last.rule else {
        return;
    };
    if !rule.when.is_default() {
        let message = "the last rule has conditions; add a default without `when` after it";
        log.add(Code::ConfigNoDefault, &last.when_location, message);
    }
}
