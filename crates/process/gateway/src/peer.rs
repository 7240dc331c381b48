//! Calls between hosts over tarpc.
//!
//! Messages are encoded with bincode, because they carry answers of servers
//! unchanged and bytes between regions are expensive. Every call except `rest`
//! begins with the version of the protocol. A host that does not support it
//! returns an error, and the calling host does the work itself.

use {
    crate::{
        cold_news, cold_relay, connections::enable_dead_peer_detection, crash_reports,
        delay_reports, hold_store::HoldRecord, quota_issuer, relay_server, shared::Shared,
        store_cache::KEY_RANGES, store_sync, Adapter,
    },
    futures::StreamExt,
    kind::{Error, Kind, Result},
    link::{Crash, CrashEvidence},
    quota::{Answer, Copy, CopyEntry, Grants, Knowledge, Slot, Start},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    store::{Item, KeyEvent, StoreEra, StorePosition, StoreRevision, Trust},
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
pub(crate) const PROTOCOL_VERSION: u16 = 8;
/// Largest message, in bytes. A whole configuration and all servers fit.
const MAX_FRAME_BYTES: usize = 16 * 1_024 * 1_024;
/// Longest time for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Request for changes of the store's keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ChangesRequest {
    pub(crate) protocol_version: u16,
    /// Epoch of the reply that the host applied last, 0 for none.
    pub(crate) epoch: u64,
    /// Sequence number of the last change received in that epoch.
    pub(crate) after: u64,
    /// Latest era of the store that the host knows of.
    pub(crate) era: StoreEra,
    /// Longest time to wait for changes, in milliseconds.
    pub(crate) wait_ms: u32,
}

/// A key of the store and its value, which is `None` if the key was removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WireItem {
    pub(crate) key: String,
    pub(crate) value: Option<Vec<u8>>,
    /// Position of the write or removal in the store.
    pub(crate) position: WirePosition,
}

/// A position in the history of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WirePosition {
    era: StoreEra,
    revision: StoreRevision,
}

impl From<StorePosition> for WirePosition {
    fn from(StorePosition { era, revision }: StorePosition) -> Self {
        Self { era, revision }
    }
}

impl From<WirePosition> for StorePosition {
    fn from(WirePosition { era, revision }: WirePosition) -> Self {
        Self { era, revision }
    }
}

/// How far the data of a host can be trusted in the era of its reply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum WireTrust {
    Deferring,
    Unconfirmed,
    Settled,
}

impl From<Trust> for WireTrust {
    fn from(trust: Trust) -> Self {
        match trust {
            Trust::Deferring => Self::Deferring,
            Trust::Unconfirmed => Self::Unconfirmed,
            Trust::Settled => Self::Settled,
        }
    }
}

impl From<WireTrust> for Trust {
    fn from(trust: WireTrust) -> Self {
        match trust {
            WireTrust::Deferring => Self::Deferring,
            WireTrust::Unconfirmed => Self::Unconfirmed,
            WireTrust::Settled => Self::Settled,
        }
    }
}

impl From<WireItem> for KeyEvent {
    fn from(item: WireItem) -> Self {
        let WireItem {
            key,
            value,
            position,
        } = item;
        let position = StorePosition::from(position);
        match value {
            Some(bytes) => Self::Written(Item {
                key,
                bytes: bytes.into(),
                revision: position.revision,
                era: position.era,
            }),
            None => Self::Removed { key, position },
        }
    }
}

