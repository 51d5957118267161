use {
    crate::dialect::{CallerHead, HeadFault, HeaderList, RelayRefusal, ReplyOwner, WireCall},
    std::{net::SocketAddr, time::Duration},
};

/// A caller's query for the addresses of entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Data centre in or near which the caller is; `None` if it does not say.
    pub data_centre: Option<String>,
}

/// A caller's request as it is handed over to another entry.
#[derive(Debug, Clone)]
pub struct HopRequest<'a> {
    /// Head of the caller's request.
    pub head: &'a CallerHead,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Id of the last event that the caller has, if it has some of a stream.
    pub last_event_id: Option<&'a str>,
    /// Id of the caller's try that brought the first event of the stream, if it is known.
    pub resumes: Option<&'a str>,
}

/// Translates between the HTTP messages of callers and the types of this crate.
pub trait CallerDialect {
    /// Parses the head of a request; `path` includes the query.
    ///
    /// # Errors
    ///
    /// Names the header or part that is missing or malformed.
    fn read_head(
        &self,
        method: &str,
        path: &str,
        headers: HeaderList,
    ) -> Result<CallerHead, HeadFault>;

    /// Returns the call that hands a request over to another entry, which reads it like a caller's;
    /// its body is left empty.
    fn write_hop(&self, request: &HopRequest<'_>) -> WireCall;

    /// Returns which request another entry's answer to a request that was handed over answers.
    fn read_hop_owner(&self, request_id: &str, headers: &HeaderList) -> ReplyOwner;

    /// Returns the status, headers and body that tell the caller of a request of its refusal; the id
    /// is empty if the request has none.
    fn write_refusal(&self, request_id: &str, refusal: &RelayRefusal)
    -> (u16, HeaderList, Vec<u8>);

    /// Parses a query for the addresses of entries; `None` if the path, with its query, is of
    /// another kind.
    fn read_address_query(&self, path: &str) -> Option<AddressQuery>;

    /// Returns a body with the addresses of entries, which a caller may cache for the time `ttl`.
    fn write_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;

    /// Returns true if this is the path of the readiness check.
    fn is_readiness_query(&self, path: &str) -> bool;
}
