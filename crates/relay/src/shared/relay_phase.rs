/// Where the process stands in its life; it only goes forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayPhase {
    /// It knows no configuration yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It was told to end: it finishes what it has and what still comes, and is offered to nobody.
    Leaving,
}
