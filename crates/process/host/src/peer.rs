//! Calls between hosts over tarpc.
//!
//! Queries share one connection to each peer. An exchange takes a fresh one,
//! so that it is never held up behind answers, tests that new connections
//! work, and leaves none of 1,300 connections behind.

use {
    crate::{
        claims,
        counted::{Counted, Traffic},
        flushed::Flushed,
        relay,
        shared::Shared,
    },
    fleet::{
        is_spoken, ClaimCall, ClaimReply, Held, Message, Peer, PeerClient, QueryAnswer, QueryCall,
        WireError, WireMessage, PROTOCOL_VERSION,
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

/// Time for opening a connection to a peer.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for one exchange.
pub(crate) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(750);
/// Time for asking a peer what it holds.
const HELD_TIMEOUT: Duration = Duration::from_millis(750);
/// Silence of a connection with a query on it after which it is probed.
const PROBE_AFTER: Duration = Duration::from_millis(150);
/// Time for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after the listener failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest message between hosts, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A connection to a peer.
#[derive(Clone)]
struct Connection {
    client: PeerClient,
    /// Time at which the peer was last heard on this connection.
    heard_at: Arc<Mutex<Instant>>,
    opened_at: Instant,
}

/// Connections to peers, one for each.
#[derive(Default)]
pub(crate) struct Peers {
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

/// Why a forward brought no answer of the peer.
pub(crate) struct Lost {
    pub(crate) error: Error,
    /// What the loss says about the peer.
    pub(crate) verdict: Verdict,
}

/// What the loss of a call says about the peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// Nothing; the deadline passed, or the connection was reset.
    Unknown,
    /// The connection was silent while the peer answers on a fresh one.
    OldConnection,
    /// The peer does not answer on a fresh connection either.
    Silent,
}

impl Connection {
    fn hear(&self) {
        *self.heard_at.lock() = Instant::now();
    }

    fn heard_since(&self, instant: Instant) -> bool {
        *self.heard_at.lock() > instant
    }

    /// Returns once the connection has been silent for too long.
    async fn watch_silence(&self) {
        loop {
            let since = Instant::now();
            sleep(PROBE_AFTER).await;
            if self.heard_since(since) {
                continue;
            }
            if !self.answers_probe().await && !self.heard_since(since) {
                return;
            }
        }
    }

    async fn answers_probe(&self) -> bool {
        let context = context_until(Instant::now() + PROBE_TIMEOUT);
        let answered = timeout(PROBE_TIMEOUT, self.client.probe(context)).await;
        let is_answered = matches!(answered, Ok(Ok(())));
        if is_answered {
            self.hear();
        }
        is_answered
    }
}

impl Peers {
    /// Sends a query to the relay at `addr`.
    ///
    /// The inner result is the relay's own word, the outer one says whether it came.
    pub(crate) async fn query(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
        call: QueryCall,
        deadline: Instant,
    ) -> Result<Result<QueryAnswer>, Lost> {
        let connection = self.connection(shared, addr).await?;
        let answer = connection.client.query(context_until(deadline), call);
        self.answer(shared, addr, &connection, answer).await
    }

    /// Sends a claim to the host at `addr`.
    ///
    /// The inner result is that host's own word, the outer one says whether it came.
    pub(crate) async fn claim(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
        call: ClaimCall,
        deadline: Instant,
    ) -> Result<Result<ClaimReply>, Lost> {
        let connection = self.connection(shared, addr).await?;
        let answer = connection.client.claim(context_until(deadline), call);
        self.answer(shared, addr, &connection, answer).await
    }

    /// Waits for the answer to a call while its connection is not silent.
    async fn answer<T>(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
        connection: &Connection,
        answer: impl Future<Output = Result<Result<T, WireError>, RpcError>>,
    ) -> Result<Result<T>, Lost> {
        pin!(answer);
        select! {
            biased;
            answer = &mut answer => match answer {
                Ok(answer) => {
                    connection.hear();
                    Ok(answer.map_err(Error::from))
                }
                Err(error) => Err(self.on_error(addr, connection, &error)),
            },
            () = connection.watch_silence() => {
                Err(self.on_silence(shared, addr, connection).await)
            }
        }
    }

    fn on_error(&self, addr: SocketAddr, connection: &Connection, error: &RpcError) -> Lost {
        let error = match error {
            RpcError::DeadlineExceeded => Error::new(
                Kind::DeadlineExceeded,
                format!("host {addr} did not answer in time"),
            ),
            _ => {
                self.retire(addr, connection);
                Error::new(Kind::HostLost, format!("host {addr}: {error}"))
            }
        };
        let verdict = Verdict::Unknown;
        Lost { error, verdict }
    }

    async fn on_silence(
        &self,
        shared: &Arc<Shared>,
        addr: SocketAddr,
        connection: &Connection,
    ) -> Lost {
        self.retire(addr, connection);
        let is_answered = match self.connection(shared, addr).await {
            Ok(fresh) => fresh.answers_probe().await,
            Err(_) => false,
        };
        let verdict = if is_answered {
            Verdict::OldConnection
        } else {
            Verdict::Silent
        };
        log::warn!(target: "peer", "Connection to {addr} is silent: {verdict:?}.");
        let error = Error::new(Kind::HostLost, format!("host {addr} has gone silent"));
        Lost { error, verdict }
    }

    /// Drops a connection unless a newer one has taken its place.
    fn retire(&self, addr: SocketAddr, connection: &Connection) {
        let mut connections = self.connections.lock();
        let held = connections.get(&addr).map(|held| held.opened_at);
        if held == Some(connection.opened_at) {
            connections.remove(&addr);
        }
    }

    async fn connection(&self, shared: &Arc<Shared>, addr: SocketAddr) -> Result<Connection, Lost> {
        if let Some(connection) = self.connections.lock().get(&addr) {
            return Ok(connection.clone());
        }
        let client = connect(shared, addr).await.map_err(|error| Lost {
            error,
            verdict: Verdict::Silent,
        })?;
        let now = Instant::now();
        let connection = Connection {
            client,
            heard_at: Arc::new(Mutex::new(now)),
            opened_at: now,
        };
        let mut connections = self.connections.lock();
        connections.retain(|_, held| held.heard_since(now - IDLE_TIMEOUT));
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
    let stream = open(shared, addr).await?;
    Ok(PeerClient::new(Config::default(), transport(stream)).spawn())
}

async fn open(shared: &Arc<Shared>, addr: SocketAddr) -> Result<Counted> {
    let unreachable =
        |detail: String| Error::new(Kind::HostLost, format!("{addr}: {detail}")).with_ran(Ran::No);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| unreachable("no connection in time".to_owned()))?
        .map_err(|e| unreachable(e.to_string()))?;
    // A socket that refuses the option is slower, not wrong.
    let _ = stream.set_nodelay(true);
    Ok(Counted::new(stream, Arc::clone(shared)))
}

fn transport<Item, SinkItem>(
    stream: Counted,
) -> serde_transport::Transport<Counted, Item, SinkItem, Json<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    serde_transport::new(Framed::new(stream, codec), Json::default())
}

/// Exchanges news with the peer at `addr` over a fresh connection.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] if the peer does not answer in time.
pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    message: Message,
) -> Result<Message> {
    let stream = open(shared, addr).await?;
    stream.traffic().mark_control();
    let client = PeerClient::new(Config::default(), transport(stream)).spawn();
    let context = context_until(Instant::now() + EXCHANGE_TIMEOUT);
    let answer = client.exchange(context, WireMessage::from(message)).await;
    let answer = answer.map_err(|e| Error::new(Kind::HostLost, format!("{addr}: {e}")))??;
    check_version(answer.protocol_version)?;
    Ok(answer.into())
}

