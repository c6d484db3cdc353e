//! Tests of the peer protocol.

mod calls;
mod decoding;
mod generated;
