//! The problems of a checked text and their rendering.

use std::fmt;

use serde::Serialize;

use super::Problem;

/// Name of the text in rendered lines where no file name is known.
const UNNAMED_TEXT: &str = "text";

/// The problems found in a text, ordered by their location.
///
/// [`Report::in_file`] renders it as lines for a terminal; `--json` prints its serialized form.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Report {
    problems: Vec<Problem>,
    #[serde(rename = "is_cut")]
    is_truncated: bool,
}

impl Report {
    /// Creates a report and sorts the problems by location.
    pub(crate) fn new(mut problems: Vec<Problem>, is_truncated: bool) -> Self {
        let location = |problem: &Problem| {
            let section = problem.section.clone();
            (section, problem.line, problem.column, problem.code)
        };
        problems.sort_by_key(location);
        Self {
            problems,
            is_truncated,
        }
    }

    /// Returns the problems, ordered by location.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns whether more problems were found than are listed.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Returns a rendering as lines that start with the name of the file.
    pub fn in_file<'a>(&'a self, file: &'a str) -> ReportInFile<'a> {
        ReportInFile { report: self, file }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.in_file(UNNAMED_TEXT).fmt(f)
    }
}

impl std::error::Error for Report {}

/// Renders a [`Report`] with one line per problem, such as
/// `site.toml:12:5: W4004 services[0].stores[1]: no store is named "hub-d"`.
#[derive(Clone, Copy, Debug)]
pub struct ReportInFile<'a> {
    report: &'a Report,
    file: &'a str,
}

impl fmt::Display for ReportInFile<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.report.problems.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            problem.write_line(self.file, f)?;
        }
        if self.report.is_truncated {
            let listed = self.report.problems.len();
            write!(
                f,
                "\n{}: only the first {listed} problems found are listed",
                self.file
            )?;
        }
        Ok(())
    }
}
