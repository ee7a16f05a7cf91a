//! Operators command.
fn main() {}
