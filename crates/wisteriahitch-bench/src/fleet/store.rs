//! A simulated store of prompt parts.

use std::collections::HashMap;

use super::plan::StorePlan;

/// A store. Like the platform's stores it evicts nothing; a part that doesn't fit is not stored.
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

    /// Stores a part if there is enough free capacity, and returns whether it was stored.
    pub(super) fn try_store(&mut self, part: u64, tokens: u64) -> bool {
        let used: u64 = self.stored_parts.values().sum();
        let fits = used + tokens <= self.plan.capacity_tokens;
        if fits {
            self.stored_parts.insert(part, tokens);
        }
        fits
    }
}
