//! What becomes of each request: every one that was read whole has exactly one end, by name.

mod open_request;
mod panic_mark;
mod request_end;
mod request_guard;
mod request_ledger;
mod request_place;

pub use {
    open_request::OpenRequest, panic_mark::PanicMark, request_end::RequestEnd,
    request_guard::RequestGuard, request_ledger::RequestLedger, request_place::RequestPlace,
};
