//! Calls between hosts over tarpc.
//!
//! Frames are in a binary form, because answers of servers travel in them as
//! they are and bytes between regions are dear. Every call begins with the
//! version of the protocol; a host that does not speak it says so, and the
//! other one does the work itself.

use {
    crate::{connections::watch_for_silence, gathering, news, shared::Shared, Adapter},
    futures::StreamExt,
    kind::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tarpc::{
        client::{Config, RpcError},
        context::{self, Context},
        serde_transport,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Bincode,
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Version of the protocol between hosts.
pub(crate) const PROTOCOL_VERSION: u16 = 2;
/// Largest message, in bytes: a whole configuration and all servers fit.
const MAX_FRAME_BYTES: usize = 16 * 1_024 * 1_024;
/// Time for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Asks for what has changed in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct NewsCall {
    pub(crate) protocol_version: u16,
    /// Process whose news were taken last.
    pub(crate) epoch: u64,
    /// Number of the last news taken of it.
    pub(crate) after: u64,
    /// Time to wait for news, in milliseconds.
    pub(crate) wait_ms: u32,
}

/// A key of the store with its value, or without one if it was removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WireItem {
    pub(crate) key: String,
    pub(crate) value: Option<Vec<u8>>,
}

/// What has changed in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct NewsReply {
    /// Process that tells.
    pub(crate) epoch: u64,
    /// Number of the last news told.
    pub(crate) last: u64,
    /// Time since all of it was read in the store, in milliseconds.
    pub(crate) age_ms: u32,
    /// Whether these are all keys, so that those not named are gone.
    pub(crate) is_full: bool,
    /// The keys.
    pub(crate) items: Vec<WireItem>,
}

/// Asks for the parts of a query that are near the peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct GatherCall {
    pub(crate) protocol_version: u16,
    /// Version of the table that the query belongs to.
    pub(crate) table_version: u64,
    /// Route of the query.
    pub(crate) route: String,
    /// Positions of the shards within the route.
    pub(crate) positions: Vec<u16>,
    /// Path with query, as the caller sent it.
    pub(crate) path: String,
    pub(crate) method: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Vec<u8>,
    /// Time for which the caller waits, in milliseconds.
    pub(crate) time_left_ms: u32,
    /// Time after which the peer answers with what there is, in milliseconds.
    pub(crate) answer_in_ms: u32,
    /// Most servers of a shard that the peer may call.
    pub(crate) max_attempts: u8,
}

/// Parts of a query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct GatherReply {
    /// Positions of the shards whose records are in, with the proof of each.
    pub(crate) proofs: Vec<(u16, Vec<u8>)>,
    /// The greatest records of these shards.
    pub(crate) records: Vec<u8>,
    /// Whether any of the other shards may have run the query.
    pub(crate) may_have_run: bool,
    /// Delay at each shard that was asked for, in milliseconds, in the order of the call.
    pub(crate) delays_ms: Vec<u16>,
    /// Number under which the rest is to be had, if there may be one.
    pub(crate) rest: Option<u64>,
}

#[tarpc::service]
pub(crate) trait Peer {
    /// Tells what has changed in the store.
    async fn news(call: NewsCall) -> std::result::Result<NewsReply, Error>;
    /// Asks servers near the peer for their parts.
    async fn gather(call: GatherCall) -> std::result::Result<GatherReply, Error>;
    /// Waits for the parts that were missing from a reply.
    async fn rest(number: u64) -> std::result::Result<GatherReply, Error>;
}

struct Server<A: Adapter>(Rc<Shared<A>>);

impl<A: Adapter> Clone for Server<A> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<A: Adapter> Peer for Server<A> {
    async fn news(self, _: Context, call: NewsCall) -> Result<NewsReply> {
        check_version(call.protocol_version)?;
        Ok(news::tell(&self.0, &call).await)
    }

    async fn gather(self, _: Context, call: GatherCall) -> Result<GatherReply> {
        check_version(call.protocol_version)?;
        gathering::gather(&self.0, call).await
    }

    async fn rest(self, _: Context, number: u64) -> Result<GatherReply> {
        gathering::rest(&self.0, number).await
    }
}

