//! The documentation names only existing codes, metrics and commands, and explains every metric.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use wisteriahitch::types::Code;
use wisteriahitch_cli::CommandLine;

const METRICS_SOURCE: &str = include_str!("../../../wisteriahitch-node/src/observe/metrics.rs");
const METRIC_PREFIX: &str = "wisteriahitch_";
const COMMAND: &str = "wisteriahitch ";

/// Crate names, which start with the prefix of metrics but are none.
const CRATES: [&str; 8] = [
    "wisteriahitch_bench",
    "wisteriahitch_cli",
    "wisteriahitch_config",
    "wisteriahitch_core",
    "wisteriahitch_node",
    "wisteriahitch_peer",
    "wisteriahitch_types",
    "wisteriahitch_wire",
];

struct Page {
    path: PathBuf,
    text: String,
}

fn pages() -> Vec<Page> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut pages = Vec::new();
    for directory in ["", "docs", "docs/design"] {
        for entry in std::fs::read_dir(root.join(directory)).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "md") {
                let text = std::fs::read_to_string(&path).unwrap();
                pages.push(Page { path, text });
            }
        }
    }
    assert!(pages.len() > 10, "the documentation pages were not found");
    pages
}

fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split(|letter: char| !letter.is_ascii_alphanumeric() && letter != '_')
}

/// Returns the names of all registered metrics, taken from the string literals in the source.
fn metrics() -> BTreeSet<String> {
    let registered = METRICS_SOURCE.split("&registry,").skip(1);
    let mut names: BTreeSet<String> = registered
        .filter_map(|rest| rest.split('"').nth(1))
        .map(|name| format!("{METRIC_PREFIX}{name}"))
        .collect();
    names.insert(format!("{METRIC_PREFIX}first_token_seconds"));
    names
}

#[test]
fn codes_in_the_pages_exist() {
    for page in pages() {
        for word in words(&page.text) {
            let digits = word.strip_prefix('W').unwrap_or_default();
            if digits.len() == 4 && digits.bytes().all(|digit| digit.is_ascii_digit()) {
                let code = word.parse::<Code>();
                assert!(
                    code.is_ok(),
                    "{}: {word} doesn't exist",
                    page.path.display()
                );
            }
        }
    }
}

#[test]
fn metrics_in_the_pages_exist_and_every_one_is_explained() {
    let metrics = metrics();
    let mut explained = BTreeSet::new();
    for page in pages() {
        for word in words(&page.text).filter(|word| word.starts_with(METRIC_PREFIX)) {
            if CRATES.contains(&word) {
                continue;
            }
            assert!(
                metrics.contains(word),
                "{}: {word} doesn't exist",
                page.path.display()
            );
            explained.insert(word.to_owned());
        }
    }
    assert_eq!(explained, metrics);
}

/// Returns the arguments of a command in a line of a code block, without pipes, redirections and
/// comments.
fn command(line: &str) -> Option<Vec<&str>> {
    let (_, arguments) = line.split_once(COMMAND)?;
    let program = line.split_whitespace().next()?;
    if !program.ends_with(COMMAND.trim_end()) {
        return None;
    }
    let ends = ["#", "|", ">", "&&", ";"];
    let words = arguments.split_whitespace();
    Some(words.take_while(|word| !ends.contains(word)).collect())
}

#[test]
fn commands_in_the_pages_parse() {
    let mut count = 0;
    for page in pages() {
        let blocks = page.text.split("```").skip(1).step_by(2);
        for arguments in blocks.flat_map(str::lines).filter_map(command) {
            let parsed = CommandLine::try_from_args(arguments.clone());
            assert!(
                parsed.is_ok(),
                "{}: {arguments:?}: {parsed:?}",
                page.path.display()
            );
            count += 1;
        }
    }
    assert!(count > 10, "only {count} commands were found");
}
