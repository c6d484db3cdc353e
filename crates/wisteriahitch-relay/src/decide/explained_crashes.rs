//! Crashes that a blocked attribute explains.

use std::collections::VecDeque;

use crate::site::CallAttribute;

/// Maximum number of crashes recorded as explained by blocked attributes of one kind; the oldest
/// are dropped first.
const MAX_EXPLAINED_CRASHES: usize = 1_024;

/// Crashes that are explained by blocked attributes, by the short name of the endpoint instance,
/// oldest first.
///
/// A request and the parts of its prompt are at the same crashes, so a blocked request explains
/// those of other requests, but no crash of a prompt part. A blocked part explains both.
#[derive(Debug, Default)]
pub(super) struct ExplainedCrashes {
    by_request: VecDeque<u32>,
    by_part: VecDeque<u32>,
}

impl ExplainedCrashes {
    /// Records that a blocked attribute explains the crashes of these instances.
    pub(super) fn add(&mut self, blocked: CallAttribute, instances: impl IntoIterator<Item = u32>) {
        let explained = match blocked {
            CallAttribute::Request(_) => &mut self.by_request,
            CallAttribute::PromptPart(_) => &mut self.by_part,
        };
        explained.extend(instances);
        let surplus = explained.len().saturating_sub(MAX_EXPLAINED_CRASHES);
        explained.drain(..surplus);
    }

    /// Returns whether the crash of an instance no longer counts against `suspect`.
    pub(super) fn is_explained(&self, suspect: CallAttribute, instance: u32) -> bool {
        let by_request = matches!(suspect, CallAttribute::Request(_)) && self.by_request(instance);
        by_request || self.by_part.contains(&instance)
    }

    /// Returns whether a blocked request explains the crash of an instance.
    pub(super) fn by_request(&self, instance: u32) -> bool {
        self.by_request.contains(&instance)
    }
}
