//! Entry point of the tool.

fn main() {}
