use {
    actix_http::StatusCode,
    anyhow::{Context, anyhow},
    awc::{Client, ClientRequest},
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Longest answer that is read, in bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Sends HTTP requests with one time limit for the whole exchange.
#[derive(Clone)]
pub struct HttpReader {
    client: Client,
}

impl HttpReader {
    pub fn new() -> Self {
        let builder = Client::builder().disable_timeout().disable_redirects();
        Self {
            client: builder.finish(),
        }
    }

    /// Reads a URL.
    pub async fn get(
        &self,
        url: &str,
        header: Option<(&'static str, String)>,
        limit: Duration,
    ) -> anyhow::Result<(StatusCode, Vec<u8>)> {
        let mut request = self.client.get(url);
        if let Some((name, value)) = header {
            request = request.insert_header((name, value));
        }
        let exchange = finish(request, None);
        let answer = actix_rt::time::timeout(limit, exchange).await;
        answer.with_context(|| format!("{url}: no answer in {limit:?}"))?
    }

    /// Posts JSON unless it is too late; the clock is looked at right before the request is sent.
    pub async fn post(
        &self,
        url: &str,
        body: &impl Serialize,
        expires_at: Instant,
    ) -> anyhow::Result<(StatusCode, Vec<u8>)> {
        let body = serde_json::to_vec(body)?;
        let left = expires_at.saturating_duration_since(Instant::now());
        anyhow::ensure!(!left.is_zero(), "{url}: not sent, the lease is over");
        let exchange = finish(self.client.post(url), Some(body));
        let answer = actix_rt::time::timeout(left, exchange).await;
        answer.with_context(|| format!("{url}: no answer in {left:?}"))?
    }
}

async fn finish(
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
    let body = reply.body().limit(ANSWER_BYTES).await;
    let body = body.map_err(|error| anyhow!("{error}"))?;
    Ok((reply.status(), body.to_vec()))
}
