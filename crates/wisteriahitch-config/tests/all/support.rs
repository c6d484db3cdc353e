//! Helpers that several tests share.

use std::path::Path;
use std::{fmt, fs};

use proptest::test_runner::{Config, RngSeed};
use wisteriahitch_config::{Problem, Report};
use wisteriahitch_types::Code;

/// Seed of all property tests, so that failures are reproducible.
const SEED: u64 = 20_260_501;

/// Returns the configuration of a property test: a fixed seed, and no files of failed cases.
pub(crate) fn property_test_config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Reads a file from the `examples` directory of the repository.
pub(crate) fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(path.join(name)).unwrap()
}

/// Returns the code and line of every problem.
pub(crate) fn codes_and_lines(report: &Report) -> Vec<(Code, u32)> {
    let pair = |problem: &Problem| (problem.code, problem.line);
    report.problems().iter().map(pair).collect()
}

/// Returns the line of the first occurrence of `needle`, from 1.
pub(crate) fn line_of(text: &str, needle: &str) -> u32 {
    let before = text.split(needle).next().unwrap();
    u32::try_from(before.matches('\n').count()).unwrap() + 1
}

/// An edit of a valid text, and the problem that it must cause.
pub(crate) struct Edit {
    replace: &'static str,
    by: &'static str,
    pub(crate) code: Code,
    /// Text at whose first occurrence the problem must be reported.
    at: &'static str,
}

pub(crate) const fn edit(
    replace: &'static str,
    by: &'static str,
    code: Code,
    at: &'static str,
) -> Edit {
    Edit {
        replace,
        by,
        code,
        at,
    }
}

impl Edit {
    /// Returns the edited text, and the line where the problem must be reported.
    pub(crate) fn apply(&self, valid: &str) -> (String, u32) {
        let text = valid.replacen(self.replace, self.by, 1);
        assert_ne!(text, valid, "{} is not in the example", self.replace);
        let line = line_of(&text, self.at);
        (text, line)
    }
}

/// Identifies the edit in failure messages.
impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.by)
    }
}
