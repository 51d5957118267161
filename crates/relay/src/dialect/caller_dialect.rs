use {
    crate::dialect::{CallerHead, HeadFault, HeaderList, RelayRefusal},
    std::{net::SocketAddr, time::Duration},
};

/// How callers speak: their requests, refusals to them, and their question for addresses.
pub trait CallerDialect {
    /// Reads the head of a request; `path` holds the query too.
    ///
    /// # Errors
    ///
    /// Names the part that is not understood.
    fn read_head(
        &self,
        method: &str,
        path: &str,
        headers: HeaderList,
    ) -> Result<CallerHead, HeadFault>;

    /// Status, headers and body of a refusal.
    fn write_refusal(&self, refusal: &RelayRefusal) -> (u16, HeaderList, Vec<u8>);

    /// True if the path asks for the addresses of entries.
    fn is_address_query(&self, path: &str) -> bool;

    /// Body with the addresses of entries, to be kept for the given time.
    fn write_addresses(&self, addresses: &[SocketAddr], keep: Duration) -> Vec<u8>;

    /// True if the path asks whether this process takes requests.
    fn is_readiness_query(&self, path: &str) -> bool;
}
