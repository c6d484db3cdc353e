//! Retry budgets of all services.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use wisteriahitch_types::{ServiceName, TimeUs};

use crate::decide::retry_lending::LendingBudget;
use crate::decide::retry_share::max_saved_retries;
use crate::settings::RetrySettings;

/// This daemon's part of the retries that all daemons together may make at each service.
///
/// Each daemon earns retries from its own requests and may save up its part of the common slack.
/// Without a common bound, every daemon's retries would multiply the load of an outage of all
/// endpoints. A new daemon starts with its share saved up. A restarted one starts with nothing,
/// since it may have used its share right before. A daemon that has none left borrows from others;
/// see [`super::retry_lending`].
pub(crate) struct RetryBudgets {
    settings: RetrySettings,
    by_service: Mutex<HashMap<ServiceName, LendingBudget>>,
    me: Ipv4Addr,
    /// Maximum number of retries that one service's budget may save up.
    max_saved: Mutex<u32>,
    /// Whether budgets start full.
    starts_full: AtomicBool,
}

impl RetryBudgets {
    /// Creates empty budgets.
    pub(crate) fn new(settings: RetrySettings, me: Ipv4Addr) -> Self {
        Self {
            settings,
            by_service: Mutex::new(HashMap::new()),
            me,
            max_saved: Mutex::new(0),
            starts_full: AtomicBool::new(false),
        }
    }

    /// Divides the common slack among the given number of daemons, which must include those that
    /// this one doesn't see at the moment and that may go on retrying.
    pub(crate) fn set_daemon_count(&self, daemons: usize, now: TimeUs) {
        let max_saved = max_saved_retries(self.settings.slack, daemons, self.me);
        *self.max_saved.lock() = max_saved;
        for budget in self.by_service.lock().values_mut() {
            budget.set_max_saved(max_saved, now);
        }
    }

    /// Fills all budgets, also those of services that are added later. Must be called only on a
    /// daemon that hasn't run before, once the number of daemons is known.
    pub(crate) fn fill(&self, now: TimeUs) {
        self.starts_full.store(true, Ordering::Relaxed);
        for budget in self.by_service.lock().values_mut() {
            budget.fill(now);
        }
    }

    /// Counts a caller's request, which earns a fraction of a retry.
    pub(crate) fn record_request(&self, service: &ServiceName, now: TimeUs) {
        self.with_budget(service, now, |budget| budget.record_request(now));
    }

    /// Takes one retry if the budget has one left.
    pub(crate) fn try_take(&self, service: &ServiceName, now: TimeUs) -> bool {
        self.with_budget(service, now, LendingBudget::try_take)
    }

    /// Returns whether the budget has a retry left.
    pub(crate) fn has_retry(&self, service: &ServiceName, now: TimeUs) -> bool {
        self.with_budget(service, now, |budget| budget.has_retry())
    }

    /// Returns how many retries the budget has left, for logs.
    pub(crate) fn remaining(&self, service: &ServiceName, now: TimeUs) -> f64 {
        self.with_budget(service, now, |budget| budget.saved())
    }

    /// Lends a retry to another daemon if there is one to lend. The service must be configured, so
    /// that questions create no budgets for other names.
    pub(super) fn lend(&self, service: &ServiceName, now: TimeUs) -> bool {
        self.with_budget(service, now, |budget| budget.lend(now))
    }

    /// Returns whether a search for a retry of another daemon may begin.
    pub(super) fn may_search(&self, service: &ServiceName, now: TimeUs) -> bool {
        self.with_budget(service, now, |budget| budget.may_search(now))
    }

    /// Begins such a search if that is allowed now. It must be ended.
    pub(super) fn begin_search(&self, service: &ServiceName, now: TimeUs) -> bool {
        self.with_budget(service, now, |budget| budget.begin_search(now))
    }

    /// Ends a search.
    pub(super) fn end_search(&self, service: &ServiceName, is_in_vain: bool, now: TimeUs) {
        self.with_budget(service, now, |budget| budget.end_search(is_in_vain, now));
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        now: TimeUs,
        change: impl FnOnce(&mut LendingBudget) -> T,
    ) -> T {
        let max_saved = *self.max_saved.lock();
        let mut budgets = self.by_service.lock();
        if let Some(budget) = budgets.get_mut(service) {
            return change(budget);
        }
        let mut budget = LendingBudget::new(self.settings.ratio, max_saved);
        if self.starts_full.load(Ordering::Relaxed) {
            budget.fill(now);
        }
        change(budgets.entry(service.clone()).or_insert(budget))
    }
}
