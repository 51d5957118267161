use serde::{Deserialize, Serialize};

/// Behaviour of a target stand-in; `POST /control` changes the keys that it names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StandControl {
    /// Service time of a plain call in milliseconds.
    pub delay_ms: f64,
    /// Time between two tokens of a lone stream in milliseconds.
    pub token_ms: f64,
    /// Time before the first token if the prompt's prefix is not cached, in milliseconds.
    pub prefill_ms: f64,
    /// Time that loading one model takes, in milliseconds.
    pub load_ms: f64,
    /// Share by which each further stream lengthens the time between tokens.
    pub batch_cost: f64,
    /// Every service time is divided by this.
    pub speed: f64,
    /// Service times are scaled by a random factor in `1 - spread ..= 1 + spread`.
    pub spread: f64,
    /// Share of the calls that fail at once with an error, without running.
    pub fail_share: f64,
    /// Refuse every call as not run.
    pub refuse: bool,
    /// Report that the target is leaving.
    pub leaving: bool,
    /// Exit after the work of the next call, before its answer.
    pub die_after_work: bool,
    /// Exit after this number of tokens of one stream.
    pub die_after_tokens: Option<u64>,
    /// Close every idle connection now, without a word to its client; done once.
    pub close_pooled: bool,
    /// Answer each call with the whole reply of the call before; an engine sends tokens twice.
    pub reply_twice: bool,
    /// Answer with the identity of another attempt.
    pub wrong_identity: bool,
    /// Cut answers to half of what they declare.
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
    /// The control with the keys of a JSON object changed.
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
        let mut keys = serde_json::to_value(self)?;
        if let Some(keys) = keys.as_object_mut() {
            keys.extend(patch);
        }
        serde_json::from_value(keys)
    }
}
