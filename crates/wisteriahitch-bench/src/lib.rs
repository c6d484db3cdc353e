//! Open-loop load generator and experiment tool, for development only.
//!
//! It calls daemons that a script has started, as a caller does, and checks every answer.

pub mod caller;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod membership;
pub mod report;
pub mod run;
pub mod site;
