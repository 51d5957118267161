//! Limits: admission by deadline and fair share, concurrency limits.
