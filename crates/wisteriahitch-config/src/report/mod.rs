//! What an operator is told of a text that does not pass the checks.

mod problem;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod report;

pub use problem::Problem;
pub use report::{Report, ReportInFile};
