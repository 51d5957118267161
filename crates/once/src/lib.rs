//! At most once: single-use tickets and the book of those that were spent.
