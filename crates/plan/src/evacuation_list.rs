use std::collections::BTreeSet;

/// The data centres to whose targets nothing more may be sent, by the operator's request.
///
/// An evacuation binds until it is taken back. After the store has come back from an older copy, in
/// which it may be missing, it goes on to bind until the new era has stated it or can be trusted.
///
/// ```
/// let mut list = plan::EvacuationList::default();
/// list.begin("north");
/// list.begin_era();
/// list.replace(["south".to_string()]);
/// assert!(list.contains("north") && list.contains("south"));
/// list.trust_era();
/// list.replace(["south".to_string()]);
/// assert!(!list.contains("north"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationList {
    /// Data centres that the store lists.
    listed: BTreeSet<String>,
    /// Data centres that were evacuated when the present era of the store began.
    held: BTreeSet<String>,
}

impl EvacuationList {
    /// Records that a data centre is evacuated.
    pub fn begin(&mut self, centre: impl Into<String>) {
        self.listed.insert(centre.into());
    }

    /// Records that the evacuation of a data centre was taken back.
    pub fn end(&mut self, centre: &str) {
        self.listed.remove(centre);
        self.held.remove(centre);
    }

    /// Replaces the data centres that the store lists, after all of it was read.
    pub fn replace(&mut self, centres: impl IntoIterator<Item = String>) {
        self.listed = centres.into_iter().collect();
    }

    /// Records that the store has come back from an older copy: what is known now goes on to bind.
    pub fn begin_era(&mut self) {
        self.held.extend(self.listed.iter().cloned());
    }

    /// Records that what the store lists can be trusted again.
    pub fn trust_era(&mut self) {
        self.held.clear();
    }

    /// Returns true if the data centre is evacuated.
    pub fn contains(&self, centre: &str) -> bool {
        self.listed.contains(centre) || self.held.contains(centre)
    }

    /// Returns the names of the evacuated data centres.
    pub fn centres(&self) -> impl Iterator<Item = &str> {
        self.listed.union(&self.held).map(String::as_str)
    }
}