/// Changes of the store's keys, or all keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ChangesReply {
    /// Epoch of the process that answers.
    pub(crate) epoch: u64,
    /// Sequence number up to which changes are included.
    pub(crate) last: u64,
    /// Time since the answering host's data was known to match the store, in
    /// milliseconds.
    pub(crate) age_ms: u32,
    /// Whether `items` holds all keys, so that keys not in it were removed.
    pub(crate) is_full: bool,
    /// Latest era of the store that the answering host knows of.
    pub(crate) era: StoreEra,
    /// How far its data can be trusted in that era.
    pub(crate) trust: WireTrust,
    /// Positions of the store up to which the data is complete, by
    /// [`KeyRange`](crate::store_cache::KeyRange).
    pub(crate) complete_through: [WirePosition; KEY_RANGES],
    /// Revisions of the earliest known listings in that era, by range. Greater revisions
    /// are of writes made since the store has returned from a copy.
    pub(crate) baselines: [Option<StoreRevision>; KEY_RANGES],
    /// Written and removed keys.
    pub(crate) items: Vec<WireItem>,
}

impl ChangesReply {
    /// Returns how far the data can be trusted in the era of the reply.
    pub(crate) fn trust(&self) -> Trust {
        self.trust.into()
    }
}

/// Request to query the shards that are near the peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct GatherCall {
    pub(crate) protocol_version: u16,
    /// Version of the routing table that the query uses.
    pub(crate) table_version: u64,
    /// Route of the query.
    pub(crate) route: String,
    /// Positions of the shards within the route.
    pub(crate) positions: Vec<u16>,
    /// Path and query string, as the caller sent them.
    pub(crate) path: String,
    pub(crate) method: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Workspace of the caller, if it has one.
    pub(crate) workspace: Option<String>,
    /// Time for which the permit of the request may be used, in milliseconds; `None` if
    /// the request needs none.
    pub(crate) permit_left_ms: Option<u32>,
    pub(crate) body: Vec<u8>,
    /// Time for which the caller still waits, in milliseconds.
    pub(crate) time_left_ms: u32,
    /// Time after which the peer replies with the parts that have arrived, in
    /// milliseconds.
    pub(crate) answer_in_ms: u32,
    /// Largest number of servers of a shard that the peer may call.
    pub(crate) max_attempts: u8,
}

/// Request to send a request to one server of a service that may be cold.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ForwardCall {
    /// The request, without shards.
    pub(crate) call: GatherCall,
    /// Service of the server.
    pub(crate) service: String,
}

/// Response of a server, or of the host that called it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ForwardReply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Vec<u8>,
}

/// News of a server that has become cold while it ran.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ColdNews {
    pub(crate) protocol_version: u16,
    /// Identifier of the server.
    pub(crate) server: String,
    /// Start time of its incarnation, in milliseconds since the Unix epoch.
    pub(crate) started_at_ms: Option<u64>,
    /// How much longer it is cold, in milliseconds.
    pub(crate) left_ms: u64,
}

/// Merged parts of a query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct GatherReply {
    /// Positions of the shards that are included, each with its server's proof.
    pub(crate) proofs: Vec<(u16, Vec<u8>)>,
    /// The greatest records of these shards.
    pub(crate) records: Vec<u8>,
    /// Whether any shard that is not included may have run the query.
    pub(crate) may_have_run: bool,
    /// Expected delay of each requested shard, in milliseconds, in the order of
    /// `positions` of the call.
    pub(crate) delays_ms: Vec<u16>,
    /// Number with which to call `rest` for the missing parts, if any may still come.
    pub(crate) rest: Option<u64>,
}

/// Question for the delays of the shards that the peer queries as a relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct DelaysCall {
    pub(crate) protocol_version: u16,
    /// Version of the routing table that the query uses.
    pub(crate) table_version: u64,
    /// Route of the query.
    pub(crate) route: String,
    /// Positions of the shards within the route.
    pub(crate) positions: Vec<u16>,
    /// Workspace of the caller, if it has one.
    pub(crate) workspace: Option<String>,
}

/// Report to a host that counts the crashes of a request of servers that were lost while they ran it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CrashReport {
    pub(crate) protocol_version: u16,
    /// Fingerprint of the request.
    pub(crate) request: u64,
    pub(crate) crashes: Vec<ReportedCrash>,
    /// Services that have answered the request.
    pub(crate) proven: Vec<String>,
}

