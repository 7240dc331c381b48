//! What a platform has to provide, in the words of this project.

use {
    bytes::Bytes,
    http::{response, HeaderMap, HeaderValue},
    kind::Result,
    replica::{Entry, ServerId, StatedLoad},
    routing::RawTable,
    std::time::Duration,
    store::Keys,
};

/// A platform: its store, the layout of the keys there, and its HTTP headers.
pub trait Adapter: 'static {
    /// Client of the store.
    type Keys: Keys;
    /// Layout of the keys in the store.
    type Layout: Layout;
    /// Headers of requests and answers.
    type Protocol: Protocol;
}

/// Where things stand in the store, and how they are written.
pub trait Layout: 'static {
    /// Key of the configuration.
    const CONFIG_KEY: &'static str;
    /// Prefix of the keys of servers.
    const SERVER_PREFIX: &'static str;
    /// Path of the question whether the host takes work.
    const READY_PATH: &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`](kind::Kind::BadRecord) for bytes that are none.
    fn read_table(bytes: &[u8]) -> Result<RawTable>;

    /// Reads the entry of a server.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`](kind::Kind::BadRecord) for an entry that names
    /// no server to use, as when another writer left it.
    fn read_server(id: ServerId, bytes: &[u8]) -> Result<Entry>;
}

/// What a caller asks for beside method, path and body.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Identifier of the request, which servers echo.
    pub request_id: Option<HeaderValue>,
    /// Time for which the caller waits.
    pub time_left: Option<Duration>,
}

/// What a server says about a call beside status and body.
#[derive(Clone, Debug, Default)]
pub struct ServerWord {
    /// Proof that the server answered the request.
    pub proof: Option<HeaderValue>,
    /// Request that the server answers.
    pub request_id: Option<HeaderValue>,
    /// Whether the server promises that it did not run the request.
    pub has_not_run: bool,
    /// Load of the server.
    pub load: Option<StatedLoad>,
    /// Time after which the server closes the connection if it is not used.
    pub idle_timeout: Option<Duration>,
}

/// Headers of requests and answers.
pub trait Protocol: 'static {
    /// Reads what a caller asks for.
    fn read_ask_headers(headers: &HeaderMap) -> Ask;

    /// Writes the head of a request to `server` from that of the caller.
    fn server_headers(caller: &HeaderMap, server: &ServerId, time_left: Duration) -> HeaderMap;

    /// Reads what a server says.
    fn read_word(head: &response::Parts) -> ServerWord;

    /// Returns whether `header` of a server's answer goes to the caller.
    fn is_passed_on(header: &http::HeaderName) -> bool;

    /// Returns whether `header` of a caller goes to servers, or says what the caller asks for.
    fn is_relayed(header: &http::HeaderName) -> bool;

    /// Writes the headers of an answer that is made of several parts.
    fn merged_headers(proofs: &[HeaderValue], missing: usize) -> HeaderMap;
}

/// A whole answer of a server.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) head: response::Parts,
    pub(crate) word: ServerWord,
    pub(crate) body: Bytes,
}
