//! Sends orders to engines.

fn main() {}
