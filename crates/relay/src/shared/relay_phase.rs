/// Phase of the process; phases are passed in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayPhase {
    /// The process has not read a configuration from the store yet.
    Starting,
    /// The process accepts requests.
    Serving,
    /// The process got SIGTERM: it reports that it is not ready, but still serves running and new
    /// requests for a while, since callers cache its address.
    Leaving,
}
