//! Small stand-ins of the systems around camphorramp, for tests and the demo only.

fn main() {}
