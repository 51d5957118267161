//! The time line: hybrid logical clocks, event records and their merge.
