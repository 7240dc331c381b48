//! A small HTTP client for tests and examples.

use {
    anyhow::{Context, Result},
    bytes::Bytes,
    http::{HeaderMap, Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::TokioExecutor,
    },
    serde_json::Value,
    std::net::SocketAddr,
};

/// A response with its body read to the end.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as text; invalid UTF-8 is replaced.
    pub text: String,
}

impl Answer {
    /// Parses the body as JSON; returns null if it is invalid.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

/// HTTP client that reuses its connections.
#[derive(Clone, Debug)]
pub struct TestClient(Client<HttpConnector, Full<Bytes>>);

impl Default for TestClient {
    fn default() -> Self {
        Self(Client::builder(TokioExecutor::new()).build_http())
    }
}

impl TestClient {
    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is invalid or there is no complete response.
    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = self
            .0
            .request(request.body(Full::new(body.into()))?)
            .await
            .with_context(|| format!("{addr}{path}"))?;
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await?.to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            text: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }
}
