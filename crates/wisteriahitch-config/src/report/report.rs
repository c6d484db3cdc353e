//! Every fault of a submitted text at once.

use std::fmt;

use serde::Serialize;

use super::Problem;

/// Name that stands for the text where no file name is known.
const UNNAMED_TEXT: &str = "text";

/// Holds every fault that was found, in the order of the text.
///
/// The report is made apart from its rendering: [`Report::in_file`] gives lines for a terminal,
/// and its serialized form serves `--json`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Report {
    problems: Vec<Problem>,
    is_cut: bool,
}

impl Report {
    /// Gathers problems into a report, ordered by their place.
    pub(crate) fn new(mut problems: Vec<Problem>, is_cut: bool) -> Self {
        let place = |problem: &Problem| {
            let section = problem.section.clone();
            (section, problem.line, problem.column, problem.code)
        };
        problems.sort_by_key(place);
        Self { problems, is_cut }
    }

    /// Returns the problems in the order of the text.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns whether there are more problems than are listed.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns the report as lines that open with the name of the file.
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

/// Renders a [`Report`] as one line a problem, such as
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
        if self.report.is_cut {
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
