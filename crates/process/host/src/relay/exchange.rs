//! Sends one request to a server and reads its reply.
//!
//! If a repeatable request receives no byte on a reused connection within the
//! suspicion time, the connection may have gone silent. The request is then
//! sent a second time on a trusted or new connection, and the first reply is
//! used. One such request at a time serves as the test for silent connections;
//! the others are repeated only if the test confirms it. A request that is not
//! repeatable is sent once.

use {
    crate::relay::pool::{CheckoutError, Connection, Pool},
    bytes::Bytes,
    http::{header, response, HeaderValue, Method, Request, Uri},
    http_body_util::{BodyExt, Full, Limited},
    kind::Ran,
    link::{ServerReport, SuspicionAction},
    plan::{LeafFault, Reason, Refusal},
    std::{
        future::Future,
        pin::{pin, Pin},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{select, time::sleep},
};

/// Response header by which a server announces that it is draining.
const DRAINING_HEADER: &str = "x-upstream-draining";
/// Response header with the number of slots in use on the server.
const LOAD_HEADER: &str = "x-upstream-load";

/// Maximum size of a reply body in bytes. Bounds the memory used by one call.
const MAX_REPLY_BYTES: usize = 8 * 1_024 * 1_024;
/// Polling interval of a suspected request while another one is the test.
const SUSPICION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An HTTP request to one server.
pub(crate) struct LeafRequest {
    pub(crate) uri: Uri,
    pub(crate) body: Bytes,
    pub(crate) is_repeatable: bool,
    pub(crate) deadline: Instant,
}

/// A reply that was read completely.
pub(crate) struct HttpReply {
    pub(crate) status: http::StatusCode,
    pub(crate) body: Bytes,
    pub(crate) report: ServerReport,
    pub(crate) first_byte: Duration,
    pub(crate) connection: Connection,
    /// Whether the request was also sent on another connection.
    pub(crate) is_repeated: bool,
}

type Outcome = Result<HttpReply, LeafFault>;

/// Sends a request and reads its reply.
///
/// # Errors
///
/// Returns the stage at which the request failed.
pub(crate) async fn exchange(pool: &Arc<Pool>, request: &LeafRequest) -> Outcome {
    let connection = if request.is_repeatable {
        pool.checkout().await
    } else {
        pool.checkout_verified().await
    };
    send_with_repeat(pool, connection.map_err(fault_of)?, request).await
}

async fn send_with_repeat(
    pool: &Arc<Pool>,
    connection: Connection,
    request: &LeafRequest,
) -> Outcome {
    if !connection.is_reused || !request.is_repeatable {
        return send(pool, connection, request).await;
    }
    let sent_at = Instant::now();
    let time_left = request.deadline.saturating_duration_since(sent_at);
    let mut first = Box::pin(send(pool, connection, request));
    let mut delay = pool.suspicion_time(time_left);
    loop {
        select! {
            outcome = &mut first => return outcome,
            () = sleep(delay) => {}
        }
        let test = match pool.on_suspicion(sent_at) {
            SuspicionAction::Wait => {
                delay = SUSPICION_POLL_INTERVAL;
                continue;
            }
            SuspicionAction::Test => Some(SilenceTest::new(pool)),
            SuspicionAction::Repeat => None,
        };
        pool.count_repeat();
        pool.suspect_silent_since(sent_at);
        if !pool.has_capacity() {
            // The suspected connection is closed to make room for the new one.
            drop(first);
            let repeated_at = Instant::now();
            let outcome = send_again(pool, request).await;
            // The first attempt is cancelled, so its reply cannot be compared.
            // Silence is confirmed only if the second reply took less than
            // half of the time that the first attempt waited.
            let is_faster = repeated_at.elapsed() * 2 < repeated_at - sent_at;
            finish_test(test, outcome.is_ok().then_some(is_faster));
            return after_repeat(outcome);
        }
        let outcome = first_reply(first, pin!(send_again(pool, request)), test).await;
        return after_repeat(outcome);
    }
}

async fn send_again(pool: &Arc<Pool>, request: &LeafRequest) -> Outcome {
    let connection = pool.checkout().await.map_err(fault_of)?;
    send(pool, connection, request).await
}

/// Returns the outcome of a request that was sent twice.
///
/// Either attempt may have reached the server, so a failure of one of them does
/// not prove that the request did not run.
fn after_repeat(outcome: Outcome) -> Outcome {
    match outcome {
        Ok(reply) => Ok(HttpReply {
            is_repeated: true,
            ..reply
        }),
        Err(LeafFault::NoConnection | LeafFault::NotWritten | LeafFault::Refused(_)) => {
            Err(LeafFault::LostAfterWrite)
        }
        Err(fault) => Err(fault),
    }
}

/// Waits for the first reply of two attempts, or until both have failed.
async fn first_reply<F, S>(
    mut first: Pin<Box<F>>,
    mut second: Pin<&mut S>,
    test: Option<SilenceTest<'_>>,
) -> Outcome
where
    F: Future<Output = Outcome>,
    S: Future<Output = Outcome>,
{
    select! {
        outcome = &mut first => {
            finish_test(test, outcome.is_ok().then_some(false));
            match outcome {
                Ok(reply) => Ok(reply),
                Err(_) => second.await,
            }
        }
        outcome = &mut second => {
            finish_test(test, outcome.is_ok().then_some(true));
            match outcome {
                Ok(reply) => Ok(reply),
                Err(_) => first.await,
            }
        }
    }
}

/// A running test of whether connections have gone silent.
///
/// When dropped, it reports the result to the pool; a cancelled test has none.
struct SilenceTest<'a> {
    pool: &'a Pool,
    is_silence_confirmed: Option<bool>,
}

impl<'a> SilenceTest<'a> {
    fn new(pool: &'a Pool) -> Self {
        Self {
            pool,
            is_silence_confirmed: None,
        }
    }
}

impl Drop for SilenceTest<'_> {
    fn drop(&mut self) {
        self.pool.on_test_end(self.is_silence_confirmed);
    }
}

fn finish_test(test: Option<SilenceTest<'_>>, is_silence_confirmed: Option<bool>) {
    if let Some(mut test) = test {
        test.is_silence_confirmed = is_silence_confirmed;
    }
}

async fn send(pool: &Pool, mut connection: Connection, request: &LeafRequest) -> Outcome {
    let sent_at = Instant::now();
    let http_request = request.build(pool.host_header());
    let Some(sender) = connection.sender() else {
        return Err(LeafFault::NotWritten);
    };
    let response = sender
        .try_send_request(http_request)
        .await
        .map_err(|mut error| {
            // The request is handed back only if it was never written.
            match error.take_message() {
                Some(_) => LeafFault::NotWritten,
                None => LeafFault::LostAfterWrite,
            }
        })?;
    let first_byte = sent_at.elapsed();
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_REPLY_BYTES)
        .collect()
        .await
        .map_err(|_| LeafFault::LostInReply)?
        .to_bytes();
    pool.on_first_byte(first_byte);
    Ok(HttpReply {
        status: parts.status,
        body,
        report: reported_state(&parts),
        first_byte,
        connection,
        is_repeated: false,
    })
}

fn reported_state(parts: &response::Parts) -> ServerReport {
    let text = |name| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    ServerReport {
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

fn fault_of(error: CheckoutError) -> LeafFault {
    match error {
        CheckoutError::Unreachable => LeafFault::NoConnection,
        CheckoutError::AtLimit => LeafFault::Refused(Refusal {
            reason: Reason::Shed,
            ran: Ran::No,
            echoes_ids: true,
            newest_version: None,
        }),
    }
}
