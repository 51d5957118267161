use {
    route::PromptPart,
    std::{fmt, time::Duration},
};

/// Headers in their order; names are in lower case.
pub type HeaderList = Vec<(String, Vec<u8>)>;

/// What a caller says of its request before the body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Method.
    pub method: String,
    /// Path with its query, as it came.
    pub path: String,
    /// Host that the caller names, without a port.
    pub host: String,
    /// Id of this send.
    pub request_id: String,
    /// Key of an organisation.
    pub api_key: Option<String>,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Parts of the prompt.
    pub prompt: Vec<PromptPart>,
    /// Pieces of each stage.
    pub piece_counts: Vec<u16>,
    /// What the pieces of first stages are made from.
    pub piece_key: Option<String>,
    /// Last event that the caller has of a stream that it resumes.
    pub last_event_id: Option<String>,
    /// Headers to be passed on.
    pub headers: HeaderList,
}

impl CallerHead {
    /// The path without its query.
    pub fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// Why the head of a request is not understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadFault {
    /// Header or part that is wrong.
    pub part: String,
    /// What is wrong with it.
    pub text: String,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.part, self.text)
    }
}

/// First value of a header as text.
///
/// ```
/// let headers = vec![(String::from("a"), b"1".to_vec())];
/// assert_eq!(relay::header_value(&headers, "a"), Some("1"));
/// ```
pub fn header_value<'a>(headers: &'a HeaderList, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.and_then(|(_, value)| std::str::from_utf8(value).ok())
}
