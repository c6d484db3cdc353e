//! A problem in a checked text.

use std::fmt;

use serde::Serialize;
use wisteriahitch_types::Code;

use crate::SectionName;

/// A problem in a checked text, with its location.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Code of the kind of problem.
    pub code: Code,
    /// Section in force that the location is in; `None` for the submitted text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub section: Option<SectionName>,
    /// Line in the text, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Path of the key, such as `rules[2].then.route.service`; empty if there is none.
    pub path: String,
    /// Explanation for the operator.
    pub message: String,
}

impl Problem {
    /// Writes the problem as one line, with `file` as the name of the submitted text.
    pub(crate) fn write_line(&self, file: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.section {
            None => write!(f, "{file}")?,
            Some(section) => write!(f, "{section} (in force)")?,
        }
        write!(f, ":{}:{}: {}", self.line, self.column, self.code)?;
        if !self.path.is_empty() {
            write!(f, " {}", self.path)?;
        }
        write!(f, ": {}", self.message)
    }
}
