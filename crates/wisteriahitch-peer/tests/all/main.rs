//! Tests of the peer protocol.

#![allow(clippy::unwrap_used)]

mod calls;
mod decoding;
mod generated;
