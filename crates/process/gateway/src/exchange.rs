//! A single request and its reply on a connection to a server.

use {
    crate::{
        adapter::Reply,
        connections::{self, AcquireError, Connection},
        identity::{self, Identity},
        quota::{self, RequestPermit},
        shared::Shared,
        Adapter, Protocol, RequestOptions,
    },
    bytes::{Bytes, BytesMut},
    http::{header, request, Request, StatusCode, Uri, Version},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, ext::on_informational},
    kind::{Error, Ran},
    link::{CheckedOutConnection, Evidence, Fingerprint, Refusal as RefusalEvidence},
    plan::{LeafFault, Reason, Refusal},
    replica::{PendingCall, ReplicaKey, ServerId},
    routing::{AllowedRegions, Route, ServiceName, Workspace},
    scatter::Failure,
    std::{
        cell::{Cell, RefCell},
        error::Error as _,
        io,
        rc::Rc,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
    tokio::{select, sync::Notify},
};

/// Maximum size of a reply body in bytes. Bounds the memory used by one call.
const MAX_REPLY_BYTES: usize = 8 * 1_024 * 1_024;
/// Size up to which a reply is read in any case. Larger ones are given up while
/// the replies being read hold more than [`MAX_BUFFERED_BYTES`] together.
const SMALL_REPLY_BYTES: usize = 64 * 1_024;
/// Total size of the replies being read, in bytes, above which only small ones are
/// read on. Bounds the memory used if many servers send bytes without end.
const MAX_BUFFERED_BYTES: usize = 24 * 1_024 * 1_024;
/// Largest request body, in bytes, after which a connection is reused if the
/// server replied with an error. The server may send an error before it has
/// read all of a larger body.
const MAX_REUSE_BODY_BYTES: usize = 8 * 1_024;
/// A call is not sent with less time than this before the deadline.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);
/// Number of interim responses to a request after which its connection is closed. A
/// server that sends them without end would occupy the processor until the deadline.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Number of stale connections, closed by the server, after which a call fails.
const MAX_STALE_CONNECTIONS: usize = 3;

/// What the calls of a request have shown so far.
#[derive(Debug, Default)]
pub(crate) struct CallEvidence {
    /// Services that have answered.
    pub(crate) answered: Vec<ServiceName>,
    /// Number of servers that were lost while they ran the request.
    pub(crate) lost: usize,
    /// Number of calls of which a byte may have been sent, without those that provably
    /// were not executed.
    pub(crate) possible_runs: usize,
    /// Number of calls to relays that have not reported yet whether they sent a byte.
    pub(crate) open_relay_calls: usize,
    /// Longest time that a call to one of these relays and its reply are on their way.
    pub(crate) relay_transit_time: Duration,
    /// Notified when a relay has reported.
    pub(crate) relay_reported: Rc<Notify>,
}

/// Whether a byte of a call may have been sent.
pub(crate) struct SendState<'a> {
    outgoing: &'a OutgoingRequest,
    is_sent: Cell<bool>,
}

impl<'a> SendState<'a> {
    pub(crate) fn new(outgoing: &'a OutgoingRequest) -> Self {
        Self {
            outgoing,
            is_sent: Cell::new(false),
        }
    }

    pub(crate) fn is_sent(&self) -> bool {
        self.is_sent.get()
    }

    /// Records that the call is sent from now on.
    pub(crate) fn mark_sent(&self) {
        if !self.is_sent.replace(true) {
            self.outgoing.evidence.borrow_mut().possible_runs += 1;
        }
    }

    /// Records that the call was provably not executed.
    pub(crate) fn mark_not_executed(&self) {
        if self.is_sent.replace(false) {
            self.outgoing.evidence.borrow_mut().possible_runs -= 1;
        }
    }
}