/// Loss of a server as hosts tell it to each other, whose clocks differ.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ReportedCrash {
    service: String,
    /// Name of the server's incarnation.
    server: String,
    /// Time since the loss, in milliseconds.
    lost_ago_ms: u64,
    /// Time since the server's last answer to the host, in milliseconds.
    replied_ago_ms: Option<u64>,
}

impl ReportedCrash {
    fn new(crash: Crash, now: Instant) -> Self {
        let ago_ms = |at: Instant| {
            let ago = now.saturating_duration_since(at);
            u64::try_from(ago.as_millis()).unwrap_or(u64::MAX)
        };
        Self {
            service: crash.service.to_string(),
            server: crash.server,
            lost_ago_ms: ago_ms(crash.lost_at),
            replied_ago_ms: crash.replied_at.map(ago_ms),
        }
    }

    fn into_crash(self, now: Instant) -> Crash {
        let at = |ago_ms| now.checked_sub(Duration::from_millis(ago_ms));
        Crash {
            service: self.service.into(),
            server: self.server,
            lost_at: at(self.lost_ago_ms).unwrap_or(now),
            replied_at: self.replied_ago_ms.and_then(at),
        }
    }
}

impl CrashReport {
    /// Returns what to report at `now` of a request.
    pub(crate) fn new(request: u64, evidence: CrashEvidence, now: Instant) -> Self {
        let crashes = evidence.crashes.into_iter();
        Self {
            protocol_version: PROTOCOL_VERSION,
            request,
            crashes: crashes
                .map(|crash| ReportedCrash::new(crash, now))
                .collect(),
            proven: evidence.proven.iter().map(ToString::to_string).collect(),
        }
    }

    /// Returns the evidence of a report that has arrived at `now`.
    fn into_evidence(self, now: Instant) -> CrashEvidence {
        let crashes = self.crashes.into_iter();
        CrashEvidence {
            crashes: crashes.map(|crash| crash.into_crash(now)).collect(),
            proven: self.proven.into_iter().map(Into::into).collect(),
        }
    }
}

/// Request for permits of a slot, one entry for each workspace.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct PermitCall {
    pub(crate) protocol_version: u16,
    pub(crate) slot: u8,
    /// Whether the deputy has passed the call on.
    pub(crate) is_passed_on: bool,
    /// Names of workspaces, each with the number of permits.
    pub(crate) asks: Vec<(String, u32)>,
}

/// Answer for one workspace, in the order of the request.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct WireAnswer {
    granted: u32,
    refused: u32,
    retry_after_ms: u32,
}

impl From<Answer> for WireAnswer {
    fn from(answer: Answer) -> Self {
        let retry_after_ms = answer.retry_after.as_millis();
        Self {
            granted: answer.granted,
            refused: answer.refused,
            retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
        }
    }
}

impl From<WireAnswer> for Answer {
    fn from(answer: WireAnswer) -> Self {
        Self {
            granted: answer.granted,
            refused: answer.refused,
            retry_after: Duration::from_millis(answer.retry_after_ms.into()),
        }
    }
}

/// Counts of an issuer for its deputy, which also tells that the issuer lives.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CopyCall {
    pub(crate) protocol_version: u16,
    pub(crate) slot: u8,
    /// Term of the issuer.
    pub(crate) term: u64,
    pub(crate) issuer: String,
    /// Era and revision of the issuer's key in the store.
    pub(crate) position: (u64, u64),
    /// Whether the issuer grants nothing more.
    pub(crate) is_last: bool,
    pub(crate) copy: WireCopy,
}

