//! Metric labels with a bounded number of values.

use std::collections::HashSet;

use parking_lot::Mutex;

/// Value under which everything beyond the bound is counted.
const OTHER: &str = "other";

/// Bounds the number of values of a metric label.
///
/// Operators name routes and workspaces, by the thousand in a large configuration. Each value is a
/// time series that takes memory for the rest of the process and lengthens every scrape. The first
/// values get series of their own; all others are counted together.
#[derive(Debug)]
pub struct BoundedLabel {
    distinct_values: Mutex<HashSet<String>>,
    max_values: usize,
}

impl BoundedLabel {
    /// Creates a label with at most `max_values` values of its own.
    pub fn new(max_values: usize) -> Self {
        Self {
            distinct_values: Mutex::default(),
            max_values,
        }
    }

    /// Returns the label value to count `name` under.
    pub fn value<'a>(&self, name: &'a str) -> &'a str {
        let mut distinct_values = self.distinct_values.lock();
        if distinct_values.contains(name) {
            return name;
        }
        if distinct_values.len() >= self.max_values {
            return OTHER;
        }
        distinct_values.insert(name.to_owned());
        name
    }
}
