use crate::{
    caller::RelayDraft,
    dialect::RelayRefusal,
    filters::{
        admission_filter::AdmissionFilter, crash_filter::CrashFilter, key_filter::KeyFilter,
    },
    shared::RelayCore,
};

/// What a filter leaves: the request, or its refusal.
pub type FilterResult = Result<RelayDraft, RelayRefusal>;

/// One check that a request must pass before it may run.
pub trait RequestFilter {
    /// Lets the request pass or refuses it.
    fn apply(&self, core: &RelayCore, draft: RelayDraft) -> FilterResult;
}

/// The filters in the order in which requests meet them.
pub struct FilterChain {
    filters: Vec<Box<dyn RequestFilter>>,
}

impl FilterChain {
    /// The chain of an entry.
    pub fn new() -> Self {
        Self {
            filters: vec![
                Box::new(KeyFilter),
                Box::new(CrashFilter),
                Box::new(AdmissionFilter),
            ],
        }
    }

    /// Takes a request through all filters.
    pub fn apply(&self, core: &RelayCore, mut draft: RelayDraft) -> FilterResult {
        for filter in &self.filters {
            draft = filter.apply(core, draft)?;
        }
        Ok(draft)
    }
}
