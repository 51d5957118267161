use {
    crate::{CallIdentity, FailureReport},
    serde::{Deserialize, Serialize},
};

/// One line of a streamed answer (JSON, one object a line).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// First line of a target's stream: which call it answers.
    Begin {
        /// The call that is answered.
        call: CallIdentity,
    },
    /// The next piece of the answer.
    Token {
        /// Position of the token in the whole answer, from 0.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole.
    End {
        /// Number of tokens in the whole answer.
        tokens: u64,
        /// Bytes of all token texts together.
        length: u64,
        /// Digest of all token texts together, hexadecimal.
        digest: String,
    },
    /// The answer is not whole and never will be.
    Failed {
        /// What may be said of the request.
        report: FailureReport,
    },
}

impl StreamEvent {
    /// The event as one line of a stream, with its line feed.
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

    /// Reads one line of a stream.
    ///
    /// # Errors
    ///
    /// Fails if the line is not one event in JSON.
    pub fn from_line(line: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(line)
    }
}
