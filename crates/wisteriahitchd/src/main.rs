//! Daemon of wisteriahitch.

fn main() {}
