use {
    actix_http::StatusCode,
    anyhow::{Context, anyhow},
    awc::{Client, ClientRequest},
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Size limit of an answer's body; a longer one is an error.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client with one timeout for the whole exchange, from the connection to the end of the
/// answer's body. It follows no redirects.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl HttpClient {
    pub fn new() -> Self {
        let builder = Client::builder().disable_timeout().disable_redirects();
        Self {
            client: builder.finish(),
        }
    }

    /// Sends a GET request with at most one extra header. Returns status and body; fails if they
    /// have not arrived in `timeout`.
    pub async fn get(
        &self,
        url: &str,
        header: Option<(&'static str, String)>,
        timeout: Duration,
    ) -> anyhow::Result<(StatusCode, Vec<u8>)> {
        let mut request = self.client.get(url);
        if let Some((name, value)) = header {
            request = request.insert_header((name, value));
        }
        let exchange = run_exchange(request, None);
        let answer = actix_rt::time::timeout(timeout, exchange).await;
        answer.with_context(|| format!("{url}: no answer within {timeout:?}"))?
    }

    /// Posts JSON unless `expires_at` has passed, which is checked right before the request is
    /// sent. Returns status and body; fails if they have not arrived by then.
    pub async fn post(
        &self,
        url: &str,
        body: &impl Serialize,
        expires_at: Instant,
    ) -> anyhow::Result<(StatusCode, Vec<u8>)> {
        let body = serde_json::to_vec(body)?;
        let time_left = expires_at.saturating_duration_since(Instant::now());
        anyhow::ensure!(
            !time_left.is_zero(),
            "{url}: not sent, the lease has expired"
        );
        let exchange = run_exchange(self.client.post(url), Some(body));
        let answer = actix_rt::time::timeout(time_left, exchange).await;
        answer.with_context(|| format!("{url}: no answer within {time_left:?}"))?
    }
}

/// Sends a request, with a JSON body if there is one, and reads the whole answer.
async fn run_exchange(
    request: ClientRequest,
    body: Option<Vec<u8>>,
) -> anyhow::Result<(StatusCode, Vec<u8>)> {
    let sent = match body {
        Some(body) => {
            request
                .content_type("application/json")
                .send_body(body)
                .await
        }
        None => request.send().await,
    };
    let mut reply = sent.map_err(|error| anyhow!("{error}"))?;
    let body = reply.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| anyhow!("{error}"))?;
    Ok((reply.status(), body.to_vec()))
}
