//! A store of prompt parts as the model imitates it.

use std::collections::HashMap;

use super::plan::StorePlan;

/// One store. Like the platform's, it drops nothing on its own: what doesn't fit is lost.
#[derive(Debug)]
pub(super) struct Store {
    pub(super) plan: StorePlan,
    kept: HashMap<u64, u64>,
}

impl Store {
    pub(super) fn new(plan: StorePlan) -> Self {
        Self {
            plan,
            kept: HashMap::new(),
        }
    }

    pub(super) fn keeps(&self, part: u64) -> bool {
        self.kept.contains_key(&part)
    }

    /// Keeps a part, and returns whether there was room for it.
    pub(super) fn save(&mut self, part: u64, tokens: u64) -> bool {
        let used: u64 = self.kept.values().sum();
        let has_room = used + tokens <= self.plan.room_tokens;
        if has_room {
            self.kept.insert(part, tokens);
        }
        has_room
    }
}
