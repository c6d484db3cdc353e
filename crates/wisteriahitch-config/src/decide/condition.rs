//! Matching a condition against a request, and testing whether one condition covers another.

use std::collections::BTreeMap;

use wisteriahitch_types::TokenCount;

use crate::decide::ConditionPart;
use crate::model::has_prefix;
use crate::{Condition, RequestFacts};

/// Matches one part of a condition other than workspaces and labels.
struct PartMatcher {
    part: ConditionPart,
    matches: fn(&Condition, &RequestFacts) -> bool,
}

/// The parts in the order in which they are evaluated.
static PART_MATCHERS: [PartMatcher; 8] = [
    PartMatcher {
        part: ConditionPart::Methods,
        matches: |when, facts| is_one_of(&when.methods, Some(&facts.method)),
    },
    PartMatcher {
        part: ConditionPart::PathPrefixes,
        matches: |when, facts| has_any_prefix(&when.path_prefixes, &facts.path),
    },
    PartMatcher {
        part: ConditionPart::Models,
        matches: |when, facts| is_one_of(&when.models, facts.model.as_ref()),
    },
    PartMatcher {
        part: ConditionPart::Adapters,
        matches: |when, facts| is_one_of(&when.adapters, facts.adapter.as_ref()),
    },
    PartMatcher {
        part: ConditionPart::MinPromptTokens,
        matches: |when, facts| {
            is_within_bound(when.min_prompt_tokens, facts, |low, found| found >= low)
        },
    },
    PartMatcher {
        part: ConditionPart::MaxPromptTokens,
        matches: |when, facts| {
            is_within_bound(when.max_prompt_tokens, facts, |high, found| found <= high)
        },
    },
    PartMatcher {
        part: ConditionPart::Stream,
        matches: |when, facts| when.stream.is_none_or(|stream| stream == facts.stream),
    },
    PartMatcher {
        part: ConditionPart::AvailabilityZones,
        matches: |when, facts| {
            is_one_of(&when.availability_zones, facts.availability_zone.as_ref())
        },
    },
];

impl Condition {
    /// Returns whether the condition has no parts and so matches every request.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether the condition can match completions only.
    pub fn is_for_completions(&self) -> bool {
        !self.models.is_empty()
            || !self.adapters.is_empty()
            || self.min_prompt_tokens.is_some()
            || self.max_prompt_tokens.is_some()
            || self.stream == Some(true)
    }

    /// Returns whether every part of the condition that is set matches the request.
    pub fn is_match(&self, facts: &RequestFacts) -> bool {
        self.matches_workspace(facts) && self.matches_ignoring_workspaces(facts)
    }

    /// Like [`Condition::is_match`], but ignores the workspaces.
    pub(crate) fn matches_ignoring_workspaces(&self, facts: &RequestFacts) -> bool {
        PART_MATCHERS
            .iter()
            .all(|matcher| (matcher.matches)(self, facts))
            && self.mismatched_labels(facts).next().is_none()
    }

    /// Returns the parts that don't match the request.
    pub(crate) fn mismatches(&self, facts: &RequestFacts) -> Vec<ConditionPart> {
        let mut failed = Vec::new();
        if !self.matches_workspace(facts) {
            failed.push(ConditionPart::Workspaces);
        }
        let parts = PART_MATCHERS
            .iter()
            .filter(|matcher| !(matcher.matches)(self, facts));
        failed.extend(parts.map(|matcher| matcher.part.clone()));
        let labels = self.mismatched_labels(facts);
        failed.extend(labels.map(|name| ConditionPart::Label(name.clone())));
        failed
    }

    fn matches_workspace(&self, facts: &RequestFacts) -> bool {
        is_one_of(&self.workspaces, facts.workspace.as_ref())
    }

    fn mismatched_labels<'a>(
        &'a self,
        facts: &'a RequestFacts,
    ) -> impl Iterator<Item = &'a String> {
        let differs = |(name, value): &(&String, &String)| facts.labels.get(*name) != Some(*value);
        let labels = self.labels.iter();
        labels.filter(differs).map(|(name, _)| name)
    }

    /// Returns whether this condition matches every request that `other` matches, ignoring the
    /// workspaces of both.
    pub(crate) fn covers_ignoring_workspaces(&self, other: &Self) -> bool {
        let low = self.min_prompt_tokens;
        let high = self.max_prompt_tokens;
        is_superset(&self.methods, &other.methods)
            && covers_prefixes(&self.path_prefixes, &other.path_prefixes)
            && is_superset(&self.models, &other.models)
            && is_superset(&self.adapters, &other.adapters)
            && low.is_none_or(|low| other.min_prompt_tokens.is_some_and(|other| other >= low))
            && high.is_none_or(|high| other.max_prompt_tokens.is_some_and(|other| other <= high))
            && (self.stream.is_none() || self.stream == other.stream)
            && is_subset_of_labels(&self.labels, &other.labels)
            && is_superset(&self.availability_zones, &other.availability_zones)
    }
}

fn is_one_of<T: PartialEq>(wanted: &[T], found: Option<&T>) -> bool {
    wanted.is_empty() || found.is_some_and(|found| wanted.contains(found))
}

fn has_any_prefix(prefixes: &[String], path: &str) -> bool {
    prefixes.is_empty() || prefixes.iter().any(|prefix| has_prefix(path, prefix))
}

fn is_within_bound(
    bound: Option<TokenCount>,
    facts: &RequestFacts,
    matches: fn(TokenCount, TokenCount) -> bool,
) -> bool {
    let found = facts.prompt_tokens;
    bound.is_none_or(|bound| found.is_some_and(|found| matches(bound, found)))
}

fn is_superset<T: PartialEq>(wide: &[T], narrow: &[T]) -> bool {
    wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|name| wide.contains(name)))
}

fn covers_prefixes(wide: &[String], narrow: &[String]) -> bool {
    let is_covered = |narrow: &String| wide.iter().any(|wide| has_prefix(narrow, wide));
    wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(is_covered))
}

fn is_subset_of_labels(wide: &BTreeMap<String, String>, narrow: &BTreeMap<String, String>) -> bool {
    wide.iter()
        .all(|(name, value)| narrow.get(name) == Some(value))
}