/// Asks a peer what it holds, with the records if they are newer than `revision`.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] if the peer does not answer in time.
pub(crate) async fn held(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    revision: Revision,
) -> Result<Held> {
    let stream = open(shared, addr).await?;
    stream.traffic().mark_control();
    let client = PeerClient::new(Config::default(), transport(stream)).spawn();
    let context = context_until(Instant::now() + HELD_TIMEOUT);
    let held = client.held(context, revision).await;
    held.map_err(|e| Error::new(Kind::HostLost, format!("{addr}: {e}")))
}

fn check_version(version: u32) -> Result<()> {
    if is_spoken(version) {
        return Ok(());
    }
    let detail = format!("version {version} is not spoken here, {PROTOCOL_VERSION} is");
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
            answer = relay::serve(&self.shared, call) => answer.map_err(WireError::from),
            error = self.shared.life.given_up() => Err(error.into()),
        }
    }

    async fn claim(self, _: Context, call: ClaimCall) -> Result<ClaimReply, WireError> {
        check_version(call.protocol_version)?;
        claims::write_for_peer(&self.shared, call)
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

/// Serves peers on `listener`.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn(serve_connection(Arc::clone(&shared), stream));
            }
            Err(error) => {
                log::warn!(target: "peer", "No connection accepted: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    // A socket that refuses the option is slower, not wrong.
    let _ = stream.set_nodelay(true);
    let stream = Counted::new(stream, Arc::clone(&shared));
    let traffic = stream.traffic();
    let transport = Flushed::new(transport(stream), Arc::clone(&shared.life));
    let server = PeerServer { shared, traffic };
    BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(|response| async {
            spawn(response);
        })
        .await;
}
