use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Number of marks from which on a connection takes no further call.
const MAX_MARKS: usize = 4_096;

/// Marks of the answers that a connection has brought: names that each occur in one answer only. A
/// second copy of an answer is known by them.
#[derive(Debug, Default)]
pub struct AnswerMarks {
    hashes: HashSet<u64>,
}

impl AnswerMarks {
    /// Adds the marks of an answer; returns false if an earlier one had one of them.
    pub fn add<'a>(&mut self, marks: impl IntoIterator<Item = &'a str>) -> bool {
        let hashes: Vec<u64> = marks.into_iter().map(mark_hash).collect();
        let is_new = hashes.iter().all(|hash| !self.hashes.contains(hash));
        self.hashes.extend(hashes);
        is_new
    }

    /// Returns true if no more marks should be added.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_MARKS
    }
}

fn mark_hash(mark: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    mark.hash(&mut hasher);
    hasher.finish()
}
