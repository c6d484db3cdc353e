//! Model of the membership of a large fleet, without sockets or a clock.
//!
//! It runs the product's tables, choice of hubs and messages with any number of daemons, to show
//! what a larger fleet would need. `docs/design/whole-fleet.md` says what it leaves out.

mod assessment;
mod model;

pub use assessment::{Assessment, Removal, assess};
pub use model::{MembershipModel, ModelOptions, ROUND_MS, View, ViewErrors};
