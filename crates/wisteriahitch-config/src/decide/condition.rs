//! When a condition holds, and when one condition holds wherever another does.

use std::collections::BTreeMap;

use crate::decide::ConditionPart;
use crate::model::has_prefix;
use crate::{Condition, RequestFacts};

impl Condition {
    /// Returns whether the condition has no part, so that it always holds.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether the condition holds for completions only.
    pub fn is_for_completions(&self) -> bool {
        !self.models.is_empty()
            || !self.adapters.is_empty()
            || self.min_prompt_tokens.is_some()
            || self.max_prompt_tokens.is_some()
    }

    /// Returns whether every part that is given holds.
    pub fn is_match(&self, facts: &RequestFacts) -> bool {
        self.mismatches(facts).next().is_none()
    }

    /// Returns the parts that don't hold, found one by one as they are asked for.
    pub(crate) fn mismatches<'a>(
        &'a self,
        facts: &'a RequestFacts,
    ) -> impl Iterator<Item = ConditionPart> + 'a {
        use ConditionPart as Part;
        let tokens = facts.prompt_tokens;
        let checks: [(fn() -> Part, bool); 9] = [
            (
                || Part::Workspaces,
                is_one_of(&self.workspaces, facts.workspace.as_ref()),
            ),
            (
                || Part::Methods,
                is_one_of(&self.methods, Some(&facts.method)),
            ),
            (
                || Part::PathPrefixes,
                is_below(&self.path_prefixes, &facts.path),
            ),
            (
                || Part::Models,
                is_one_of(&self.models, facts.model.as_ref()),
            ),
            (
                || Part::Adapters,
                is_one_of(&self.adapters, facts.adapter.as_ref()),
            ),
            (
                || Part::MinPromptTokens,
                self.min_prompt_tokens
                    .is_none_or(|low| tokens.is_some_and(|tokens| tokens >= low)),
            ),
            (
                || Part::MaxPromptTokens,
                self.max_prompt_tokens
                    .is_none_or(|high| tokens.is_some_and(|tokens| tokens <= high)),
            ),
            (
                || Part::Stream,
                self.stream.is_none_or(|stream| stream == facts.stream),
            ),
            (
                || Part::AvailabilityZones,
                is_one_of(&self.availability_zones, facts.availability_zone.as_ref()),
            ),
        ];
        let labels = self
            .labels
            .iter()
            .filter(|(name, value)| facts.labels.get(*name) != Some(value))
            .map(|(name, _)| Part::Label(name.clone()));
        checks
            .into_iter()
            .filter(|(_, holds)| !holds)
            .map(|(part, _)| part())
            .chain(labels)
    }

    /// Returns whether this condition holds wherever `other` does.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        let low = self.min_prompt_tokens;
        let high = self.max_prompt_tokens;
        is_superset(&self.workspaces, &other.workspaces)
            && is_superset(&self.methods, &other.methods)
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

fn is_below(prefixes: &[String], path: &str) -> bool {
    prefixes.is_empty() || prefixes.iter().any(|prefix| has_prefix(path, prefix))
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