/// Permits as hosts tell them to each other, whose clocks differ.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireCopy {
    pub(crate) is_full: bool,
    starts: Vec<WireStart>,
    entries: Vec<(String, Vec<WireGrants>)>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct WireGrants {
    ago_ms: u32,
    count: u32,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct WireStart {
    /// Negative if the time is still to come.
    ago_ms: i64,
    knowledge: WireKnowledge,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum WireKnowledge {
    Nothing,
    Busy,
    Copied,
    All,
}

impl WireStart {
    fn new(start: Start, now: Instant) -> Self {
        let ago_ms = now.saturating_duration_since(start.at).as_millis();
        let in_ms = start.at.saturating_duration_since(now).as_millis();
        let ago_ms = i64::try_from(ago_ms).unwrap_or(i64::MAX);
        Self {
            ago_ms: ago_ms.saturating_sub_unsigned(u64::try_from(in_ms).unwrap_or(u64::MAX)),
            knowledge: match start.knowledge {
                Knowledge::Nothing => WireKnowledge::Nothing,
                Knowledge::Busy => WireKnowledge::Busy,
                Knowledge::Copied => WireKnowledge::Copied,
                Knowledge::All => WireKnowledge::All,
            },
        }
    }

    fn into_start(self, now: Instant) -> Start {
        let distance = Duration::from_millis(self.ago_ms.unsigned_abs());
        let at = if self.ago_ms < 0 {
            now.checked_add(distance)
        } else {
            now.checked_sub(distance)
        };
        Start {
            at: at.unwrap_or(now),
            knowledge: match self.knowledge {
                WireKnowledge::Nothing => Knowledge::Nothing,
                WireKnowledge::Busy => Knowledge::Busy,
                WireKnowledge::Copied => Knowledge::Copied,
                WireKnowledge::All => Knowledge::All,
            },
        }
    }
}

impl WireCopy {
    /// Returns what to send at `now`.
    pub(crate) fn new(copy: Copy, now: Instant) -> Self {
        let wire_grants = |grants: &Grants| {
            let ago = now.saturating_duration_since(grants.began);
            WireGrants {
                ago_ms: u32::try_from(ago.as_millis()).unwrap_or(u32::MAX),
                count: grants.count,
            }
        };
        let entries = copy.entries.into_iter().map(|entry| {
            let grants = entry.grants.iter().map(wire_grants).collect();
            (entry.workspace.to_string(), grants)
        });
        Self {
            is_full: copy.is_full,
            starts: copy
                .starts
                .into_iter()
                .map(|start| WireStart::new(start, now))
                .collect(),
            entries: entries.collect(),
        }
    }

    /// Returns the permits of a copy that has arrived at `now`.
    pub(crate) fn into_copy(self, now: Instant) -> Copy {
        let grants = |wire: WireGrants| Grants {
            began: now
                .checked_sub(Duration::from_millis(wire.ago_ms.into()))
                .unwrap_or(now),
            count: wire.count,
        };
        let entries = self.entries.into_iter().map(|(workspace, wire)| CopyEntry {
            workspace: workspace.into(),
            grants: wire.into_iter().map(grants).collect(),
        });
        Copy {
            is_full: self.is_full,
            starts: self
                .starts
                .into_iter()
                .map(|start| start.into_start(now))
                .collect(),
            entries: entries.collect(),
        }
    }
}

/// Reply of a deputy.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) enum CopyReply {
    Taken {
        /// Whether the deputy lacks earlier permits, as it has restarted.
        needs_full_copy: bool,
    },
    /// The host has taken over or is about to.
    Refused,
}

/// Calls that a host answers to its peers.
#[tarpc::service]
pub(crate) trait Peer {
    /// Returns changes of the store's keys, waiting for some if there are none.
    async fn news(call: ChangesRequest) -> std::result::Result<ChangesReply, Error>;
    /// Queries servers near the peer and returns their merged parts.
    async fn gather(call: GatherCall) -> std::result::Result<GatherReply, Error>;
    /// Waits for the parts that were missing from a reply to `gather`.
    async fn rest(number: u64) -> std::result::Result<GatherReply, Error>;
    /// Sends a request to a server that the calling host must not call.
    async fn forward(call: ForwardCall) -> std::result::Result<ForwardReply, Error>;
    /// Takes news of a server.
    async fn cold(news: ColdNews) -> std::result::Result<(), Error>;
    /// Takes a report, and returns the hold of the request if it is held back.
    async fn crash(report: CrashReport) -> std::result::Result<Option<HoldRecord>, Error>;
    /// Grants or refuses permits, if this host is the issuer of the slot.
    async fn permit(call: PermitCall) -> std::result::Result<Vec<WireAnswer>, Error>;
    /// Returns whether this host can be the deputy for a slot.
    async fn probe(protocol_version: u16, slot: u8) -> std::result::Result<bool, Error>;
    /// Takes the counts of an issuer, whose deputy this host is.
    async fn copy(call: CopyCall) -> std::result::Result<CopyReply, Error>;
    /// Returns the expected delays of shards, in milliseconds, in the order of the call.
    async fn delays(call: DelaysCall) -> std::result::Result<Vec<u16>, Error>;
}

struct PeerServer<A: Adapter>(Rc<Shared<A>>);

impl<A: Adapter> Clone for PeerServer<A> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<A: Adapter> Peer for PeerServer<A> {
    async fn news(self, _: Context, call: ChangesRequest) -> Result<ChangesReply> {
        check_version(call.protocol_version)?;
        Ok(store_sync::answer_changes(&self.0, &call).await)
    }

    async fn gather(self, _: Context, call: GatherCall) -> Result<GatherReply> {
        check_version(call.protocol_version)?;
        relay_server::gather(&self.0, call).await
    }

    async fn rest(self, _: Context, number: u64) -> Result<GatherReply> {
        relay_server::take_late_reply(&self.0, number).await
    }

    async fn forward(self, _: Context, call: ForwardCall) -> Result<ForwardReply> {
        check_version(call.call.protocol_version)?;
        cold_relay::serve(&self.0, call).await
    }

    async fn cold(self, _: Context, news: ColdNews) -> Result<()> {
        check_version(news.protocol_version)?;
        cold_news::on_told(&self.0, &news);
        Ok(())
    }

    async fn crash(self, _: Context, report: CrashReport) -> Result<Option<HoldRecord>> {
        check_version(report.protocol_version)?;
        let request = report.request;
        let evidence = report.into_evidence(Instant::now());
        Ok(crash_reports::on_reported(&self.0, request, &evidence).await)
    }

    async fn permit(self, _: Context, call: PermitCall) -> Result<Vec<WireAnswer>> {
        check_version(call.protocol_version)?;
        let slot = Slot::new(call.slot);
        let slot = slot.ok_or_else(|| Error::new(Kind::BadPeer, "there is no such slot"))?;
        let answers = quota_issuer::answer_peer(&self.0, slot, call).await?;
        Ok(answers.into_iter().map(WireAnswer::from).collect())
    }

    async fn probe(self, _: Context, protocol_version: u16, slot: u8) -> Result<bool> {
        check_version(protocol_version)?;
        Ok(quota_issuer::can_be_deputy(&self.0, slot).await)
    }

    async fn copy(self, _: Context, call: CopyCall) -> Result<CopyReply> {
        check_version(call.protocol_version)?;
        quota_issuer::on_copy(&self.0, call)
    }

    async fn delays(self, _: Context, call: DelaysCall) -> Result<Vec<u16>> {
        check_version(call.protocol_version)?;
        delay_reports::answer(&self.0, &call)
    }
}

fn check_version(version: u16) -> Result<()> {
    if version == PROTOCOL_VERSION {
        return Ok(());
    }
    let detail = format!("protocol version {version} is not supported, {PROTOCOL_VERSION} is");
    Err(Error::new(Kind::BadPeer, detail))
}

/// Serves calls of peers for as long as the process lives.
pub(crate) async fn serve<A: Adapter>(shared: Rc<Shared<A>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(Rc::clone(&shared), stream));
            }
            Err(error) => {
                log::warn!(target: "peer", "Accepting a connection failed: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<A: Adapter>(shared: Rc<Shared<A>>, stream: TcpStream) {
    set_socket_options(&stream);
    BaseChannel::with_defaults(transport(stream))
        .execute(PeerServer(shared).serve())
        .for_each(|response| {
            spawn_local(response);
            std::future::ready(())
        })
        .await;
}

fn set_socket_options(stream: &TcpStream) {
    if let Err(error) = stream
        .set_nodelay(true)
        .and_then(|()| enable_dead_peer_detection(stream))
    {
        log::debug!(target: "peer", "Socket options of a peer's connection cannot be set: {error}.");
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

/// Clients of peers, with one connection each.
#[derive(Default)]
pub(crate) struct Peers {
    clients: HashMap<SocketAddr, PeerClient>,
    /// Shortest time that opening a connection took, which is about one round trip.
    round_trips: HashMap<SocketAddr, Duration>,
}

impl Peers {
    /// Returns the round trip to a peer, if one was measured.
    pub(crate) fn round_trip(&self, addr: SocketAddr) -> Option<Duration> {
        self.round_trips.get(&addr).copied()
    }

    /// Drops the connection to a peer, so that the next call opens another one.
    pub(crate) fn disconnect(&mut self, addr: SocketAddr) {
        self.clients.remove(&addr);
    }
}

/// Fetches changes of the store's keys from the peer at `addr`.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] if the peer does not answer in time, or the
/// peer's own error.
pub(crate) async fn fetch_changes<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    request: ChangesRequest,
    deadline: Instant,
) -> Result<ChangesReply> {
    let client = client(shared, addr).await?;
    let reply = client.news(context_until(deadline), request).await;
    peer_result(shared, addr, reply)
}

/// Connects to the peer at `addr` unless there is a connection. Calls that follow without
/// a pause are then sent at once.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] with `ran: no` if there is no connection in time.
pub(crate) async fn connect<A: Adapter>(shared: &Shared<A>, addr: SocketAddr) -> Result<()> {
    client(shared, addr).await.map(drop)
}

/// Asks the peer at `addr` to query servers near it.
///
/// # Errors
///
/// Returns [`Kind::HostLost`] if the peer does not answer in time, or the
/// peer's own error.
pub(crate) async fn request_parts<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    call: GatherCall,
    deadline: Instant,
) -> Result<GatherReply> {
    let client = client(shared, addr).await?;
    let reply = client.gather(context_until(deadline), call).await;
    peer_result(shared, addr, reply)
}

/// Asks the peer at `addr` for the parts that were missing from its reply.
///
/// # Errors
///
/// Returns the errors of [`request_parts`].
pub(crate) async fn request_rest<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    number: u64,
    deadline: Instant,
) -> Result<GatherReply> {
    let client = client(shared, addr).await?;
    let reply = client.rest(context_until(deadline), number).await;
    peer_result(shared, addr, reply)
}

