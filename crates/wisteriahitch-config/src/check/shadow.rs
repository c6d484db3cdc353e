//! Finds rules that can never match, because an earlier one always matches first.

use std::collections::HashMap;

use wisteriahitch_types::WorkspaceId;

use crate::draft::DraftRule;

/// Returns each rule that can never match, with the earlier rule that covers it.
///
/// A rule that names workspaces can only cover one that names them too, so the candidates are the
/// earlier rules without workspaces and those of one workspace of the rule. That keeps the check
/// near linear where each of thousands of workspaces has rules of its own.
pub(super) fn unreachable(rules: &[DraftRule]) -> Vec<(&DraftRule, &DraftRule)> {
    let mut general: Vec<&DraftRule> = Vec::new();
    let mut by_workspace: HashMap<&WorkspaceId, Vec<&DraftRule>> = HashMap::new();
    let mut found = Vec::new();
    for draft in rules {
        let Some(rule) = &draft.rule else {
            continue;
        };
        let workspaces = &rule.when.workspaces;
        let own = workspaces.first().and_then(|first| by_workspace.get(first));
        let candidates = general.iter().chain(own.into_iter().flatten());
        let cover = candidates.copied().find(|earlier| covers(earlier, draft));
        if let Some(earlier) = cover {
            found.push((draft, earlier));
            continue;
        }
        if workspaces.is_empty() {
            general.push(draft);
        }
        for workspace in workspaces {
            by_workspace.entry(workspace).or_default().push(draft);
        }
    }
    found
}

fn covers(earlier: &DraftRule, later: &DraftRule) -> bool {
    match (&earlier.rule, &later.rule) {
        (Some(earlier), Some(later)) => earlier.when.covers(&later.when),
        _ => false,
    }
}
