mod admission_filter;
mod crash_filter;
mod filter_chain;
mod key_filter;
mod limit_filter;

pub use {
    filter_chain::{FilterChain, FilterResult, RequestFilter},
    key_filter::stale_keys_refusal,
};