/// Asks the peer at `addr` for the delays of shards near it, in milliseconds.
///
/// # Errors
///
/// Returns the errors of [`request_parts`].
pub(crate) async fn request_delays<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    call: DelaysCall,
    deadline: Instant,
) -> Result<Vec<u16>> {
    let client = client(shared, addr).await?;
    let reply = client.delays(context_until(deadline), call).await;
    peer_result(shared, addr, reply)
}

/// Asks the peer at `addr` to send a request to a server.
///
/// # Errors
///
/// Returns the errors of [`request_parts`].
pub(crate) async fn forward<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    call: ForwardCall,
    deadline: Instant,
) -> Result<ForwardReply> {
    let client = client(shared, addr).await?;
    let reply = client.forward(context_until(deadline), call).await;
    peer_result(shared, addr, reply)
}

/// Tells the peer at `addr` that a server has become cold.
///
/// # Errors
///
/// Returns the errors of [`request_parts`].
pub(crate) async fn tell_cold<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    news: ColdNews,
    deadline: Instant,
) -> Result<()> {
    let client = client(shared, addr).await?;
    let reply = client.cold(context_until(deadline), news).await;
    peer_result(shared, addr, reply)
}

/// Reports the loss of servers to the peer at `addr`.
///
/// # Errors
///
/// Returns the errors of [`request_parts`].
pub(crate) async fn report_crash<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    report: CrashReport,
    deadline: Instant,
) -> Result<Option<HoldRecord>> {
    let client = client(shared, addr).await?;
    let reply = client.crash(context_until(deadline), report).await;
    peer_result(shared, addr, reply)
}

