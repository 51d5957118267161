mod caller_dialect;
mod caller_head;
mod relay_refusal;
mod reply_owner;
mod store_dialect;
mod target_dialect;
mod wire_call;
mod wire_fault;

pub use {
    caller_dialect::{AddressQuery, CallerDialect, HopRequest},
    caller_head::{CallerHead, HeadFault, HeaderList, header_value},
    relay_refusal::RelayRefusal,
    reply_owner::ReplyOwner,
    store_dialect::{
        ALL_ITEMS_SCHEMA, KEY_RULE_SCHEMA, StoreChanges, StoreDialect, StoreItem, StorePage,
    },
    target_dialect::{ReplyHead, ReplyOutcome, TargetDialect, TargetRequest},
    wire_call::WireCall,
    wire_fault::WireFault,
};
