//! One request and its reply on the connections of one server.
//!
//! A repeatable request that gets no byte on a reused connection within the
//! suspicion time is sent once more on a trusted or fresh one, and the first
//! reply wins. A request that may not be repeated is sent once.

use {
    crate::relay::pool::{CheckoutError, Connection, Pool},
    bytes::Bytes,
    http::{header, response, HeaderValue, Method, Request, Uri},
    http_body_util::{BodyExt, Full},
    kind::Ran,
    link::{Evidence, Stated},
    std::{
        future::Future,
        pin::{pin, Pin},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        select,
        time::{sleep, timeout_at},
    },
};

/// Header by which a server says that it takes no new work.
const DRAINING_HEADER: &str = "x-upstream-draining";
/// Header by which a server states its slots in use.
const LOAD_HEADER: &str = "x-upstream-load";

/// A request as it goes to one server.
pub(crate) struct LeafRequest {
    pub(crate) uri: Uri,
    pub(crate) body: Bytes,
    pub(crate) is_repeatable: bool,
    pub(crate) deadline: Instant,
}

/// A reply in full.
pub(crate) struct Exchanged {
    pub(crate) status: http::StatusCode,
    pub(crate) body: Bytes,
    pub(crate) stated: Stated,
    pub(crate) first_byte: Duration,
}

/// Why there is no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Unanswered {
    pub(crate) evidence: Evidence,
    pub(crate) ran: Ran,
}

type Outcome = Result<Exchanged, Unanswered>;

/// Sends a request and reads its reply.
///
/// # Errors
///
/// Returns what the failure shows about the server, and whether the request ran.
pub(crate) async fn exchange(pool: &Arc<Pool>, request: &LeafRequest) -> Outcome {
    let checkout = async {
        if request.is_repeatable {
            pool.checkout().await
        } else {
            pool.checkout_proven().await
        }
    };
    let connection = timeout_at(request.deadline.into(), checkout)
        .await
        .map_err(|_| Unanswered::new(Evidence::Nothing, Ran::No))?
        .map_err(Unanswered::from)?;
    let sending = send_guarded(pool, connection, request);
    timeout_at(request.deadline.into(), sending)
        .await
        .unwrap_or(Err(Unanswered::new(Evidence::TimedOut, Ran::Unknown)))
}

async fn send_guarded(pool: &Arc<Pool>, connection: Connection, request: &LeafRequest) -> Outcome {
    if !connection.is_reused || !request.is_repeatable {
        return send(pool, connection, request).await;
    }
    let sent_at = Instant::now();
    let time_left = request.deadline.saturating_duration_since(sent_at);
    let suspicion_time = pool.suspicion_time(time_left);
    let mut first = Box::pin(send(pool, connection, request));
    select! {
        outcome = &mut first => return outcome,
        () = sleep(suspicion_time) => pool.on_suspicion(sent_at),
    }
    if !pool.has_room() {
        // The suspected connection makes room for the fresh one.
        drop(first);
        return send_again(pool, request).await;
    }
    first_reply(first, pin!(send_again(pool, request))).await
}

async fn send_again(pool: &Arc<Pool>, request: &LeafRequest) -> Outcome {
    // The first sending may have reached the server, so nothing says `no` any more.
    let unknown = |unanswered: Unanswered| Unanswered::new(unanswered.evidence, Ran::Unknown);
    let connection = pool
        .checkout()
        .await
        .map_err(|error| unknown(Unanswered::from(error)))?;
    send(pool, connection, request).await.map_err(unknown)
}

/// Waits for the first reply of two sendings, or for the failure of both.
async fn first_reply<F, S>(mut first: Pin<Box<F>>, mut second: Pin<&mut S>) -> Outcome
where
    F: Future<Output = Outcome>,
    S: Future<Output = Outcome>,
{
    select! {
        outcome = &mut first => match outcome {
            Ok(exchanged) => Ok(exchanged),
            Err(_) => second.await,
        },
        outcome = &mut second => match outcome {
            Ok(exchanged) => Ok(exchanged),
            Err(_) => first.await,
        },
    }
}

async fn send(pool: &Pool, mut connection: Connection, request: &LeafRequest) -> Outcome {
    let sent_at = Instant::now();
    let built = request.build(pool.host_header());
    let Some(sender) = connection.sender() else {
        return Err(Unanswered::new(Evidence::Nothing, Ran::No));
    };
    let response = sender.try_send_request(built).await.map_err(|mut error| {
        // A request that comes back was never written.
        match error.take_message() {
            Some(_) => Unanswered::new(Evidence::Nothing, Ran::No),
            None => Unanswered::new(Evidence::Died, Ran::Unknown),
        }
    })?;
    let first_byte = sent_at.elapsed();
    let (parts, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| Unanswered::new(Evidence::Died, Ran::Unknown))?
        .to_bytes();
    connection.give_back();
    pool.on_first_byte(first_byte);
    Ok(Exchanged {
        status: parts.status,
        body,
        stated: stated(&parts),
        first_byte,
    })
}

fn stated(parts: &response::Parts) -> Stated {
    let text = |name| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    Stated {
        is_draining: text(DRAINING_HEADER) == Some("true"),
        slots_in_use: text(LOAD_HEADER).and_then(|value| value.parse().ok()),
    }
}

impl LeafRequest {
    fn build(&self, host: HeaderValue) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, host);
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        request
    }
}

impl Unanswered {
    fn new(evidence: Evidence, ran: Ran) -> Self {
        Self { evidence, ran }
    }
}

impl From<CheckoutError> for Unanswered {
    fn from(error: CheckoutError) -> Self {
        match error {
            CheckoutError::Unreachable => Self::new(Evidence::Unreachable, Ran::No),
            CheckoutError::AtLimit => Self::new(Evidence::Nothing, Ran::No),
        }
    }
}
