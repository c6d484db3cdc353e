//! Command line of wisteriahitch for operators.

fn main() {}
