//! The two sites that are measured: their sizes, and the files that a script starts them from.

mod addresses;
mod layout;
mod name;
mod sizes;

pub(crate) use addresses::read_pids;
pub use addresses::{DaemonAddresses, Place, SiteAddresses, StorePlace, WorkspaceShare};
pub(crate) use layout::configuration_path;
pub use layout::{LayoutOptions, write_layout};
pub use name::SiteName;
pub use sizes::{Class, ClassName, SiteSizes, Span};
