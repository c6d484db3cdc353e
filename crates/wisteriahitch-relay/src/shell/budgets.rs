//! Retry budgets by service.

use std::collections::HashMap;

use parking_lot::Mutex;
use wisteriahitch_core::route::RetryBudget;
use wisteriahitch_types::ServiceName;

use crate::settings::RetrySettings;

/// Holds this daemon's part of the retries that all daemons together may make at each service.
///
/// Each daemon earns retries from its own requests and may save up its part of the common slack.
/// Without a common bound, a fault of all endpoints would be multiplied by every daemon's retries.
pub(crate) struct Budgets {
    settings: RetrySettings,
    by_service: Mutex<HashMap<ServiceName, RetryBudget>>,
    max_saved: Mutex<f64>,
}

impl Budgets {
    /// Starts with empty budgets.
    pub(crate) fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            by_service: Mutex::new(HashMap::new()),
            max_saved: Mutex::new(0.0),
        }
    }

    /// Divides the common slack among so many daemons.
    pub(crate) fn set_daemons(&self, daemons: usize) {
        let max_saved = self.settings.slack / daemons.max(1) as f64;
        *self.max_saved.lock() = max_saved;
        for budget in self.by_service.lock().values_mut() {
            budget.set_max_saved(max_saved);
        }
    }

    /// Counts a caller's request.
    pub(crate) fn request(&self, service: &ServiceName) {
        self.with(service, RetryBudget::record_request);
    }

    /// Takes one retry, if there is one left.
    pub(crate) fn try_take(&self, service: &ServiceName) -> bool {
        self.with(service, RetryBudget::try_acquire)
    }

    /// Returns how many retries are left.
    pub(crate) fn left(&self, service: &ServiceName) -> f64 {
        self.with(service, |budget| budget.available())
    }

    fn with<T>(&self, service: &ServiceName, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let max_saved = *self.max_saved.lock();
        let mut budgets = self.by_service.lock();
        if let Some(budget) = budgets.get_mut(service) {
            return change(budget);
        }
        let budget = RetryBudget::new(self.settings.ratio).with_max_saved(max_saved);
        change(budgets.entry(service.clone()).or_insert(budget))
    }
}
