//! Serving system for prompts that return after long gaps.
//!
//! This crate only gathers the others; see `docs/ARCHITECTURE.md` for what each one does.

pub use wisteriahitch_config as config;
pub use wisteriahitch_core as core;
pub use wisteriahitch_node as node;
pub use wisteriahitch_peer as peer;
pub use wisteriahitch_types as types;
pub use wisteriahitch_wire as wire;
