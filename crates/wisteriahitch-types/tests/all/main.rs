//! Tests of identifiers, units and codes.

mod code;
mod id;
mod unit;
