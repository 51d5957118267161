use {
    crate::{
        data::{EntryCore, RequestDraft},
        filters::{
            admission_filter::AdmissionFilter, crash_filter::CrashFilter,
            credential_filter::CredentialFilter, life_filter::LifeFilter,
            sheet_filter::SheetFilter, ticket_filter::TicketFilter,
        },
    },
    base::FailureReport,
    futures_util::future::LocalBoxFuture,
    setup::HttpReply,
    std::rc::Rc,
};

/// Why a request goes no further.
pub enum FilterEnd {
    /// It was refused.
    Refused(FailureReport),
    /// It was answered in another way, for instance by another entry.
    Answered(HttpReply),
}

/// What a filter leaves: the request, or its end.
pub type FilterStep = Result<RequestDraft, Box<FilterEnd>>;

/// One check that a request must pass before it may run.
pub trait RequestFilter {
    /// Lets the request pass or ends it.
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterStep>;
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
                Box::new(CredentialFilter),
                Box::new(SheetFilter),
                Box::new(TicketFilter),
                Box::new(LifeFilter),
                Box::new(CrashFilter),
                Box::new(AdmissionFilter),
            ],
        }
    }

    /// Takes a request through all filters.
    pub async fn apply(&self, core: &Rc<EntryCore>, mut draft: RequestDraft) -> FilterStep {
        for filter in &self.filters {
            draft = filter.apply(Rc::clone(core), draft).await?;
        }
        Ok(draft)
    }
}

/// Ends a request as refused.
pub fn refused(report: FailureReport) -> FilterStep {
    Err(Box::new(FilterEnd::Refused(report)))
}
