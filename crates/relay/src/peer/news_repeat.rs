use std::time::Duration;

/// Number of rounds in which news are told again, since datagrams may be lost.
const REPEAT_ROUNDS: u32 = 2;

/// Counts the gossip rounds in which news are told again.
#[derive(Debug, Default)]
pub struct NewsRepeat {
    rounds_left: u32,
}

impl NewsRepeat {
    /// Maximum age of what is told as news; it covers the rounds in which they are told again.
    pub const MAX_AGE: Duration = Duration::from_secs(2);

    /// Starts over, when there are news.
    pub fn start(&mut self) {
        self.rounds_left = REPEAT_ROUNDS;
    }

    /// Returns true if news are told again in this round.
    pub fn is_due(&mut self) -> bool {
        let is_due = self.rounds_left > 0;
        self.rounds_left = self.rounds_left.saturating_sub(1);
        is_due
    }
}
