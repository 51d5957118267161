mod admission_filter;
mod crash_filter;
mod exit_filter;
mod filter_chain;
mod key_filter;
mod limit_filter;

pub use {
    admission_filter::expected_stages_time,
    filter_chain::{FilterChain, FilterResult, RequestFilter},
    key_filter::{find_key_owner, stale_keys_refusal},
};
