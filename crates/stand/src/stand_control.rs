use serde::{Deserialize, Serialize};

/// Behaviour of a target stand-in, with the faults that it injects; the body of `POST /control`
/// holds the keys to change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StandControl {
    /// Service time of a plain call in milliseconds.
    pub delay_ms: f64,
    /// Time between two tokens of a stream that runs alone, in milliseconds.
    pub token_ms: f64,
    /// Time before the first token if the prompt's prefix is not cached, in milliseconds.
    pub prefill_ms: f64,
    /// Time that loading one model takes, in milliseconds.
    pub load_ms: f64,
    /// Share of `token_ms` that each further running stream adds to the time between tokens.
    pub batch_cost: f64,
    /// Divisor of every service time.
    pub speed: f64,
    /// Random spread: service times are multiplied by a factor in `1 - spread ..= 1 + spread`.
    pub spread: f64,
    /// Share of the calls, from 0 to 1, that are answered with an error without running.
    pub fail_share: f64,
    /// Refuse every call and state that it did not run.
    pub refuse: bool,
    /// Report that the target is leaving.
    pub leaving: bool,
    /// Crash after the work of the next call is applied, before its answer is complete.
    pub die_after_work: bool,
    /// Crash once a stream has sent this number of tokens.
    pub die_after_tokens: Option<u64>,
    /// Close every idle connection now, without notice to the client; reset to `false` afterwards.
    pub close_pooled: bool,
    /// Plain service: answer each call with the whole reply to the previous one. Engine: send each
    /// token twice.
    pub reply_twice: bool,
    /// Answer with an attempt number that is one too high.
    pub wrong_identity: bool,
    /// Send only half of each answer, with the length and digest of the whole one if they are sent.
    pub cut_answer: bool,
}

impl Default for StandControl {
    fn default() -> Self {
        Self {
            delay_ms: 5.0,
            token_ms: 5.0,
            prefill_ms: 0.0,
            load_ms: 0.0,
            batch_cost: 0.05,
            speed: 1.0,
            spread: 0.0,
            fail_share: 0.0,
            refuse: false,
            leaving: false,
            die_after_work: false,
            die_after_tokens: None,
            close_pooled: false,
            reply_twice: false,
            wrong_identity: false,
            cut_answer: false,
        }
    }
}

impl StandControl {
    /// Returns the control with the values of a JSON object in place of its own.
    ///
    /// # Errors
    ///
    /// Fails if the text is no JSON object, or a key is unknown or of the wrong type.
    ///
    /// ```
    /// use stand::StandControl;
    ///
    /// let control = StandControl::default().patched(br#"{"refuse": true}"#).unwrap();
    /// assert!(control.refuse);
    /// assert!(control.patched(br#"{"refused": true}"#).is_err());
    /// ```
    pub fn patched(&self, patch: &[u8]) -> Result<Self, serde_json::Error> {
        let patch: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(patch)?;
        let mut values = serde_json::to_value(self)?;
        if let Some(values) = values.as_object_mut() {
            values.extend(patch);
        }
        serde_json::from_value(values)
    }
}
