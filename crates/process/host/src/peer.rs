//! Calls between hosts over tarpc.
//!
//! Queries and claims share one connection to each peer. An exchange opens a new
//! connection and closes it afterwards. So it never waits behind large
//! responses, it tests that new connections work, and a host of a large fleet
//! does not keep a connection to each of 1,300 peers open.

use {
    crate::{
        claims,
        counted_stream::{CountedStream, Traffic},
        relay,
        shared::Shared,
        tracked_transport::TrackedTransport,
    },
    fleet::{
        is_supported_version, ClaimCall, ClaimReply, Held, Message, Peer, PeerClient, QueryAnswer,
        QueryCall, WireError, WireMessage, PROTOCOL_VERSION,
    },
    futures::StreamExt,
    kind::{Error, Kind, Ran, Result},
    parking_lot::Mutex,
    record::{Revision, WireBundle},
    std::{
        collections::HashMap,
        future::Future,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tarpc::{
        client::{Config, RpcError},
        context::{self, Context},
        serde_transport,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Json,
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        pin, select, spawn,
        time::{sleep, timeout},
    },
};

/// Timeout of opening a connection to a peer.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of one exchange.
pub(crate) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(750);
/// Timeout of fetching the configuration of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(750);
/// Time without a response after which a connection with a call in flight is
/// probed.
const PROBE_AFTER: Duration = Duration::from_millis(150);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a response after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum size of a message between hosts, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A connection to a peer.
#[derive(Clone)]
struct Connection {
    client: PeerClient,
    /// Time of the last response on this connection.
    last_response_at: Arc<Mutex<Instant>>,
    opened_at: Instant,
}

/// Open connections to peers, at most one for each.
#[derive(Default)]
pub(crate) struct Peers {
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

/// Why a call brought no response of the peer.
pub(crate) struct CallFailure {
    pub(crate) error: Error,
    /// What the failure implies about the peer.
    pub(crate) health: PeerHealth,
}

/// What the failure of a call implies about the peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PeerHealth {
    /// Nothing: the deadline passed, or the connection failed.
    Unknown,
    /// The connection was silent, but the peer answers on a new one.
    OldConnection,
    /// The peer does not answer on a new connection, or none could be opened.
    Silent,
}

impl Connection {
    fn on_response(&self) {
        *self.last_response_at.lock() = Instant::now();
    }

    fn has_responded_since(&self, instant: Instant) -> bool {
        *self.last_response_at.lock() > instant
    }

    /// Returns once the connection is silent and fails a probe.
    async fn wait_until_silent(&self) {
        loop {
            let since = Instant::now();
            sleep(PROBE_AFTER).await;
            if self.has_responded_since(since) {
                continue;
            }
            if !self.answers_probe().await && !self.has_responded_since(since) {
                return;
            }
        }
    }

    async fn answers_probe(&self) -> bool {
        let context = context_until(Instant::now() + PROBE_TIMEOUT);
        let answered = timeout(PROBE_TIMEOUT, self.client.probe(context)).await;
        let is_answered = matches!(answered, Ok(Ok(())));
        if is_answered {
            self.on_response();
        }
        is_answered
    }
}

impl Peers {
    /// Sends a query to the relay at `addr`.
    ///
    /// The inner result is the response of the relay; the outer one is an error
    /// if none arrived.
    pub(crate) async fn query(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
        call: QueryCall,
        deadline: Instant,
    ) -> Result<Result<QueryAnswer>, CallFailure> {
        let connection = self.connection(shared, addr).await?;
        let answer = connection.client.query(context_until(deadline), call);
        self.wait_for_answer(shared, addr, &connection, answer)
            .await
    }

    /// Sends a claim to the host at `addr`.
    ///
    /// The inner result is the response of that host; the outer one is an error
    /// if none arrived.
    pub(crate) async fn claim(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
        call: ClaimCall,
        deadline: Instant,
    ) -> Result<Result<ClaimReply>, CallFailure> {
        let connection = self.connection(shared, addr).await?;
        let answer = connection.client.claim(context_until(deadline), call);
        self.wait_for_answer(shared, addr, &connection, answer)
            .await
    }

    /// Waits for the response to a call, and fails if its connection goes silent.
    async fn wait_for_answer<T>(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
        connection: &Connection,
        answer: impl Future<Output = Result<Result<T, WireError>, RpcError>>,
    ) -> Result<Result<T>, CallFailure> {
        pin!(answer);
        select! {
            biased;
            answer = &mut answer => match answer {
                Ok(answer) => {
                    connection.on_response();
                    Ok(answer.map_err(Error::from))
                }
                Err(error) => Err(self.on_error(addr, connection, &error)),
            },
            () = connection.wait_until_silent() => {
                Err(self.on_silent_connection(shared, addr, connection).await)
            }
        }
    }

    fn on_error(&self, addr: SocketAddr, connection: &Connection, error: &RpcError) -> CallFailure {
        let error = match error {
            RpcError::DeadlineExceeded => Error::new(
                Kind::DeadlineExceeded,
                format!("host {addr} did not answer in time"),
            ),
            _ => {
                self.remove(addr, connection);
                Error::new(Kind::HostLost, format!("host {addr}: {error}"))
            }
        };
        let health = PeerHealth::Unknown;
        CallFailure { error, health }
    }

    async fn on_silent_connection(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
        connection: &Connection,
    ) -> CallFailure {
        self.remove(addr, connection);
        let is_answered = match self.connection(shared, addr).await {
            Ok(fresh) => fresh.answers_probe().await,
            Err(_) => false,
        };
        let health = if is_answered {
            PeerHealth::OldConnection
        } else {
            PeerHealth::Silent
        };
        log::warn!(target: "peer", "Connection to {addr} is silent: {health:?}.");
        let error = Error::new(
            Kind::HostLost,
            format!("connection to host {addr} is silent"),
        );
        CallFailure { error, health }
    }

    /// Removes a connection unless a newer one has replaced it.
    fn remove(&self, addr: SocketAddr, connection: &Connection) {
        let mut connections = self.connections.lock();
        let current = connections.get(&addr).map(|current| current.opened_at);
        if current == Some(connection.opened_at) {
            connections.remove(&addr);
        }
    }

    async fn connection(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
    ) -> Result<Connection, CallFailure> {
        if let Some(connection) = self.connections.lock().get(&addr) {
            return Ok(connection.clone());
        }
        let client = connect(shared, addr).await.map_err(|error| CallFailure {
            error,
            health: PeerHealth::Silent,
        })?;
        let now = Instant::now();
        let connection = Connection {
            client,
            last_response_at: Arc::new(Mutex::new(now)),
            opened_at: now,
        };
        let mut connections = self.connections.lock();
        connections.retain(|_, other| other.has_responded_since(now - IDLE_TIMEOUT));
        connections.insert(addr, connection.clone());
        Ok(connection)
    }
}

fn context_until(deadline: Instant) -> Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}