fn check_version(version: u16) -> Result<()> {
    if version == PROTOCOL_VERSION {
        return Ok(());
    }
    let detail = format!("version {version} is not spoken here, {PROTOCOL_VERSION} is");
    Err(Error::new(Kind::BadPeer, detail))
}

/// Serves peers for as long as the process lives.
pub(crate) async fn serve<A: Adapter>(shared: Rc<Shared<A>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(Rc::clone(&shared), stream));
            }
            Err(error) => {
                log::warn!(target: "peer", "No connection accepted: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<A: Adapter>(shared: Rc<Shared<A>>, stream: TcpStream) {
    set_up(&stream);
    BaseChannel::with_defaults(transport(stream))
        .execute(Server(shared).serve())
        .for_each(|response| {
            spawn_local(response);
            std::future::ready(())
        })
        .await;
}

fn set_up(stream: &TcpStream) {
    if let Err(error) = stream
        .set_nodelay(true)
        .and_then(|()| watch_for_silence(stream))
    {
        log::debug!(target: "peer", "Options of a connection not set: {error}.");
    }
}

fn transport<Item, SinkItem>(
    stream: TcpStream,
) -> serde_transport::Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    serde_transport::new(Framed::new(stream, codec), Bincode::default())
}

/// Connections to peers, one each.
#[derive(Default)]
pub(crate) struct Peers {
    clients: HashMap<SocketAddr, PeerClient>,
    /// Shortest time that opening a connection took, which is one round trip.
    round_trips: HashMap<SocketAddr, Duration>,
}

impl Peers {
    /// Returns the round trip to a peer, if one was measured.
    pub(crate) fn round_trip(&self, addr: SocketAddr) -> Option<Duration> {
        self.round_trips.get(&addr).copied()
    }
}

/// Asks the peer at `addr` for news.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] if the peer does not answer in time.
pub(crate) async fn ask_news<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    call: NewsCall,
    deadline: Instant,
) -> Result<NewsReply> {
    let client = client(shared, addr).await?;
    let reply = client.news(context_until(deadline), call).await;
    take(shared, addr, reply)
}

/// Asks the peer at `addr` for parts of a query.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] if the peer does not answer in time, or the
/// peer's own error.
pub(crate) async fn ask_parts<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    call: GatherCall,
    deadline: Instant,
) -> Result<GatherReply> {
    let client = client(shared, addr).await?;
    let reply = client.gather(context_until(deadline), call).await;
    take(shared, addr, reply)
}

/// Asks the peer at `addr` for the parts that were missing from its reply.
///
/// # Errors
///
/// Returns the errors of [`ask_parts`].
pub(crate) async fn ask_rest<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    number: u64,
    deadline: Instant,
) -> Result<GatherReply> {
    let client = client(shared, addr).await?;
    let reply = client.rest(context_until(deadline), number).await;
    take(shared, addr, reply)
}

fn take<A: Adapter, T>(
    shared: &Shared<A>,
    addr: SocketAddr,
    reply: Result<Result<T>, RpcError>,
) -> Result<T> {
    reply.unwrap_or_else(|error| {
        // A silent connection and a dead one end alike: the next call opens another.
        shared.peers.borrow_mut().clients.remove(&addr);
        Err(Error::new(Kind::HostLost, format!("{addr}: {error}")))
    })
}

async fn client<A: Adapter>(shared: &Shared<A>, addr: SocketAddr) -> Result<PeerClient> {
    if let Some(client) = shared.peers.borrow().clients.get(&addr) {
        return Ok(client.clone());
    }
    let lost = |detail: String| {
        Error::new(Kind::HostLost, format!("{addr}: {detail}")).with_ran(kind::Ran::No)
    };
    let began = Instant::now();
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| lost("no connection in time".to_owned()))?
        .map_err(|error| lost(error.to_string()))?;
    let took = began.elapsed();
    set_up(&stream);
    let new = PeerClient::new(Config::default(), transport(stream));
    spawn_local(async move {
        if let Err(error) = new.dispatch.await {
            log::debug!(target: "peer", "Connection to {addr} ended: {error}.");
        }
    });
    let mut peers = shared.peers.borrow_mut();
    let known = peers.round_trips.entry(addr).or_insert(took);
    *known = took.min(*known);
    Ok(peers.clients.entry(addr).or_insert(new.client).clone())
}

fn context_until(deadline: Instant) -> Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}
