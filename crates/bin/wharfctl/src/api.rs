//! Calls to the HTTP interfaces of a host.

use {
    anyhow::{bail, Context, Result},
    clap::ArgMatches,
    http::{header, request::Builder, Method, Request},
    http_body_util::{BodyExt, Full},
    hyper::body::Bytes,
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::TokioExecutor,
    },
};

/// Client of the administration API of one host.
pub(crate) struct Api {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: String,
    token: String,
}

impl Api {
    /// Creates a client from the global flags.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self> {
        let text = |name: &str| -> Result<String> {
            matches
                .get_one::<String>(name)
                .cloned()
                .with_context(|| format!("--{name} is needed"))
        };
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            addr: text("admin-addr")?,
            token: text("admin-token")?,
        })
    }

    /// Calls the administration API and returns the body of its answer.
    pub(crate) async fn call(&self, method: Method, path: &str, body: String) -> Result<String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        send(&self.client, request, body).await
    }
}

/// Sends a request and returns the body of the answer.
///
/// # Errors
///
/// Returns the body as the error if the status tells of one.
pub(crate) async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Builder,
    body: String,
) -> Result<String> {
    let request = request.body(Full::new(Bytes::from(body)))?;
    let uri = request.uri().clone();
    let response = client
        .request(request)
        .await
        .with_context(|| format!("{uri} does not answer"))?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if !status.is_success() {
        bail!("{status}: {text}");
    }
    Ok(text)
}