async fn connect(shared: &Arc<Shared>, addr: SocketAddr) -> Result<PeerClient> {
    let stream = open_stream(shared, addr).await?;
    Ok(PeerClient::new(Config::default(), transport(stream)).spawn())
}

async fn open_stream(shared: &Arc<Shared>, addr: SocketAddr) -> Result<CountedStream> {
    let unreachable =
        |detail: String| Error::new(Kind::HostLost, format!("{addr}: {detail}")).with_ran(Ran::No);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| unreachable("connection timed out".to_owned()))?
        .map_err(|e| unreachable(e.to_string()))?;
    // Best effort: without the option, the connection works with more latency.
    let _ = stream.set_nodelay(true);
    Ok(CountedStream::new(stream, Arc::clone(shared)))
}

fn transport<Item, SinkItem>(
    stream: CountedStream,
) -> serde_transport::Transport<CountedStream, Item, SinkItem, Json<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    serde_transport::new(Framed::new(stream, codec), Json::default())
}

/// Exchanges membership and facts with the peer at `addr` over a new connection.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] if the peer does not answer in time.
pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    message: Message,
) -> Result<Message> {
    let stream = open_stream(shared, addr).await?;
    stream.traffic().mark_control();
    let client = PeerClient::new(Config::default(), transport(stream)).spawn();
    let context = context_until(Instant::now() + EXCHANGE_TIMEOUT);
    let answer = client.exchange(context, WireMessage::from(message)).await;
    let answer = answer.map_err(|e| Error::new(Kind::HostLost, format!("{addr}: {e}")))??;
    check_version(answer.protocol_version)?;
    Ok(answer.into())
}

/// Returns the head that a peer has in force, with the records if they are newer
/// than `revision`.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] if the peer does not answer in time.
pub(crate) async fn fetch_config(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    revision: Revision,
) -> Result<Held> {
    let stream = open_stream(shared, addr).await?;
    stream.traffic().mark_control();
    let client = PeerClient::new(Config::default(), transport(stream)).spawn();
    let context = context_until(Instant::now() + FETCH_TIMEOUT);
    let reply = client.held(context, revision).await;
    reply.map_err(|e| Error::new(Kind::HostLost, format!("{addr}: {e}")))
}

fn check_version(version: u32) -> Result<()> {
    if is_supported_version(version) {
        return Ok(());
    }
    let detail = format!("protocol version {version} is not supported, {PROTOCOL_VERSION} is");
    Err(Error::new(Kind::BadPeer, detail))
}

#[derive(Clone)]
struct PeerServer {
    shared: Arc<Shared>,
    traffic: Arc<Traffic>,
}

impl Peer for PeerServer {
    async fn query(self, _: Context, call: QueryCall) -> Result<QueryAnswer, WireError> {
        check_version(call.protocol_version)?;
        select! {
            biased;
            answer = relay::run_query(&self.shared, call) => answer.map_err(WireError::from),
            error = self.shared.life.wait_for_abort() => Err(error.into()),
        }
    }

    async fn claim(self, _: Context, call: ClaimCall) -> Result<ClaimReply, WireError> {
        check_version(call.protocol_version)?;
        claims::handle_peer_claim(&self.shared, call)
            .await
            .map_err(WireError::from)
    }

    async fn exchange(self, _: Context, message: WireMessage) -> Result<WireMessage, WireError> {
        self.traffic.mark_control();
        check_version(message.protocol_version)?;
        Ok(self.shared.members.on_request(&message.into()).into())
    }

    async fn held(self, _: Context, revision: Revision) -> Held {
        self.traffic.mark_control();
        let in_force = self.shared.in_force();
        let is_newer = in_force.revision() > revision;
        Held {
            host: self.shared.settings.member.id.clone(),
            head: in_force.head().id(),
            bundle: is_newer.then(|| WireBundle::from(in_force.bundle().as_ref())),
        }
    }

    async fn probe(self, _: Context) {}
}

/// Serves calls of peers on `listener`. Never returns.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn(serve_connection(Arc::clone(&shared), stream));
            }
            Err(error) => {
                log::warn!(target: "peer", "Connection not accepted: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    // Best effort: without the option, the connection works with more latency.
    let _ = stream.set_nodelay(true);
    let stream = CountedStream::new(stream, Arc::clone(&shared));
    let traffic = stream.traffic();
    let transport = TrackedTransport::new(transport(stream), Arc::clone(&shared.life));
    let server = PeerServer { shared, traffic };
    BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(|response| async {
            spawn(response);
        })
        .await;
}
