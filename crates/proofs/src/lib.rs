//! Harness for integration tests with real processes.
