//! Retries, hedges and crash suspects.
