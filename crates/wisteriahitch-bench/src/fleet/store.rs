//! A store of prompt parts as the model imitates it.

use std::collections::HashMap;

use super::plan::StorePlan;

/// One store. Like the platform's, it drops nothing on its own: what doesn't fit is lost.
#[derive(Debug)]
pub(super) struct Store {
    pub(super) plan: StorePlan,
    stored_parts: HashMap<u64, u64>,
}

impl Store {
    pub(super) fn new(plan: StorePlan) -> Self {
        Self {
            plan,
            stored_parts: HashMap::new(),
        }
    }

    pub(super) fn has_part(&self, part: u64) -> bool {
        self.stored_parts.contains_key(&part)
    }

    /// Keeps a part, and returns whether there was room for it.
    pub(super) fn try_store(&mut self, part: u64, tokens: u64) -> bool {
        let used: u64 = self.stored_parts.values().sum();
        let fits = used + tokens <= self.plan.capacity_tokens;
        if fits {
            self.stored_parts.insert(part, tokens);
        }
        fits
    }
}
