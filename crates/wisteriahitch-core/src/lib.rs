//! Deterministic decisions: tables of entities and the systems that run over them each tick.
//!
//! Nothing here does input or output, reads a clock or draws a random number of its own: events
//! and a time go in, commands come out. `docs/ARCHITECTURE.md` shows how the shells drive it.

pub mod fleet;
pub mod once;
pub mod route;
pub mod stream;
pub mod tier;
