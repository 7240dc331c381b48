//! HTTP client for the APIs of a host.

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
    /// Creates a client from the global flags of the command line.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self> {
        let text = |name: &str| -> Result<String> {
            matches
                .get_one::<String>(name)
                .cloned()
                .with_context(|| format!("--{name} is required"))
        };
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            addr: text("admin-addr")?,
            token: text("admin-token")?,
        })
    }

    /// Sends a request and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub(crate) async fn send(&self, api_request: &ApiRequest) -> Result<ApiResponse> {
        let mut request = Request::builder()
            .method(&api_request.method)
            .uri(format!("http://{}{}", self.addr, api_request.path))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in &api_request.headers {
            request = request.header(*name, value);
        }
        send_request(&self.client, request, api_request.body.clone()).await
    }
}

/// A request to the administration API.
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl ApiRequest {
    /// Creates a GET request.
    pub(crate) fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: String::new(),
            headers: Vec::new(),
        }
    }
}

/// A response with any status.
pub(crate) struct ApiResponse {
    pub(crate) status: StatusCode,
    pub(crate) text: String,
}

impl ApiResponse {
    /// Returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is not a success.
    pub(crate) fn into_text(self) -> Result<String> {
        if self.status.is_success() {
            return Ok(self.text);
        }
        Err(self.error())
    }

    /// Converts an unsuccessful response to an error.
    pub(crate) fn error(&self) -> Error {
        match serde_json::from_str(&self.text) {
            Ok(problem) => Failure::Refused(problem).into(),
            Err(_) => anyhow!("{}: {}", self.status, self.text),
        }
    }
}

/// Sends a request and returns the body of the response.
///
/// # Errors
///
/// Returns an error if no response arrives or its status is not a success.
pub(crate) async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Builder,
    body: String,
) -> Result<String> {
    send_request(client, request, body).await?.into_text()
}

async fn send_request(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Builder,
    body: String,
) -> Result<ApiResponse> {
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
    Ok(ApiResponse { status, text })
}
