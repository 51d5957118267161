use {
    crate::{dialect::HeaderList, memory::CallBody},
    bytes::Bytes,
};

/// An HTTP request as a dialect builds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireCall {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderList,
    /// Body; may be empty.
    pub body: CallBody,
}

impl WireCall {
    /// Creates a `GET` call without headers and body.
    ///
    /// ```
    /// assert_eq!(relay::WireCall::get("/x").method, "GET");
    /// ```
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: String::from("GET"),
            path: path.into(),
            headers: HeaderList::new(),
            body: CallBody::default(),
        }
    }

    /// Creates a `POST` call with a JSON body.
    ///
    /// ```
    /// assert_eq!(relay::WireCall::post_json("/x", b"{}".to_vec()).method, "POST");
    /// ```
    pub fn post_json(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        let content_type = (String::from("content-type"), b"application/json".to_vec());
        Self {
            method: String::from("POST"),
            path: path.into(),
            headers: vec![content_type],
            body: CallBody::from(body),
        }
    }
}
