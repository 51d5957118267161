use {
    crate::{
        data::{EntryCore, RequestDraft},
        filters::{
            admission_filter::AdmissionFilter, crash_filter::CrashFilter,
            credential_filter::CredentialFilter, phase_filter::PhaseFilter,
            sheet_filter::SheetFilter, ticket_filter::TicketFilter,
        },
    },
    base::FailureReport,
    futures_util::future::LocalBoxFuture,
    setup::HttpReply,
    std::rc::Rc,
};

/// How a request ended at a filter.
pub enum FilterEnd {
    /// It ended with this report, which the caller gets.
    Refused(FailureReport),
    /// It was answered in another way, for instance by another entry.
    Answered(HttpReply),
}

/// Result of a filter: the request, or how it ended.
pub type FilterResult = Result<RequestDraft, Box<FilterEnd>>;

/// A check that a request must pass before it may run.
pub trait RequestFilter {
    /// Returns the request if it passes, else how it ended.
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterResult>;
}

/// The filters in the order in which they are applied.
pub struct FilterChain {
    filters: Vec<Box<dyn RequestFilter>>,
}

impl FilterChain {
    /// Creates the filter chain of an entry.
    pub fn new() -> Self {
        Self {
            filters: vec![
                Box::new(CredentialFilter),
                Box::new(SheetFilter),
                Box::new(TicketFilter),
                Box::new(PhaseFilter),
                Box::new(CrashFilter),
                Box::new(AdmissionFilter),
            ],
        }
    }

    /// Applies all filters to a request, up to the first that ends it.
    pub async fn apply(&self, core: &Rc<EntryCore>, mut draft: RequestDraft) -> FilterResult {
        for filter in &self.filters {
            draft = filter.apply(Rc::clone(core), draft).await?;
        }
        Ok(draft)
    }
}

/// Returns the filter result of a request that ends with this report.
pub fn refused(report: FailureReport) -> FilterResult {
    Err(Box::new(FilterEnd::Refused(report)))
}
