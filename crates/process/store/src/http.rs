//! Client of the platform's HTTP interface.

use {
    crate::{
        EraTracker, Expected, Fault, KeyRevision, LeaseId, ListedHost, Platform, StoreEra, Value,
    },
    bytes::Bytes,
    http::{header, Method, Request, StatusCode, Uri},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::TokioExecutor,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Header with the revision of a key.
const KEY_REVISION_HEADER: &str = "x-key-revision";
/// Header with the era of the store; a response without it is from era 0.
const ERA_HEADER: &str = "store-era";
/// Maximum size of a response in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1_024 * 1_024;

/// Client of the platform's HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    call_timeout: Duration,
    eras: EraTracker,
}

/// Request and response body of a lease grant.
#[derive(Deserialize, Serialize)]
struct LeaseBody {
    id: LeaseId,
    ttl_ms: u64,
}

/// Response of the platform, read to its end.
struct Reply {
    status: StatusCode,
    key_revision: Option<KeyRevision>,
    era: StoreEra,
    bytes: Bytes,
}

impl HttpPlatform {
    /// Creates a client for the platform at `addr`.
    pub fn new(addr: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            addr,
            call_timeout,
            eras: EraTracker::default(),
        }
    }

    /// Returns the latest era that any response has named.
    ///
    /// Revisions and leases of an earlier era may have been issued again since. A response
    /// of an earlier era fails with [`Fault::Unknown`].
    pub fn eras(&self) -> &EraTracker {
        &self.eras
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Reply, Fault> {
        let uri: Uri = format!("http://{}{path}", self.addr)
            .parse()
            .map_err(|_| Fault::Unreachable(format!("'{path}' is not a valid request path")))?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Fault::Unreachable(e.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                if e.is_connect() {
                    Fault::Unreachable(e.to_string())
                } else {
                    Fault::Unknown(e.to_string())
                }
            })?;
            let (parts, body) = response.into_parts();
            let bytes = Limited::new(body, MAX_REPLY_BYTES)
                .collect()
                .await
                .map_err(|e| Fault::Unknown(e.to_string()))?
                .to_bytes();
            let number = |name| {
                let value = parts.headers.get(name)?;
                value.to_str().ok()?.parse().ok()
            };
            Ok(Reply {
                status: parts.status,
                key_revision: number(KEY_REVISION_HEADER),
                era: number(ERA_HEADER).unwrap_or_default(),
                bytes,
            })
        };
        let reply = timeout(self.call_timeout + wait, exchange)
            .await
            .map_err(|_| Fault::Unknown("no reply within the timeout".to_owned()))??;
        self.eras.on_response(reply.era)?;
        Ok(reply)
    }
}

impl Reply {
    fn into_value(self) -> Result<Option<Value>, Fault> {
        match (self.status, self.key_revision) {
            (StatusCode::OK, Some(key_revision)) => Ok(Some(Value {
                key_revision,
                bytes: self.bytes,
            })),
            (StatusCode::NOT_FOUND | StatusCode::NO_CONTENT, _) => Ok(None),
            _ => Err(self.into_fault()),
        }
    }

    fn into_fault(self) -> Fault {
        let detail = format!("the platform responded with status {}", self.status);
        match self.status {
            StatusCode::PRECONDITION_FAILED => Fault::Conflict,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Fault::Unreachable(detail)
            }
            _ => Fault::Unknown(detail),
        }
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Value>, Fault> {
        self.call(
            Method::GET,
            &format!("/v1/kv/{key}"),
            Bytes::new(),
            Duration::ZERO,
        )
        .await?
        .into_value()
    }

    async fn put_leased(
        &self,
        key: &str,
        expected: Expected,
        bytes: Bytes,
        lease_id: Option<LeaseId>,
    ) -> Result<KeyRevision, Fault> {
        let expected = match expected {
            Expected::Absent => 0,
            Expected::At(key_revision) => key_revision,
        };
        let mut path = format!("/v1/kv/{key}?expected={expected}");
        if let Some(lease_id) = lease_id {
            path += &format!("&lease_id={lease_id}");
        }
        let reply = self.call(Method::PUT, &path, bytes, Duration::ZERO).await?;
        match (reply.status, reply.key_revision) {
            (StatusCode::OK, Some(key_revision)) => Ok(key_revision),
            _ => Err(reply.into_fault()),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, Fault> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let lease = LeaseBody { id: 0, ttl_ms };
        let body = serde_json::to_vec(&lease).map_err(|e| Fault::Unreachable(e.to_string()))?;
        let reply = self
            .call(
                Method::POST,
                "/v1/leases",
                Bytes::from(body),
                Duration::ZERO,
            )
            .await?;
        if reply.status != StatusCode::OK {
            return Err(reply.into_fault());
        }
        let granted: LeaseBody =
            serde_json::from_slice(&reply.bytes).map_err(|e| Fault::Unknown(e.to_string()))?;
        Ok(granted.id)
    }

    async fn watch(
        &self,
        key: &str,
        after: KeyRevision,
        wait: Duration,
    ) -> Result<Option<Value>, Fault> {
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        let reply = self.call(Method::GET, &path, Bytes::new(), wait).await?;
        if reply.status == StatusCode::GONE {
            // The store has returned from a copy and does not have this revision. A
            // read tells what it has.
            return Ok(None);
        }
        reply.into_value()
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, Fault> {
        let reply = self
            .call(Method::GET, "/v1/hosts", Bytes::new(), Duration::ZERO)
            .await?;
        if reply.status != StatusCode::OK {
            return Err(reply.into_fault());
        }
        serde_json::from_slice(&reply.bytes).map_err(|e| Fault::Unknown(e.to_string()))
    }
}
