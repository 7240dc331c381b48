//! One request and its reply on the connections of one server.
//!
//! A repeatable request that gets no byte on a reused connection within the
//! suspicion time is sent once more on a trusted or fresh one, if a test finds
//! that connections have gone silent, and the first reply wins. A request that may not be repeated is sent once.

use {
    crate::relay::pool::{CheckoutError, Connection, Pool},
    bytes::Bytes,
    http::{header, response, HeaderValue, Method, Request, Uri},
    http_body_util::{BodyExt, Full},
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

/// Header by which a server says that it takes no new work.
const DRAINING_HEADER: &str = "x-upstream-draining";
/// Header by which a server states its slots in use.
const LOAD_HEADER: &str = "x-upstream-load";

/// Pause between two looks at a suspicion that waits for its test.
const SUSPICION_PAUSE: Duration = Duration::from_millis(10);

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
    pub(crate) stated: ServerReport,
    pub(crate) first_byte: Duration,
    pub(crate) connection: Connection,
    /// Whether the request was sent on another connection as well.
    pub(crate) is_repeated: bool,
}

type Outcome = Result<Exchanged, LeafFault>;

/// Sends a request and reads its reply.
///
/// # Errors
///
/// Returns the point at which the request failed.
pub(crate) async fn exchange(pool: &Arc<Pool>, request: &LeafRequest) -> Outcome {
    let connection = if request.is_repeatable {
        pool.checkout().await
    } else {
        pool.checkout_proven().await
    };
    send_guarded(pool, connection.map_err(fault_of)?, request).await
}

async fn send_guarded(pool: &Arc<Pool>, connection: Connection, request: &LeafRequest) -> Outcome {
    if !connection.is_reused || !request.is_repeatable {
        return send(pool, connection, request).await;
    }
    let sent_at = Instant::now();
    let time_left = request.deadline.saturating_duration_since(sent_at);
    let mut first = Box::pin(send(pool, connection, request));
    let mut pause = pool.suspicion_time(time_left);
    loop {
        select! {
            outcome = &mut first => return outcome,
            () = sleep(pause) => {}
        }
        let test = match pool.on_suspicion(sent_at) {
            SuspicionAction::Wait => {
                pause = SUSPICION_PAUSE;
                continue;
            }
            SuspicionAction::Test => Some(Test::new(pool)),
            SuspicionAction::Repeat => None,
        };
        pool.on_repeat();
        pool.distrust(sent_at);
        if !pool.has_room() {
            // The suspected connection makes room for the fresh one.
            drop(first);
            let repeated_at = Instant::now();
            let outcome = send_again(pool, request).await;
            // Without the first sending to compare with, a reply that takes as long proves nothing.
            let is_faster = repeated_at.elapsed() * 2 < repeated_at - sent_at;
            end_test(test, outcome.is_ok().then_some(is_faster));
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
/// Either sending may have reached the server, so what the other one says
/// proves `no` no more.
fn after_repeat(outcome: Outcome) -> Outcome {
    match outcome {
        Ok(exchanged) => Ok(Exchanged {
            is_repeated: true,
            ..exchanged
        }),
        Err(LeafFault::NoConnection | LeafFault::NotWritten | LeafFault::Refused(_)) => {
            Err(LeafFault::LostAfterWrite)
        }
        Err(fault) => Err(fault),
    }
}

/// Waits for the first reply of two sendings, or for the failure of both.
async fn first_reply<F, S>(
    mut first: Pin<Box<F>>,
    mut second: Pin<&mut S>,
    test: Option<Test<'_>>,
) -> Outcome
where
    F: Future<Output = Outcome>,
    S: Future<Output = Outcome>,
{
    select! {
        outcome = &mut first => {
            end_test(test, outcome.is_ok().then_some(false));
            match outcome {
                Ok(exchanged) => Ok(exchanged),
                Err(_) => second.await,
            }
        }
        outcome = &mut second => {
            end_test(test, outcome.is_ok().then_some(true));
            match outcome {
                Ok(exchanged) => Ok(exchanged),
                Err(_) => first.await,
            }
        }
    }
}

/// A running test for silence, which says nothing if it is cancelled.
struct Test<'a> {
    pool: &'a Pool,
    is_proved: Option<bool>,
}

impl<'a> Test<'a> {
    fn new(pool: &'a Pool) -> Self {
        Self {
            pool,
            is_proved: None,
        }
    }
}

impl Drop for Test<'_> {
    fn drop(&mut self) {
        self.pool.on_test_end(self.is_proved);
    }
}

fn end_test(test: Option<Test<'_>>, is_proved: Option<bool>) {
    if let Some(mut test) = test {
        test.is_proved = is_proved;
    }
}

async fn send(pool: &Pool, mut connection: Connection, request: &LeafRequest) -> Outcome {
    let sent_at = Instant::now();
    let built = request.build(pool.host_header());
    let Some(sender) = connection.sender() else {
        return Err(LeafFault::NotWritten);
    };
    let response = sender.try_send_request(built).await.map_err(|mut error| {
        // A request that comes back was never written.
        match error.take_message() {
            Some(_) => LeafFault::NotWritten,
            None => LeafFault::LostAfterWrite,
        }
    })?;
    let first_byte = sent_at.elapsed();
    let (parts, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| LeafFault::LostInReply)?
        .to_bytes();
    pool.on_first_byte(first_byte);
    Ok(Exchanged {
        status: parts.status,
        body,
        stated: stated(&parts),
        first_byte,
        connection,
        is_repeated: false,
    })
}

fn stated(parts: &response::Parts) -> ServerReport {
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
