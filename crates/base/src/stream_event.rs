use {
    crate::{CallIdentity, FailureReport},
    serde::{Deserialize, Serialize},
};

/// One event of a streamed answer, sent as one JSON object per line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// First event of a target's stream; names the call that is answered.
    Begin {
        /// Identity of the call, which must be that of the entry's call.
        call: CallIdentity,
    },
    /// Next token of the answer.
    Token {
        /// Position of the token in the complete answer, from 0.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    End {
        /// Number of tokens in the complete answer.
        tokens: u64,
        /// Total length of all token texts in bytes.
        length: u64,
        /// Digest of the concatenated token texts, hexadecimal.
        digest: String,
    },
    /// The answer is incomplete and no further event follows.
    Failed {
        /// Reason, verdict and advice for a retry.
        report: FailureReport,
    },
}

impl StreamEvent {
    /// Encodes the event as one line, including the line feed.
    ///
    /// ```
    /// use base::StreamEvent;
    ///
    /// let event = StreamEvent::Token { index: 0, text: String::from("hay") };
    /// let line = event.to_line();
    /// assert_eq!(StreamEvent::from_line(&line).unwrap(), event);
    /// ```
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Decodes one line of a stream.
    ///
    /// # Errors
    ///
    /// Fails if the line is not exactly one event in JSON.
    pub fn from_line(line: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(line)
    }
}
