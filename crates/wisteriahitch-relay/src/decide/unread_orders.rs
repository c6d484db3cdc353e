//! Engines at which an order of the previous holder of the lease may still be unread.
//!
//! An engine that stands still reads an order when it goes on, however long ago the order was sent. A
//! new holder's wait protects only engines that run. Any other one gets no order before it has
//! answered, which shows that it runs, and then for as long as the wait
//! (`docs/design/orders.md`).

use std::collections::BTreeMap;

use wisteriahitch_types::{DurationUs, EndpointInstance, TimeUs};

/// Time between two questions to an engine that doesn't answer.
const QUESTION_INTERVAL_US: DurationUs = DurationUs::from_ms(500);

/// Maximum number of engines that are asked at once.
const MAX_QUESTIONS: usize = 64;

/// What is known of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    answered_at_us: Option<TimeUs>,
    next_question_at_us: TimeUs,
}

/// Engines that haven't run for the length of a wait since the previous holder's last order.
#[derive(Clone, Debug)]
pub struct UnreadOrders {
    /// Duration of the wait for the orders of the previous holder.
    wait_us: DurationUs,
    /// End of the last such wait.
    wait_until_us: TimeUs,
    engines: BTreeMap<EndpointInstance, Engine>,
}

impl UnreadOrders {
    /// Creates a table for waits of this duration, before the first one.
    pub fn new(wait_us: DurationUs) -> Self {
        Self {
            wait_us,
            wait_until_us: TimeUs::ZERO,
            engines: BTreeMap::new(),
        }
    }

    /// Returns whether a wait that ends at this time hasn't been recorded.
    pub fn is_new_wait(&self, wait_until_us: TimeUs) -> bool {
        wait_until_us > self.wait_until_us
    }

    /// Records a wait for the orders of the previous holder, which `engines` may have got.
    pub fn record_wait(
        &mut self,
        wait_until_us: TimeUs,
        engines: impl IntoIterator<Item = EndpointInstance>,
    ) {
        self.wait_until_us = wait_until_us;
        let unknown = |endpoint| (endpoint, Engine::default());
        self.engines = engines.into_iter().map(unknown).collect();
    }

    /// Returns the engines that are to be asked now for any answer.
    pub fn due_questions(&mut self, now: TimeUs) -> Vec<EndpointInstance> {
        let wait_us = self.wait_us;
        self.engines.retain(|_, engine| {
            let answered_at = engine.answered_at_us;
            answered_at.is_none_or(|at| now < at + wait_us)
        });
        let is_due =
            |engine: &Engine| engine.answered_at_us.is_none() && engine.next_question_at_us <= now;
        let due = self.engines.iter_mut().filter(|(_, engine)| is_due(engine));
        let due = due.take(MAX_QUESTIONS).map(|(endpoint, engine)| {
            engine.next_question_at_us = now + QUESTION_INTERVAL_US;
            endpoint.clone()
        });
        due.collect()
    }

    /// Records that an engine has answered a request that was sent at `asked_at_us`.
    pub fn record_answer(&mut self, endpoint: &EndpointInstance, asked_at_us: TimeUs, now: TimeUs) {
        // The previous holder may have sent an order until the wait began.
        if asked_at_us + self.wait_us < self.wait_until_us {
            return;
        }
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.answered_at_us.get_or_insert(now);
        }
    }

    /// Forgets an engine that is gone.
    pub fn remove(&mut self, endpoint: &EndpointInstance) {
        self.engines.remove(endpoint);
    }

    /// Returns whether an order of the previous holder may still arrive, or may have arrived a moment
    /// ago, so that the engine must not get another one now.
    pub fn may_exist_at(&self, endpoint: &EndpointInstance, now: TimeUs) -> bool {
        let engine = self.engines.get(endpoint);
        engine.is_some_and(|engine| {
            let answered_at = engine.answered_at_us;
            answered_at.is_none_or(|at| now < at + self.wait_us)
        })
    }
}
