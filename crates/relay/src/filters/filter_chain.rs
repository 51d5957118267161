use crate::{
    caller::RelayDraft,
    dialect::RelayRefusal,
    filters::{
        admission_filter::AdmissionFilter, crash_filter::CrashFilter, exit_filter::ExitFilter,
        key_filter::KeyFilter, limit_filter::LimitFilter,
    },
    shared::RelayCore,
};

/// Result of a filter: the request, to be passed to the next filter, or its refusal.
pub type FilterResult = Result<RelayDraft, RelayRefusal>;

/// A check that a request must pass before it runs.
pub trait RequestFilter {
    /// Passes the request on, possibly with more of its fields set, or refuses it.
    fn apply(&self, core: &RelayCore, draft: RelayDraft) -> FilterResult;
}

/// The filters, in the order in which they are applied.
pub struct FilterChain {
    filters: Vec<Box<dyn RequestFilter>>,
}

impl FilterChain {
    /// Creates the filters of an entry.
    pub fn new() -> Self {
        Self {
            filters: vec![
                Box::new(KeyFilter),
                Box::new(CrashFilter),
                Box::new(ExitFilter),
                Box::new(AdmissionFilter),
                Box::new(LimitFilter),
            ],
        }
    }

    /// Applies the filters in order until one refuses the request.
    pub fn apply(&self, core: &RelayCore, mut draft: RelayDraft) -> FilterResult {
        for filter in &self.filters {
            draft = filter.apply(core, draft)?;
        }
        Ok(draft)
    }
}