/// A caller's request in the form that is sent to servers.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) route: Arc<Route>,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) options: RequestOptions,
    /// Workspace of the caller, `None` if it has none.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Regions in which the request may be served.
    pub(crate) allowed_regions: AllowedRegions,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether only a success status is usable, as for a part of a merged response.
    pub(crate) needs_success: bool,
    /// Identifies equal requests.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the request is held back and tried on one server of a service.
    pub(crate) is_canary: bool,
    pub(crate) evidence: RefCell<CallEvidence>,
    /// Whether the request has ended, so that no further call may be sent.
    pub(crate) has_ended: Cell<bool>,
    /// What the caller was identified by.
    pub(crate) identity: Identity,
    /// Permit under the quota of the workspace.
    pub(crate) permit: RequestPermit,
}

/// The server of a call, and what was known of it when it was picked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeTarget {
    pub(crate) key: ReplicaKey,
    /// Number of the call.
    pub(crate) number: u64,
    /// Whether the server was known to leave.
    pub(crate) was_leaving: bool,
    /// Number of connections to the server that this host may hold.
    pub(crate) max_connections: u32,
}

impl ExchangeTarget {
    /// Returns what is checked before the call is sent.
    pub(crate) fn pending_call<'a>(&self, outgoing: &'a OutgoingRequest) -> PendingCall<'a> {
        PendingCall {
            key: self.key,
            number: self.number,
            was_leaving: self.was_leaving,
            regions: &outgoing.allowed_regions,
        }
    }
}

/// The result of a call and what it indicates about the server.
#[derive(Debug)]
pub(crate) struct ExchangeResult {
    pub(crate) result: Result<Reply, FailedCall>,
    pub(crate) evidence: Evidence,
}

/// A call without a usable reply, with the server's error response if it sent one.
#[derive(Debug)]
pub(crate) struct FailedCall {
    pub(crate) failure: Failure,
    pub(crate) reply: Option<Reply>,
    /// Whether the address now belongs to another server.
    pub(crate) is_misdirected: bool,
    /// Whether the connection ended after the request was sent and before the reply
    /// was complete.
    pub(crate) is_connection_lost: bool,
}

impl From<Failure> for FailedCall {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            reply: None,
            is_misdirected: false,
            is_connection_lost: false,
        }
    }
}

/// Sends the request to a server and reads its reply.
///
/// Sends nothing if `is_wanted` returns false. The query may have ended while
/// the call waited for a connection. Marks `send_state` before the first byte is sent.
pub(crate) async fn run<A: Adapter>(
    shared: &Rc<Shared<A>>,
    target: ExchangeTarget,
    outgoing: &OutgoingRequest,
    is_wanted: impl Fn() -> bool,
    send_state: &SendState<'_>,
) -> ExchangeResult {
    let result = exchange(shared, target, outgoing, is_wanted, send_state).await;
    if matches!(&result.result, Err(failed) if failed.failure.ran == Ran::No) {
        send_state.mark_not_executed();
    }
    result
}

async fn exchange<A: Adapter>(
    shared: &Rc<Shared<A>>,
    target: ExchangeTarget,
    outgoing: &OutgoingRequest,
    is_wanted: impl Fn() -> bool,
    send_state: &SendState<'_>,
) -> ExchangeResult {
    let key = target.key;
    if outgoing.is_canary {
        // Only a server that accepts a connection now can run it. On one whose server was
        // lost unseen, the canary would count although no server has begun to run it.
        shared.connections.borrow_mut().close_idle(key);
    }
    for _ in 0..MAX_STALE_CONNECTIONS {
        send_state.mark_not_executed();
        let lease = connections::acquire(shared, target, outgoing).await;
        let lease = match lease {
            Ok(lease) => lease,
            Err(error) => return no_connection(error),
        };
        let entry_id = shared
            .servers
            .borrow()
            .entry(key)
            .map(|entry| entry.id.clone());
        let loaned = LoanedConnection::new(shared, key);
        if let Err(error) = quota::renew(shared, outgoing).await {
            loaned.release(lease.connection);
            return refused(outgoing, error);
        }
        let Some(id) = entry_id else {
            return no_connection(AcquireError::Unreachable);
        };
        match send(loaned, lease, target, &id, outgoing, &is_wanted, send_state).await {
            Some(result) => return result,
            // The server had closed the idle connection, so nothing was sent.
            None => continue,
        }
    }
    no_connection(AcquireError::Unreachable)
}

