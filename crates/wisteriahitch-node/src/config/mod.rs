//! Distribution, activation and submission of the configuration.
//!
//! `docs/design/configuration-acceptance.md` gives the reasons.

mod apply;
mod changes;
mod objects;
mod peers;
mod replica;
mod submit;

pub(crate) use replica::ConfigState;
pub(crate) use submit::{SubmitError, Submitted};
