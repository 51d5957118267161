use std::fmt::Write;

/// Tokens of an answer whose input does not say how many it wants.
const DEFAULT_TOKENS: u64 = 16;
/// Words in front of the number of tokens that an input wants.
const TOKENS_KEY: &[u8] = b"tokens=";
/// Hexadecimal digits of the input's digest in a plain answer.
const PLAIN_DIGITS: usize = 16;
/// Hexadecimal digits of the digest in a token.
const TOKEN_DIGITS: usize = 8;

/// What a stage's target does with its input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EchoStage {
    /// A plain service, with the kind of call.
    Plain(String),
    /// A model engine.
    Engine,
}

/// What the stand-ins answer to a call, so that tests can compute the right answer.
///
/// A plain service answers with its input, a line feed, and the line
/// `{call} {customer}/{request} {first 16 digits of the input's BLAKE3 digest}`.
///
/// Token `i` of an engine is `{customer}/{request}#{i}:{8 digits} `, where the digits begin the
/// BLAKE3 digest of the input followed by `i` in decimal. The number of tokens is the number
/// after the last `tokens=` of the input, else 16.
#[derive(Debug, Clone)]
pub struct EchoRule {
    customer: String,
    request: String,
    input: Vec<u8>,
    hasher: blake3::Hasher,
}

impl EchoRule {
    /// Rule for one input of one request.
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

    /// Answer of a plain service to a call of this kind.
    pub fn plain_answer(&self, call: &str) -> Vec<u8> {
        let digest = self.hasher.finalize().to_hex();
        let (customer, request) = (&self.customer, &self.request);
        let line = format!("\n{call} {customer}/{request} {}", &digest[..PLAIN_DIGITS]);
        [self.input.as_slice(), line.as_bytes()].concat()
    }

    /// Number of tokens in an engine's whole answer.
    pub fn token_count(&self) -> u64 {
        let key = TOKENS_KEY.len();
        let found = self.input.windows(key).rposition(|word| word == TOKENS_KEY);
        let Some(start) = found else {
            return DEFAULT_TOKENS;
        };
        let digits = self.input[start + key..]
            .iter()
            .take_while(|byte| byte.is_ascii_digit())
            .map(|byte| char::from(*byte));
        let digits: String = digits.collect();
        digits.parse().unwrap_or(DEFAULT_TOKENS)
    }

    /// Text of one token of an engine's answer.
    pub fn token_text(&self, index: u64) -> String {
        let mut hasher = self.hasher.clone();
        hasher.update(index.to_string().as_bytes());
        let digest = hasher.finalize().to_hex();
        let mut token = format!("{}/{}#{index}:", self.customer, self.request);
        let _ = write!(token, "{} ", &digest[..TOKEN_DIGITS]);
        token
    }

    /// All token texts of an engine's answer, one after another.
    pub fn engine_answer(&self) -> Vec<u8> {
        let tokens = (0..self.token_count()).map(|index| self.token_text(index));
        tokens.collect::<String>().into_bytes()
    }

    /// Answer of a pipeline whose stages take in each other's answers.
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