fn no_connection(error: AcquireError) -> ExchangeResult {
    let (reason, evidence) = match error {
        AcquireError::Unreachable => (Reason::Unreachable, Evidence::Unreachable),
        AcquireError::NoResponse => (Reason::Unreachable, Evidence::NoResponse),
        AcquireError::Busy => (Reason::Shed, Evidence::Inconclusive),
        AcquireError::Leaving => (Reason::Draining, Evidence::Inconclusive),
    };
    let failure = Failure {
        reason,
        ran: Ran::No,
        reached_server: false,
    };
    ExchangeResult {
        result: Err(failure.into()),
        evidence,
    }
}

/// A connection taken from the pool. It counts as closed unless it is released.
struct LoanedConnection<'a, A: Adapter> {
    shared: &'a Shared<A>,
    key: ReplicaKey,
    is_released: bool,
}

impl<'a, A: Adapter> LoanedConnection<'a, A> {
    fn new(shared: &'a Shared<A>, key: ReplicaKey) -> Self {
        Self {
            shared,
            key,
            is_released: false,
        }
    }

    fn release(mut self, connection: Connection) {
        self.is_released = true;
        let mut connections = self.shared.connections.borrow_mut();
        connections.release(self.key, connection, Instant::now());
    }
}

impl<A: Adapter> Drop for LoanedConnection<'_, A> {
    fn drop(&mut self) {
        if !self.is_released {
            self.shared.connections.borrow_mut().on_closed(self.key);
        }
    }
}

/// Sends the request on a connection and reads the reply. Returns `None` if a reused
/// connection turns out to be closed before any byte was sent.
async fn send<A: Adapter>(
    loaned: LoanedConnection<'_, A>,
    lease: CheckedOutConnection<Connection>,
    target: ExchangeTarget,
    id: &ServerId,
    outgoing: &OutgoingRequest,
    is_wanted: &impl Fn() -> bool,
    send_state: &SendState<'_>,
) -> Option<ExchangeResult> {
    let shared = loaned.shared;
    let is_reused = lease.is_reused;
    let mut connection = lease.connection;
    if connection.ready().await.is_err() {
        return None;
    }
    let sent_at = Instant::now();
    let allowed = identity::check_send(loaned.shared, outgoing);
    if let Err(error) = allowed.and_then(|()| outgoing.permit.check()) {
        loaned.release(connection);
        return Some(refused(outgoing, error));
    }
    let time_left = outgoing.deadline.saturating_duration_since(sent_at);
    if time_left < MIN_TIME_LEFT || !is_wanted() {
        loaned.release(connection);
        let reason = if is_wanted() {
            Reason::Deadline
        } else {
            Reason::NotAwaited
        };
        return Some(failed_exchange(
            LeafFault::NotWritten,
            reason,
            Evidence::Inconclusive,
        ));
    }
    // The server may have begun to leave, or refused another call, while this one
    // waited for the connection.
    let checked = {
        let mut servers = loaned.shared.servers.borrow_mut();
        servers.begin_send(target.pending_call(outgoing), sent_at)
    };
    if let Err(refusal) = checked {
        loaned.release(connection);
        return Some(no_connection(shared.refused(refusal)));
    }
    let mut request = outgoing.request::<A>(id, time_left);
    send_state.mark_sent();
    let interim_limit = InterimLimit::attach(&mut request);
    let unused_permit = outgoing.permit.on_sent();
    let sent = select! {
        sent = connection.try_send_request(request) => sent,
        () = interim_limit.exceeded() => {
            return Some(failed_exchange(
                LeafFault::Malformed,
                Reason::Mismatch,
                Evidence::ConnectionLost,
            ));
        }
    };
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.message().is_some() && is_reused => {
            let mut servers = loaned.shared.servers.borrow_mut();
            servers.on_not_sent(target.key, target.number, Instant::now());
            outgoing.permit.on_unsent(unused_permit);
            return None;
        }
        Err(error) => {
            let (fault, reason) = if error.message().is_some() {
                // A later call of the request still needs its permit.
                outgoing.permit.on_unsent(unused_permit);
                (LeafFault::NotWritten, Reason::Lost)
            } else if error.error().is_parse() {
                // The server runs on; it has sent bytes that are no answer.
                (LeafFault::Malformed, Reason::Mismatch)
            } else {
                (LeafFault::LostAfterWrite, Reason::Lost)
            };
            return Some(failed_exchange(fault, reason, Evidence::ConnectionLost));
        }
    };
    let (head, body) = response.into_parts();
    let reply_bytes = &loaned.shared.reply_bytes;
    let body = match read_reply_body(body, reply_bytes).await {
        Ok(body) => body,
        Err(error) => {
            let mut exchange_result = failed_exchange(
                LeafFault::LostInReply,
                Reason::Lost,
                Evidence::ConnectionLost,
            );
            if let (Err(failed), BodyError::GivenUp) = (&mut exchange_result.result, error) {
                // The server runs on, and has perhaps sent a reply that is complete.
                failed.is_connection_lost = false;
            }
            return Some(exchange_result);
        }
    };
    let latency = sent_at.elapsed();
    let metadata = A::Protocol::read_server_metadata(&head);
    let reply = Reply {
        head,
        metadata,
        body,
    };
    let class = classify(&reply, outgoing);
    record_server_state(loaned.shared, loaned.key, &reply);
    let request_was_read =
        reply.head.status.is_success() || outgoing.body.len() <= MAX_REUSE_BODY_BYTES;
    if class.keeps_connection() && request_was_read && !requests_close(&reply.head) {
        loaned.release(connection);
    }
    Some(class.into_result(reply, latency))
}

