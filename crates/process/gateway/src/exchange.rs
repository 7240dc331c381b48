//! One request and one answer on a connection to a server.

use {
    crate::{
        adapter::Reply,
        connections::{self, Connection, NoConnection},
        shared::Shared,
        Adapter, Ask, Protocol,
    },
    bytes::{Bytes, BytesMut},
    http::{header, request, Request, StatusCode, Uri, Version},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    kind::Ran,
    link::{Evidence, Lease, Refusal as Refused},
    plan::{LeafFault, Reason, Refusal},
    replica::{ReplicaKey, ServerId},
    scatter::Failure,
    std::time::{Duration, Instant},
};

/// Largest answer that is read, in bytes; bounds the memory of one call.
const MAX_REPLY_BYTES: usize = 8 * 1_024 * 1_024;
/// Largest body after which a connection is used again though the server
/// answered with a failure: it may have answered before it read all of a long one.
const MAX_REFUSED_BODY_BYTES: usize = 8 * 1_024;
/// Least time that is worth a call.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);
/// Connections that a call may find closed by the server before it gives up.
const MAX_STALE_CONNECTIONS: usize = 3;

/// A caller's request as it goes to servers.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) ask: Ask,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether only a success is of use, as it is for a part of an answer.
    pub(crate) needs_success: bool,
}

/// How a call ended.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) result: Result<Reply, Failed>,
    pub(crate) evidence: Evidence,
}

/// A call without an answer to use, with the server's own failure if it sent one.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) failure: Failure,
    pub(crate) reply: Option<Reply>,
    /// Whether another server has the address by now.
    pub(crate) has_moved: bool,
}

impl From<Failure> for Failed {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            reply: None,
            has_moved: false,
        }
    }
}

/// Sends the request to a server and reads its answer.
///
/// Nothing is sent once `is_wanted` says that nobody waits any more: the call
/// may have waited for its connection longer than the caller for the answer.
pub(crate) async fn run<A: Adapter>(
    shared: &Shared<A>,
    key: ReplicaKey,
    share: u32,
    outgoing: &Outgoing,
    is_wanted: impl Fn() -> bool,
) -> Ended {
    for _ in 0..MAX_STALE_CONNECTIONS {
        let lease = connections::acquire(shared, key, share, outgoing.deadline).await;
        let lease = match lease {
            Ok(lease) => lease,
            Err(why) => return without_connection(why),
        };
        let entry_id = shared
            .replicas
            .borrow()
            .entry(key)
            .map(|entry| entry.id.clone());
        let loan = Loan::new(shared, key);
        let Some(id) = entry_id else {
            return without_connection(NoConnection::Unreachable);
        };
        match send(loan, lease, &id, outgoing, &is_wanted).await {
            Some(ended) => return ended,
            // The server had closed the idle connection; nothing was sent.
            None => continue,
        }
    }
    without_connection(NoConnection::Unreachable)
}

fn without_connection(why: NoConnection) -> Ended {
    let (reason, evidence) = match why {
        NoConnection::Unreachable => (Reason::Unreachable, Evidence::Unreachable),
        NoConnection::Busy => (Reason::Shed, Evidence::Nothing),
    };
    let failure = Failure {
        reason,
        ran: Ran::No,
        has_arrived: false,
    };
    Ended {
        result: Err(failure.into()),
        evidence,
    }
}

/// A connection on loan; it counts as closed unless it is given back.
struct Loan<'a, A: Adapter> {
    shared: &'a Shared<A>,
    key: ReplicaKey,
    is_given_back: bool,
}

impl<'a, A: Adapter> Loan<'a, A> {
    fn new(shared: &'a Shared<A>, key: ReplicaKey) -> Self {
        Self {
            shared,
            key,
            is_given_back: false,
        }
    }

    fn give_back(mut self, connection: Connection) {
        self.is_given_back = true;
        let mut connections = self.shared.connections.borrow_mut();
        connections.give_back(self.key, connection, Instant::now());
    }
}

impl<A: Adapter> Drop for Loan<'_, A> {
    fn drop(&mut self) {
        if !self.is_given_back {
            self.shared.connections.borrow_mut().on_closed(self.key);
        }
    }
}

/// Returns `None` if a connection that was used before took no byte.
async fn send<A: Adapter>(
    loan: Loan<'_, A>,
    lease: Lease<Connection>,
    id: &ServerId,
    outgoing: &Outgoing,
    is_wanted: &impl Fn() -> bool,
) -> Option<Ended> {
    let is_reused = lease.is_reused;
    let mut connection = lease.connection;
    if connection.ready().await.is_err() {
        return None;
    }
    let sent_at = Instant::now();
    let time_left = outgoing.deadline.saturating_duration_since(sent_at);
    if time_left < MIN_TIME_LEFT || !is_wanted() {
        loan.give_back(connection);
        let reason = if is_wanted() {
            Reason::Deadline
        } else {
            Reason::NotAwaited
        };
        return Some(failed(LeafFault::NotWritten, reason, Evidence::Nothing));
    }
    let request = outgoing.request::<A>(id, time_left);
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        Err(error) if error.message().is_some() && is_reused => return None,
        Err(error) => {
            let fault = if error.message().is_some() {
                LeafFault::NotWritten
            } else {
                LeafFault::LostAfterWrite
            };
            return Some(failed(fault, Reason::Lost, Evidence::Died));
        }
    };
    let (head, body) = response.into_parts();
    let Some(body) = read_whole(body).await else {
        return Some(failed(LeafFault::LostInReply, Reason::Lost, Evidence::Died));
    };
    let latency = sent_at.elapsed();
    let word = A::Protocol::read_word(&head);
    let reply = Reply { head, word, body };
    let verdict = judge(&reply, outgoing);
    learn(loan.shared, loan.key, &reply);
    let is_over = reply.head.status.is_success() || outgoing.body.len() <= MAX_REFUSED_BODY_BYTES;
    if verdict.keeps_connection() && is_over && !asks_to_close(&reply.head) {
        loan.give_back(connection);
    }
    Some(verdict.into_ended(reply, latency))
}

