use {
    crate::{
        dialect::WireCall,
        memory::BodyReader,
        target::{CallFault, hop_headers::is_hop_header},
    },
    hyper::{
        Request, StatusCode,
        header::{CONTENT_LENGTH, HOST},
    },
    std::net::SocketAddr,
};

/// Returns true for a status that an answer can have: HTTP has none from 600 on, and those below 200 come before the
/// answer. What has another one shows nothing, whatever else it says.
pub(super) fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Why a send got no head of an answer.
pub(super) enum SendFailure {
    /// The connection was closed before anything was sent; holds the request.
    Unsent(Box<Request<BodyReader>>),
    /// The call failed in another way, perhaps after the request was sent.
    Fault(CallFault),
}

/// Returns the message that carries a call to an address.
pub(super) fn build_request(
    address: SocketAddr,
    call: WireCall,
) -> Result<Request<BodyReader>, CallFault> {
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str());
    let mut has_host = false;
    for (name, value) in &call.headers {
        has_host |= name == HOST.as_str();
        if !is_hop_header(name) && name != CONTENT_LENGTH.as_str() {
            builder = builder.header(name.as_str(), value.as_slice());
        }
    }
    if !has_host {
        builder = builder.header(HOST, address.to_string());
    }
    let request = builder.body(BodyReader::new(call.body));
    request.map_err(|error| CallFault::NotSent(error.to_string()))
}
