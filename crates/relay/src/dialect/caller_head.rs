use {
    route::PromptPart,
    std::{fmt, time::Duration},
};

/// Headers in the order in which they arrived; names are in lower case.
pub type HeaderList = Vec<(String, Vec<u8>)>;

/// Head of a caller's request: all that precedes the body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// HTTP method.
    pub method: String,
    /// Path with its query, unchanged.
    pub path: String,
    /// Value of the `Host` header without the port; routes are chosen by it.
    pub host: String,
    /// Id that the caller gives to this request.
    pub request_id: String,
    /// Key by which the organisation is identified, if one was sent.
    pub api_key: Option<String>,
    /// Time for which the caller waits for the answer, if it says so.
    pub timeout: Option<Duration>,
    /// Parts of the prompt in order; empty if the caller names none.
    pub prompt: Vec<PromptPart>,
    /// Number of pieces of each stage, by the index of the stage.
    pub piece_counts: Vec<u16>,
    /// Key of the input of stages that use no other stage's results.
    pub piece_key: Option<String>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Id of the caller's try that brought the first event of the stream, if it resumes one.
    pub resumes: Option<String>,
    /// Headers to be passed on to the target.
    pub headers: HeaderList,
}

impl CallerHead {
    /// Returns true if the caller has events of a stream and asks for the rest.
    pub fn is_resumption(&self) -> bool {
        self.last_event_id.is_some() || self.resumes.is_some()
    }

    /// Returns the path without its query.
    pub fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// Why the head of a request cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadFault {
    /// Name of the header or part.
    pub part: String,
    /// What is wrong with it, such as "is missing".
    pub text: String,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.part, self.text)
    }
}

/// Returns the first value of a header, or `None` if there is none or it is not UTF-8.
///
/// ```
/// let headers = vec![(String::from("a"), b"1".to_vec())];
/// assert_eq!(relay::header_value(&headers, "a"), Some("1"));
/// ```
pub fn header_value<'a>(headers: &'a HeaderList, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.and_then(|(_, value)| std::str::from_utf8(value).ok())
}
