//! Labels whose values come from a configuration.

use std::collections::HashSet;

use parking_lot::Mutex;

/// Label for everything beyond the bound.
const OTHER: &str = "other";

/// Keeps the number of a label's values bounded.
///
/// Routes and workspaces are named by operators, by the thousand where a configuration has grown.
/// Each value is a series in memory for as long as the process lives, and a scrape that grows with
/// each of them; the first ones are told apart, the rest are counted together.
#[derive(Debug)]
pub struct BoundedLabel {
    distinct_values: Mutex<HashSet<String>>,
    max_values: usize,
}

impl BoundedLabel {
    /// Tells at most `most` values apart.
    pub fn new(max_values: usize) -> Self {
        Self {
            distinct_values: Mutex::default(),
            max_values,
        }
    }

    /// Returns the value to count `name` under.
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
