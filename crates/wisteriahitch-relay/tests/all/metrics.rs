//! The cost of metrics is bounded.

use wisteriahitch_relay::{BoundedLabel, ProcessUsage};

/// A daemon's memory grew with each configuration: labels accepted any name, so each name of a
/// route that ever existed, by the thousand, stayed a time series of its own.
#[test]
fn a_label_has_a_bounded_number_of_values() {
    let label = BoundedLabel::new(2);
    let values: Vec<&str> = ["a", "b", "c", "a", "d", "b"]
        .map(|name| label.value(name))
        .to_vec();
    assert_eq!(values, ["a", "b", "other", "a", "other", "b"]);
}

#[test]
fn a_running_process_uses_memory_and_descriptors() {
    let usage = ProcessUsage::read();
    assert!(usage.resident_bytes > 100_000, "{usage:?}");
    assert!(usage.descriptors > 2, "{usage:?}");
}
