//! Reports on texts that fail the checks.

mod problem;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod report;

pub use problem::Problem;
pub use report::{Report, ReportInFile};
