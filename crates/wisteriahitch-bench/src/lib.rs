//! Open-loop load and experiment tool, for development only.
//!
//! It acts as a caller of daemons that a script has started, and checks every answer.

pub mod caller;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod report;
pub mod run;
pub mod site;
