//! Open-loop load and experiment tool.

fn main() {}
