use std::fmt::Write;

/// Number of tokens in an answer whose input does not name one.
const DEFAULT_TOKEN_COUNT: u64 = 16;
/// Text in an input that precedes the number of tokens wanted.
const TOKEN_COUNT_KEY: &[u8] = b"tokens=";
/// Hexadecimal digits of the input's digest in the answer of a plain service.
const PLAIN_DIGEST_DIGITS: usize = 16;
/// Hexadecimal digits of the digest in a token.
const TOKEN_DIGEST_DIGITS: usize = 8;

/// Kind of target that a stage of a pipeline calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EchoStage {
    /// A plain service, called with this kind of call.
    Plain(String),
    /// A model engine.
    Engine,
}

/// Computes what the target stand-ins answer to a call; tests compute the expected answer with it.
///
/// A plain service answers with its input, a line feed, and the line
/// `{call} {customer}/{request} {first 16 digits of the input's BLAKE3 digest}`, which has no line
/// feed at its end.
///
/// Token `i` of an engine is `{customer}/{request}#{i}:{8 digits} `, where the digits are the first
/// of the BLAKE3 digest of the input followed by `i` in decimal. The number of tokens is the number
/// after the last `tokens=` in the input, or 16 if there is none.
#[derive(Debug, Clone)]
pub struct EchoRule {
    customer: String,
    request: String,
    input: Vec<u8>,
    hasher: blake3::Hasher,
}

impl EchoRule {
    /// Creates the rule for one input of one request.
    ///
    /// ```
    /// let rule = stand::EchoRule::new("farm", "r1", b"hay tokens=2");
    /// assert!(rule.plain_answer("encode").starts_with(b"hay tokens=2\nencode farm/r1 "));
    /// assert_eq!(rule.token_count(), 2);
    /// assert!(rule.token_text(1).starts_with("farm/r1#1:"));
    /// let tokens = [rule.token_text(0), rule.token_text(1)];
    /// assert_eq!(rule.engine_answer(), tokens.concat().into_bytes());
    /// ```
    pub fn new(customer: impl Into<String>, request: impl Into<String>, input: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(input);
        Self {
            customer: customer.into(),
            request: request.into(),
            input: input.to_vec(),
            hasher,
        }
    }

    /// Returns a plain service's answer to a call of this kind.
    pub fn plain_answer(&self, call: &str) -> Vec<u8> {
        let digest = self.hasher.finalize().to_hex();
        let (customer, request) = (&self.customer, &self.request);
        let line = format!(
            "\n{call} {customer}/{request} {}",
            &digest[..PLAIN_DIGEST_DIGITS]
        );
        [self.input.as_slice(), line.as_bytes()].concat()
    }

    /// Returns the number of tokens in an engine's whole answer.
    pub fn token_count(&self) -> u64 {
        let key_length = TOKEN_COUNT_KEY.len();
        let found = self
            .input
            .windows(key_length)
            .rposition(|word| word == TOKEN_COUNT_KEY);
        let Some(start) = found else {
            return DEFAULT_TOKEN_COUNT;
        };
        let digits = self.input[start + key_length..]
            .iter()
            .take_while(|byte| byte.is_ascii_digit())
            .map(|byte| char::from(*byte));
        let digits: String = digits.collect();
        digits.parse().unwrap_or(DEFAULT_TOKEN_COUNT)
    }

    /// Returns the text of the token at this index of an engine's answer.
    pub fn token_text(&self, index: u64) -> String {
        let mut hasher = self.hasher.clone();
        hasher.update(index.to_string().as_bytes());
        let digest = hasher.finalize().to_hex();
        let mut token = format!("{}/{}#{index}:", self.customer, self.request);
        let _ = write!(token, "{} ", &digest[..TOKEN_DIGEST_DIGITS]);
        token
    }

    /// Returns an engine's whole answer: the texts of all tokens, one after another.
    pub fn engine_answer(&self) -> Vec<u8> {
        let tokens = (0..self.token_count()).map(|index| self.token_text(index));
        tokens.collect::<String>().into_bytes()
    }

    /// Returns the answer of a pipeline in which each stage's input is the answer of the stage
    /// before it.
    ///
    /// ```
    /// use stand::{EchoRule, EchoStage};
    ///
    /// let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
    /// let encoded = EchoRule::new("farm", "r1", b"hay").plain_answer("encode");
    /// let answer = EchoRule::new("farm", "r1", &encoded).engine_answer();
    /// assert_eq!(EchoRule::pipeline_answer("farm", "r1", b"hay", &stages), answer);
    /// ```
    pub fn pipeline_answer(
        customer: &str,
        request: &str,
        input: &[u8],
        stages: &[EchoStage],
    ) -> Vec<u8> {
        stages.iter().fold(input.to_vec(), |input, stage| {
            let rule = Self::new(customer, request, &input);
            match stage {
                EchoStage::Plain(call) => rule.plain_answer(call),
                EchoStage::Engine => rule.engine_answer(),
            }
        })
    }
}