/// Asks the issuer at `addr` for permits.
///
/// # Errors
///
/// Returns the errors of [`request_parts`], and [`Kind::NoPermit`] if the peer may not
/// grant permits of the slot.
pub(crate) async fn request_permits<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    call: PermitCall,
    deadline: Instant,
) -> Result<Vec<Answer>> {
    let client = client(shared, addr).await?;
    let reply = client.permit(context_until(deadline), call).await;
    let answers = peer_result(shared, addr, reply)?;
    Ok(answers.into_iter().map(Answer::from).collect())
}

/// Asks the peer at `addr` whether it can be the deputy for a slot.
///
/// # Errors
///
/// Returns the errors of [`request_parts`].
pub(crate) async fn probe_deputy<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    slot: u8,
    deadline: Instant,
) -> Result<bool> {
    let client = client(shared, addr).await?;
    let reply = client
        .probe(context_until(deadline), PROTOCOL_VERSION, slot)
        .await;
    peer_result(shared, addr, reply)
}

/// Sends counts to the deputy at `addr`.
///
/// # Errors
///
/// Returns the errors of [`request_parts`].
pub(crate) async fn send_copy<A: Adapter>(
    shared: &Shared<A>,
    addr: SocketAddr,
    call: CopyCall,
    deadline: Instant,
) -> Result<CopyReply> {
    let client = client(shared, addr).await?;
    let reply = client.copy(context_until(deadline), call).await;
    peer_result(shared, addr, reply)
}

