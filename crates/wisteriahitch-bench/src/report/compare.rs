//! Ratios of two reports.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context;
use serde_json::Value;

/// Parts of a report that differ from run to run without meaning anything.
const LEFT_OUT: [&str; 2] = ["windows", "machine_load"];

/// Prints each number of two reports, and the second over the first.
///
/// # Errors
///
/// Fails when a file isn't JSON.
pub fn compare(first: &Path, second: &Path) -> anyhow::Result<()> {
    let (first, second) = (read_numbers(first)?, read_numbers(second)?);
    println!("{:<52} {:>14} {:>14} {:>8}", "", "A", "B", "B/A");
    for (name, one) in &first {
        let Some(other) = second.get(name) else {
            continue;
        };
        let ratio = match *one != 0.0 {
            true => format!("{:.3}", other / one),
            false => "-".to_owned(),
        };
        println!("{name:<52} {one:>14.3} {other:>14.3} {ratio:>8}");
    }
    Ok(())
}

fn read_numbers(path: &Path) -> anyhow::Result<BTreeMap<String, f64>> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{} can't be read", path.display()))?;
    let mut numbers = BTreeMap::new();
    gather("", &serde_json::from_str(&text)?, &mut numbers);
    Ok(numbers)
}

fn gather(name: &str, value: &Value, numbers: &mut BTreeMap<String, f64>) {
    match value {
        Value::Number(number) => {
            numbers.insert(name.to_owned(), number.as_f64().unwrap_or(0.0));
        }
        Value::Object(fields) => {
            for (field, value) in fields {
                if LEFT_OUT.contains(&field.as_str()) {
                    continue;
                }
                let name = match name.is_empty() {
                    true => field.clone(),
                    false => format!("{name}.{field}"),
                };
                gather(&name, value, numbers);
            }
        }
        _ => {}
    }
}
