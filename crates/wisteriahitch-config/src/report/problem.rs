//! One fault of a submitted text.

use std::fmt;

use serde::Serialize;
use wisteriahitch_types::Code;

use crate::SectionName;

/// Locates and explains one fault of a submitted text.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Kind of the fault.
    pub code: Code,
    /// Section in force that the position is in; nothing where it is in the submitted text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub section: Option<SectionName>,
    /// Line, from 1.
    pub line: u32,
    /// Character within the line, from 1.
    pub column: u32,
    /// Key that the fault is at, such as `rules[2].then.route.service`.
    pub path: String,
    /// Sentence for the operator.
    pub message: String,
}

impl Problem {
    /// Writes the problem as one line, with `file` for the name of the submitted text.
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
