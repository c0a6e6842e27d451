//! The `reedford` program.

fn main() {}