/// Counts the interim responses to a request.
#[derive(Default)]
struct InterimLimit {
    count: AtomicUsize,
    exceeded: Notify,
}

impl InterimLimit {
    fn attach<B>(request: &mut Request<B>) -> Arc<Self> {
        let limit = Arc::new(Self::default());
        let counted = Arc::clone(&limit);
        on_informational(request, move |_| {
            if counted.count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
                counted.exceeded.notify_one();
            }
        });
        limit
    }

    /// Waits until there are more than [`MAX_INTERIM_RESPONSES`].
    async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

/// Returns the result of a call that was not made because the request may not run.
fn refused(outgoing: &OutgoingRequest, error: Error) -> ExchangeResult {
    outgoing.identity.on_refused(error);
    failed_exchange(LeafFault::NotWritten, Reason::Shed, Evidence::Inconclusive)
}

fn failed_exchange(fault: LeafFault, reason: Reason, evidence: Evidence) -> ExchangeResult {
    let ran = plan::LeafFailure::from(fault).ran;
    let failure = Failure {
        reason,
        ran,
        reached_server: ran != Ran::No,
    };
    let mut failed = FailedCall::from(failure);
    failed.is_connection_lost = matches!(fault, LeafFault::LostAfterWrite | LeafFault::LostInReply);
    ExchangeResult {
        result: Err(failed),
        evidence,
    }
}

/// The part of a reply that has been read, counted in the total of all replies.
struct ReplyBuffer<'a> {
    total_bytes: &'a Cell<usize>,
    bytes: BytesMut,
}

impl<'a> ReplyBuffer<'a> {
    fn new(total_bytes: &'a Cell<usize>) -> Self {
        Self {
            total_bytes,
            bytes: BytesMut::new(),
        }
    }

    /// Appends `data`, unless the reply or all replies together get too large;
    /// returns whether it was appended.
    fn try_extend(&mut self, data: &[u8]) -> bool {
        let size = self.bytes.len() + data.len();
        let total = self.total_bytes.get() + data.len();
        let is_small = size <= SMALL_REPLY_BYTES;
        if size > MAX_REPLY_BYTES || (total > MAX_BUFFERED_BYTES && !is_small) {
            return false;
        }
        self.bytes.extend_from_slice(data);
        self.total_bytes.set(total);
        true
    }
}

