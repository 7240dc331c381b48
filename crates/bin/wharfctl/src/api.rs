//! Calls to the HTTP interfaces of a host.

use {
    crate::failure::Failure,
    anyhow::{anyhow, Context, Error, Result},
    clap::ArgMatches,
    http::{header, request::Builder, Method, Request, StatusCode},
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

    /// Calls the administration API and returns its answer, also a refusal.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub(crate) async fn send(&self, call: &Call) -> Result<Reply> {
        let mut request = Request::builder()
            .method(&call.method)
            .uri(format!("http://{}{}", self.addr, call.path))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        exchange(&self.client, request, call.body.clone()).await
    }
}

/// One call to the administration API.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl Call {
    /// Creates a read.
    pub(crate) fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: String::new(),
            headers: Vec::new(),
        }
    }
}

/// An answer, which may be a refusal.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) text: String,
}

impl Reply {
    /// Returns the body.
    ///
    /// # Errors
    ///
    /// Returns the refusal, if it is one.
    pub(crate) fn success(self) -> Result<String> {
        if self.status.is_success() {
            return Ok(self.text);
        }
        Err(self.error())
    }

    /// Returns the refusal as an error for people.
    pub(crate) fn error(&self) -> Error {
        match serde_json::from_str(&self.text) {
            Ok(problem) => Failure::Refused(problem).into(),
            Err(_) => anyhow!("{}: {}", self.status, self.text),
        }
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
    exchange(client, request, body).await?.success()
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Builder,
    body: String,
) -> Result<Reply> {
    let request = request.body(Full::new(Bytes::from(body)))?;
    let uri = request.uri().clone();
    let response = client.request(request).await.map_err(|error| {
        let is_unsent = error.is_connect();
        let error = Error::from(error).context(format!("{uri} does not answer"));
        match is_unsent {
            true => Failure::Unreachable(format!("{error:#}")).into(),
            false => error,
        }
    })?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Reply { status, text })
}
