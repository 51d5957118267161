mod admission_filter;
mod crash_filter;
mod credential_filter;
mod filter_chain;
mod phase_filter;
mod sheet_filter;
mod ticket_filter;

pub use {
    credential_filter::has_valid_credential,
    filter_chain::{FilterChain, FilterEnd, FilterResult, RequestFilter},
};