impl Drop for ReplyBuffer<'_> {
    fn drop(&mut self) {
        let total = self.total_bytes.get();
        self.total_bytes.set(total.saturating_sub(self.bytes.len()));
    }
}

/// Why the body of a reply was not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyError {
    /// The connection ended before.
    ConnectionLost,
    /// This host reads no further, because the body is too large or invalid.
    GivenUp,
}

impl From<hyper::Error> for BodyError {
    fn from(error: hyper::Error) -> Self {
        let source = error.source();
        let io_error = source.and_then(|source| source.downcast_ref::<io::Error>());
        match io_error.map(io::Error::kind) {
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Self::GivenUp,
            _ => Self::ConnectionLost,
        }
    }
}

async fn read_reply_body(
    mut body: Incoming,
    total_bytes: &Cell<usize>,
) -> Result<Bytes, BodyError> {
    let mut buffer = ReplyBuffer::new(total_bytes);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            if !buffer.try_extend(&data) {
                return Err(BodyError::GivenUp);
            }
        }
    }
    Ok(Bytes::copy_from_slice(&buffer.bytes))
}

fn record_server_state<A: Adapter>(shared: &Shared<A>, key: ReplicaKey, reply: &Reply) {
    // Without either, another server or a device on the way may have answered.
    if reply.metadata.proof.is_some() || reply.metadata.is_not_executed {
        record_server_wishes(shared, key, reply);
    }
    if let Some(load) = reply.metadata.load {
        let mut servers = shared.servers.borrow_mut();
        servers.on_load(key, load, Instant::now());
    }
    if let Some(idle_timeout) = reply.metadata.idle_timeout {
        shared
            .connections
            .borrow_mut()
            .on_idle_timeout(key, idle_timeout);
    }
}

/// Records what the server says about the requests that it takes.
fn record_server_wishes<A: Adapter>(shared: &Shared<A>, key: ReplicaKey, reply: &Reply) {
    let now = Instant::now();
    shared.on_server_limit(key, reply.metadata.limit_per_s);
    if let Some(left) = reply.metadata.warm_up_left {
        shared.on_warm_up_response(key, left);
    }
    let mut servers = shared.servers.borrow_mut();
    if let Some(time) = reply.metadata.retry_after {
        servers.on_retry_after(key, time, now);
        shared.servers_changed.notify_waiters();
    }
    if reply.metadata.is_leaving && servers.on_leaving(key, now) {
        shared.servers_changed.notify_waiters();
        let id = servers.entry(key).map_or("-", |entry| &*entry.id);
        log::info!(target: "upstream", "Server {id} says that it leaves.");
    }
}

fn requests_close(head: &http::response::Parts) -> bool {
    let values = head.headers.get_all(header::CONNECTION).iter();
    let mut tokens = values.filter_map(|value| value.to_str().ok());
    tokens.any(|value| {
        value
            .split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    })
}

/// Returns the fingerprint of a request: its method, host, path, workspace or other
/// credentials, and body.
pub(crate) fn fingerprint(
    head: &request::Parts,
    workspace: Option<&Workspace>,
    body: &Bytes,
) -> Fingerprint {
    let header = |name| head.headers.get(name).map_or(&b""[..], |v| v.as_bytes());
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    link::fingerprint_of_fields([
        head.method.as_str().as_bytes(),
        header(header::HOST),
        path.as_bytes(),
        workspace.map_or(header(header::AUTHORIZATION), |workspace| {
            workspace.name.as_bytes()
        }),
        body,
    ])
}

impl OutgoingRequest {
    /// Returns whether any call may have been executed.
    pub(crate) fn may_have_run(&self) -> bool {
        let evidence = self.evidence.borrow();
        evidence.possible_runs > 0 || evidence.open_relay_calls > 0
    }

