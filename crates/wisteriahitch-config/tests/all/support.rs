//! What several tests share.

use std::path::Path;
use std::{fmt, fs};

use proptest::test_runner::{Config, RngSeed};
use wisteriahitch_config::{Problem, Report};
use wisteriahitch_types::Code;

/// Seed of every generated run, so that a failure comes back.
const SEED: u64 = 20_260_501;

/// Returns how generated runs are made: always from the same seed, and with no files written.
pub(crate) fn generated(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Reads a file of the repository's examples.
pub(crate) fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(path.join(name)).unwrap()
}

/// Returns code and line of every problem.
pub(crate) fn codes_and_lines(report: &Report) -> Vec<(Code, u32)> {
    let pair = |problem: &Problem| (problem.code, problem.line);
    report.problems().iter().map(pair).collect()
}

/// Returns the line of the first place where `needle` stands.
pub(crate) fn line_of(text: &str, needle: &str) -> u32 {
    let before = text.split(needle).next().unwrap();
    u32::try_from(before.matches('\n').count()).unwrap() + 1
}

/// One edit of a right text, and the problem that it must bring.
pub(crate) struct Edit {
    replace: &'static str,
    by: &'static str,
    pub(crate) code: Code,
    /// Text at whose first place the problem is to be reported.
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
    /// Returns the edited text, and the line that the problem must name.
    pub(crate) fn apply(&self, right: &str) -> (String, u32) {
        let text = right.replacen(self.replace, self.by, 1);
        assert_ne!(text, right, "{} is not in the example", self.replace);
        let line = line_of(&text, self.at);
        (text, line)
    }
}

/// Names the edit in a failure.
impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.by)
    }
}