fn failed(fault: LeafFault, reason: Reason, evidence: Evidence) -> Ended {
    let ran = plan::LeafFailure::from(fault).ran;
    let failure = Failure {
        reason,
        ran,
        has_arrived: ran != Ran::No,
    };
    Ended {
        result: Err(failure.into()),
        evidence,
    }
}

async fn read_whole(mut body: Incoming) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            if whole.len() + data.len() > MAX_REPLY_BYTES {
                return None;
            }
            whole.extend_from_slice(&data);
        }
    }
    Some(whole.freeze())
}

fn learn<A: Adapter>(shared: &Shared<A>, key: ReplicaKey, reply: &Reply) {
    if let Some(load) = reply.word.load {
        let mut replicas = shared.replicas.borrow_mut();
        replicas.on_load(key, load, Instant::now());
    }
    if let Some(stated) = reply.word.idle_timeout {
        shared.connections.borrow_mut().on_idle_timeout(key, stated);
    }
}

fn asks_to_close(head: &http::response::Parts) -> bool {
    let values = head.headers.get_all(header::CONNECTION).iter();
    let mut tokens = values.filter_map(|value| value.to_str().ok());
    tokens.any(|value| {
        value
            .split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    })
}

impl Outgoing {
    fn request<A: Adapter>(&self, id: &ServerId, time_left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.uri_mut() = path_only(&self.head.uri);
        *request.headers_mut() = A::Protocol::server_headers(&self.head.headers, id, time_left);
        request
    }
}

/// Returns path and query of a URI, which a caller may also send with a host.
fn path_only(uri: &Uri) -> Uri {
    if uri.scheme().is_none() && uri.authority().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// What an answer is to the call that it came for.
enum Verdict {
    /// What was asked for, or the server's own word that the request is wrong.
    Good,
    /// The server's own failure, which counts as run.
    ServerFailed,
    /// The server did not run the request.
    Refused(Refusal),
    /// Another server has the address.
    Moved,
    /// It belongs to another call.
    Mismatch,
    /// It is not what a server of this platform sends.
    Malformed,
}

fn judge(reply: &Reply, outgoing: &Outgoing) -> Verdict {
    let word = &reply.word;
    let echo = word.request_id.as_ref();
    if echo.is_some_and(|echo| Some(echo) != outgoing.ask.request_id.as_ref()) {
        return Verdict::Mismatch;
    }
    if reply.head.headers.contains_key(header::CONTENT_ENCODING) {
        return Verdict::Malformed;
    }
    let status = reply.head.status;
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Moved;
    }
    if word.has_not_run {
        let is_wrong = status == StatusCode::BAD_REQUEST;
        if is_wrong && !outgoing.needs_success {
            return Verdict::Good;
        }
        return Verdict::Refused(Refusal {
            reason: Reason::Shed,
            ran: Ran::No,
            is_own: true,
            newest_version: None,
        });
    }
    if word.proof.is_none() {
        return Verdict::Malformed;
    }
    if status.is_server_error() || (outgoing.needs_success && !status.is_success()) {
        return Verdict::ServerFailed;
    }
    Verdict::Good
}

impl Verdict {
    fn keeps_connection(&self) -> bool {
        !matches!(self, Self::Mismatch | Self::Malformed | Self::Moved)
    }

    fn into_ended(self, reply: Reply, latency: Duration) -> Ended {
        match self {
            Self::Good => Ended {
                result: Ok(reply),
                evidence: Evidence::Replied(latency),
            },
            Self::ServerFailed => {
                let failure = Failure {
                    reason: Reason::Lost,
                    ran: Ran::Yes,
                    has_arrived: true,
                };
                Ended {
                    result: Err(Failed {
                        failure,
                        reply: Some(reply),
                        has_moved: false,
                    }),
                    evidence: Evidence::Died,
                }
            }
            Self::Refused(refusal) => Ended {
                result: Err(Failure {
                    reason: refusal.reason,
                    ran: refusal.ran,
                    has_arrived: true,
                }
                .into()),
                evidence: Evidence::Refused(Refused::Shed),
            },
            Self::Moved => Ended {
                result: Err(Failed {
                    failure: Failure {
                        reason: Reason::Unreachable,
                        ran: Ran::No,
                        has_arrived: true,
                    },
                    reply: None,
                    has_moved: true,
                }),
                evidence: Evidence::Nothing,
            },
            Self::Mismatch => failed(LeafFault::Mismatch, Reason::Mismatch, Evidence::Died),
            Self::Malformed => failed(LeafFault::Malformed, Reason::Mismatch, Evidence::Died),
        }
    }
}
