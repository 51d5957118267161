//! The run of one request through the stages of its pipeline.
