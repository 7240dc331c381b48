//! Traits that a platform implements to run the gateway.

use {
    bytes::Bytes,
    http::{response, HeaderMap, HeaderValue},
    kind::Result,
    replica::{ReportedLoad, ServerEntry, ServerId},
    routing::RawTable,
    std::time::Duration,
    store::KeyPrefixStore,
};

/// A platform: its store, the layout of the keys there, and its HTTP headers.
pub trait Adapter: 'static {
    /// Client of the store.
    type Keys: KeyPrefixStore;
    /// Layout of the keys in the store.
    type Layout: StoreLayout;
    /// HTTP headers of requests and answers.
    type Protocol: Protocol;
}

/// Keys and value formats of the store, and the path of the health check.
pub trait StoreLayout: 'static {
    /// Key of the configuration.
    const CONFIG_KEY: &'static str;
    /// Prefix of all keys that operators write, the configuration among them.
    const OPERATOR_PREFIX: &'static str;
    /// Prefix of the keys that evacuate zones, followed by the name of the zone.
    const EVACUATION_PREFIX: &'static str;
    /// Prefix of the keys of servers.
    const SERVER_PREFIX: &'static str;
    /// Path of the balancer's health check.
    const READY_PATH: &'static str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`](kind::Kind::BadRecord) if `bytes` is not a
    /// valid configuration.
    fn parse_table(bytes: &[u8]) -> Result<RawTable>;

    /// Decodes the entry of a server.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`](kind::Kind::BadRecord) if the entry does not
    /// describe a usable server, for example because another writer left it.
    fn parse_server(id: ServerId, bytes: &[u8]) -> Result<ServerEntry>;
}

/// Request metadata from a caller's headers.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// Identifier of the request, which servers send back.
    pub request_id: Option<HeaderValue>,
    /// Time for which the caller still waits.
    pub time_left: Option<Duration>,
}

/// Response metadata from a server's headers.
#[derive(Clone, Debug, Default)]
pub struct ServerMetadata {
    /// Proof that the server itself answered the request.
    pub proof: Option<HeaderValue>,
    /// Identifier of the request that the server answers.
    pub request_id: Option<HeaderValue>,
    /// Whether the server guarantees that it did not run the request.
    pub is_not_executed: bool,
    /// Load that the server reports.
    pub load: Option<ReportedLoad>,
    /// Requests a second that the server takes from all hosts together.
    pub limit_per_s: Option<f64>,
    /// Whether the server says that it leaves.
    pub is_leaving: bool,
    /// Time for which the server wants no requests of this host, if it has refused
    /// this one.
    pub retry_after: Option<Duration>,
    /// How much longer the server is cold.
    pub warm_up_left: Option<Duration>,
    /// Time after which the server closes an idle connection.
    pub idle_timeout: Option<Duration>,
}

/// HTTP headers of requests and answers.
pub trait Protocol: 'static {
    /// Reads the metadata of a caller's request.
    fn read_request_options(headers: &HeaderMap) -> RequestOptions;

    /// Returns the key by which a caller identifies its workspace, or `None` if there
    /// is none or more than one.
    fn read_api_key(headers: &HeaderMap) -> Option<&str>;

    /// Removes the caller's key, and a workspace that the caller names itself.
    fn remove_identity(headers: &mut HeaderMap);

    /// Returns the headers of a request of `workspace` to `server`, made from those of
    /// the caller.
    fn request_headers(
        caller: &HeaderMap,
        server: &ServerId,
        time_left: Duration,
        workspace: Option<&str>,
    ) -> HeaderMap;

    /// Reads the metadata of a server's response.
    fn read_server_metadata(head: &response::Parts) -> ServerMetadata;

    /// Returns whether `header` of a server's answer is forwarded to the caller.
    fn is_forwarded_to_caller(header: &http::HeaderName) -> bool;

    /// Returns whether `header` of a caller's request is sent to a relay, which
    /// reads the request metadata from it and forwards it to servers.
    fn is_forwarded_to_relay(header: &http::HeaderName) -> bool;

    /// Returns the headers of an answer that is merged from several parts.
    fn merged_headers(proofs: &[HeaderValue], missing: usize) -> HeaderMap;
}

/// A complete answer of a server.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) head: response::Parts,
    pub(crate) metadata: ServerMetadata,
    pub(crate) body: Bytes,
}
