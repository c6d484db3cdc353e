//! Reads the texts of a configuration into a draft with locations, before names are resolved.

mod call;
mod condition;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod draft;
mod limits;
mod model;
mod names;
mod rule;
mod service;
mod store;
mod workspace;

pub(crate) use draft::{Draft, REMOVED_WORKSPACES_KEY};
pub(crate) use names::NameLocations;
pub(crate) use rule::DraftRule;
pub(crate) use workspace::WORKSPACES_KEY;
