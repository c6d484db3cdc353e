//! Finds rules that can never match because an earlier rule always matches first.

use std::collections::HashMap;

use wisteriahitch_types::WorkspaceId;

use crate::Condition;
use crate::draft::DraftRule;

/// A rule with its workspaces sorted, so that two long lists can be compared in one pass.
struct SortedRule<'d> {
    draft: &'d DraftRule,
    when: &'d Condition,
    workspaces: Vec<&'d WorkspaceId>,
}

/// Returns each rule that can never match, with the earlier rule that covers it.
///
/// A rule that names workspaces can only cover a rule whose workspaces are among them. So each rule
/// is compared only with the earlier rules without workspaces and those that name its first
/// workspace. This keeps the check near linear where each of thousands of workspaces has rules of
/// its own.
pub(super) fn unreachable_rules(rules: &[DraftRule]) -> Vec<(&DraftRule, &DraftRule)> {
    let mut reachable: Vec<SortedRule<'_>> = Vec::new();
    let mut without_workspaces: Vec<usize> = Vec::new();
    let mut by_workspace: HashMap<&WorkspaceId, Vec<usize>> = HashMap::new();
    let mut found = Vec::new();
    for later in rules.iter().filter_map(SortedRule::new) {
        let first = later.workspaces.first();
        let same_workspace = first.and_then(|first| by_workspace.get(first));
        let mut earlier = without_workspaces
            .iter()
            .chain(same_workspace.into_iter().flatten());
        let covering = earlier.find(|position| reachable[**position].covers(&later));
        if let Some(position) = covering {
            found.push((later.draft, reachable[*position].draft));
            continue;
        }
        let position = reachable.len();
        if later.workspaces.is_empty() {
            without_workspaces.push(position);
        }
        for workspace in &later.workspaces {
            by_workspace.entry(workspace).or_default().push(position);
        }
        reachable.push(later);
    }
    found
}

impl<'d> SortedRule<'d> {
    fn new(draft: &'d DraftRule) -> Option<Self> {
        let when = &draft.rule.as_ref()?.when;
        let mut workspaces: Vec<_> = when.workspaces.iter().collect();
        workspaces.sort_unstable();
        Some(Self {
            draft,
            when,
            workspaces,
        })
    }

    /// Returns whether this rule matches wherever `later` does.
    fn covers(&self, later: &Self) -> bool {
        self.when.covers_ignoring_workspaces(later.when)
            && (self.workspaces.is_empty() || is_superset(&self.workspaces, &later.workspaces))
    }
}

/// Returns whether `narrow` is not empty and all its elements are in `wide`; both are ascending.
fn is_superset<T: Ord>(wide: &[T], narrow: &[T]) -> bool {
    let mut wide = wide.iter();
    !narrow.is_empty() && narrow.iter().all(|name| wide.any(|found| found == name))
}
