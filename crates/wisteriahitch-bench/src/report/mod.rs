//! What a run showed: for machines as JSON, for people as a table and a drawing.

mod aggregate;
mod compare;
mod plot;
mod quantiles;
mod records;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod report;
mod run_view;
mod sections;
mod sweep;
mod table;
mod view_promises;
mod view_times;
mod view_work;

pub use compare::compare;
pub use plot::{plot_policies, plot_run};
pub use quantiles::Quantiles;
pub use records::write_records;
pub use report::Report;
pub use sections::{
    DaemonSection, FaultSection, FloorSection, LinkSection, PartSection, PromiseSection,
    RecomputedSection, RequestSection, Window,
};
pub use sweep::sweep;
pub use table::print_table;
