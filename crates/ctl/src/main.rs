//! The operator's tool.

fn main() {}