    fn request<A: Adapter>(&self, id: &ServerId, time_left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.uri_mut() = path_only(&self.head.uri);
        let workspace = self.workspace.as_ref().map(|workspace| &*workspace.name);
        *request.headers_mut() =
            A::Protocol::request_headers(&self.head.headers, id, time_left, workspace);
        request
    }
}

/// Returns the path and query of a URI. Callers may also send the absolute form.
fn path_only(uri: &Uri) -> Uri {
    if uri.scheme().is_none() && uri.authority().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// Classification of a reply with respect to its call.
enum ReplyClass {
    /// A reply to pass on: the requested result, or the server's verdict that the request is
    /// invalid.
    Usable,
    /// An error of the server, which counts as executed.
    ServerFailed,
    /// The server states that it did not execute the request.
    Refused(Refusal),
    /// The address now belongs to another server.
    Misdirected,
    /// The reply belongs to another call.
    Mismatch,
    /// The reply does not follow the platform's protocol.
    Malformed,
}

fn classify(reply: &Reply, outgoing: &OutgoingRequest) -> ReplyClass {
    let metadata = &reply.metadata;
    let echo = metadata.request_id.as_ref();
    if echo.is_some_and(|echo| Some(echo) != outgoing.options.request_id.as_ref()) {
        return ReplyClass::Mismatch;
    }
    if reply.head.headers.contains_key(header::CONTENT_ENCODING) {
        return ReplyClass::Malformed;
    }
    let status = reply.head.status;
    // Other statuses are not those of a response, and callers could take them for one.
    if !(200..600).contains(&status.as_u16()) {
        return ReplyClass::Malformed;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ReplyClass::Misdirected;
    }
    if metadata.is_not_executed {
        let is_bad_request = status == StatusCode::BAD_REQUEST;
        if is_bad_request && !outgoing.needs_success {
            return ReplyClass::Usable;
        }
        return ReplyClass::Refused(Refusal {
            reason: Reason::Shed,
            ran: Ran::No,
            echoes_ids: true,
            newest_version: None,
        });
    }
    if metadata.proof.is_none() {
        return ReplyClass::Malformed;
    }
    if status.is_server_error() || (outgoing.needs_success && !status.is_success()) {
        return ReplyClass::ServerFailed;
    }
    ReplyClass::Usable
}

impl ReplyClass {
    fn keeps_connection(&self) -> bool {
        !matches!(self, Self::Mismatch | Self::Malformed | Self::Misdirected)
    }

    fn into_result(self, reply: Reply, latency: Duration) -> ExchangeResult {
        match self {
            Self::Usable => ExchangeResult {
                result: Ok(reply),
                evidence: Evidence::Replied(latency),
            },
            Self::ServerFailed => {
                let failure = Failure {
                    reason: Reason::Lost,
                    ran: Ran::Yes,
                    reached_server: true,
                };
                ExchangeResult {
                    result: Err(FailedCall {
                        failure,
                        reply: Some(reply),
                        is_misdirected: false,
                        is_connection_lost: false,
                    }),
                    evidence: Evidence::ConnectionLost,
                }
            }
            Self::Refused(refusal) => ExchangeResult {
                result: Err(Failure {
                    reason: refusal.reason,
                    ran: refusal.ran,
                    reached_server: true,
                }
                .into()),
                evidence: Evidence::Refused(RefusalEvidence::Shed),
            },
            Self::Misdirected => ExchangeResult {
                result: Err(FailedCall {
                    failure: Failure {
                        reason: Reason::Unreachable,
                        ran: Ran::No,
                        reached_server: true,
                    },
                    reply: None,
                    is_misdirected: true,
                    is_connection_lost: false,
                }),
                evidence: Evidence::Inconclusive,
            },
            Self::Mismatch => failed_exchange(
                LeafFault::Mismatch,
                Reason::Mismatch,
                Evidence::ConnectionLost,
            ),
            Self::Malformed => failed_exchange(
                LeafFault::Malformed,
                Reason::Mismatch,
                Evidence::ConnectionLost,
            ),
        }
    }
}