/// Flattens the result of a call, and drops the connection if the call failed.
fn peer_result<A: Adapter, T>(
    shared: &Shared<A>,
    addr: SocketAddr,
    reply: Result<Result<T>, RpcError>,
) -> Result<T> {
    reply.unwrap_or_else(|error| {
        // The connection may be broken or silent; the next call opens a new one.
        shared.peers.borrow_mut().disconnect(addr);
        let lost = Error::new(Kind::HostLost, format!("{addr}: {error}"));
        Err(match error {
            // The transport has not taken the call.
            RpcError::Send(_) => lost.with_ran(kind::Ran::No),
            _ => lost,
        })
    })
}

/// Returns the client of the peer at `addr`, connecting first if there is none.
async fn client<A: Adapter>(shared: &Shared<A>, addr: SocketAddr) -> Result<PeerClient> {
    if let Some(client) = shared.peers.borrow().clients.get(&addr) {
        return Ok(client.clone());
    }
    let host_lost = |detail: String| {
        Error::new(Kind::HostLost, format!("{addr}: {detail}")).with_ran(kind::Ran::No)
    };
    let began = Instant::now();
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| host_lost("no connection in time".to_owned()))?
        .map_err(|error| host_lost(error.to_string()))?;
    let took = began.elapsed();
    set_socket_options(&stream);
    let created = PeerClient::new(Config::default(), transport(stream));
    spawn_local(async move {
        if let Err(error) = created.dispatch.await {
            log::debug!(target: "peer", "Connection to {addr} ended: {error}.");
        }
    });
    let mut peers = shared.peers.borrow_mut();
    let round_trip = peers.round_trips.entry(addr).or_insert(took);
    *round_trip = took.min(*round_trip);
    Ok(peers.clients.entry(addr).or_insert(created.client).clone())
}

fn context_until(deadline: Instant) -> Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}
