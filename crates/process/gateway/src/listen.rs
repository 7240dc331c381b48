//! HTTP servers for callers, the balancer and metrics.

use {
    crate::{
        connection_state::{ConnectionState, TrackedStream},
        connections::enable_dead_peer_detection,
        response::CallerResponse,
        serve,
        shared::Shared,
        Adapter, StoreLayout,
    },
    bytes::Bytes,
    fleet::Phase,
    futures::FutureExt,
    http::{header, Request, Response, StatusCode, Version},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    linger::{LingeringStream, UnreadBody},
    routing::{CallerLimits, RawCallerLimits},
    std::{
        convert::Infallible,
        future::{poll_fn, Future},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        select,
        task::{spawn_local, JoinSet},
        time::sleep,
    },
};

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a connection is closed in a shutdown unless a request is
/// being received or handled on it. Bytes that have arrived are read within it.
const LAST_READ_PERIOD: Duration = Duration::from_millis(20);
/// Path of the metrics, on the same addresses as the balancer's health check.
const METRICS_PATH: &str = "/metrics";
/// Smallest read buffer that hyper accepts; a smaller one panics.
const MIN_HEADER_BYTES: usize = 8_192;

/// Accepts connections of callers until the host takes no new work, and returns
/// when the last one of them has ended.
pub(crate) async fn serve_callers<A: Adapter>(shared: Rc<Shared<A>>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let serve = |connections: &mut JoinSet<()>, stream| {
        connections.spawn_local(serve_caller(Rc::clone(&shared), stream));
    };
    loop {
        select! {
            stream = accept(&listener) => serve(&mut connections, stream),
            Some(_) = connections.join_next() => {}
            () = shared.life.wait_for_phase(Phase::Finishing) => break,
        }
    }
    // Closing the listener would reset the connections that wait in its queue.
    while let Some(stream) = accept(&listener).now_or_never() {
        serve(&mut connections, stream);
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_caller<A: Adapter>(shared: Rc<Shared<A>>, stream: TcpStream) {
    if let Err(error) = stream
        .set_nodelay(true)
        .and_then(|()| enable_dead_peer_detection(&stream))
    {
        log::debug!(target: "entry", "Socket options of a caller's connection cannot be set: {error}.");
        return;
    }
    let mut stream = LingeringStream::new(stream);
    let mut received = Bytes::new();
    loop {
        match serve_requests(&shared, stream, received).await {
            Served::LimitsChanged(kept_stream, kept_bytes) => {
                (stream, received) = (kept_stream, kept_bytes);
            }
            Served::Ended(mut stream) => {
                if let Err(error) = stream.shutdown().await {
                    log::debug!(target: "entry", "Connection of a caller was not closed: {error}.");
                }
                return;
            }
            Served::Broken => return,
        }
    }
}

/// Why the requests on a connection are not served on.
enum Served {
    /// The limits on what callers may send have changed; the connection is kept, with the
    /// bytes that were received of the next request.
    LimitsChanged(LingeringStream, Bytes),
    /// The last response has been sent.
    Ended(LingeringStream),
    /// The head of a request was late or could not be read, or the connection was lost.
    Broken,
}

fn caller_limits<A: Adapter>(shared: &Shared<A>) -> CallerLimits {
    shared.table().map_or_else(
        || CallerLimits::from(RawCallerLimits::default()),
        |table| table.caller_limits(),
    )
}

/// Waits until the limits in force are not `limits`.
async fn wait_for_other_limits<A: Adapter>(shared: &Shared<A>, limits: CallerLimits) {
    loop {
        let changed = shared.limits_changed.notified();
        if caller_limits(shared) != limits {
            return;
        }
        changed.await;
    }
}

/// Serves the requests on a connection under the limits in force. The HTTP library takes
/// its limits at the start, so it is started again on the connection when they change,
/// between two requests.
async fn serve_requests<A: Adapter>(
    shared: &Rc<Shared<A>>,
    stream: LingeringStream,
    received: Bytes,
) -> Served {
    let limits = caller_limits(shared);
    let state = ConnectionState::default();
    let service = service_fn(|request: Request<Incoming>| {
        let (shared, state) = (Rc::clone(shared), state.clone());
        Box::pin(async move {
            state.on_request();
            let is_last = is_last_request(&request);
            let (request, unread) = UnreadBody::track(request);
            let mut response = serve::handle(shared, request).await;
            unread.announce_close(&mut response);
            let is_closing = response.headers().contains_key(header::CONNECTION);
            state.on_response(is_last || is_closing);
            Ok::<CallerResponse, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(
            TokioIo::new(TrackedStream::new(stream, received, state.clone())),
            service,
        );
    let mut have_limits_changed = false;
    let ended = select! {
        ended = poll_fn(|context| connection.poll_without_shutdown(context)) => ended,
        () = state.wait_for_head_timeout(limits.header_timeout) => {
            log::info!(target: "entry", "The head of a request took longer than {:?} to arrive; its connection is closed.", limits.header_timeout);
            return Served::Broken;
        }
        () = async {
            wait_for_other_limits(shared, limits).await;
            state.wait_until_idle().await;
        } => {
            have_limits_changed = true;
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
        () = async {
            shared.life.wait_for_phase(Phase::Finishing).await;
            // Without this, a request that has arrived but was not read would be
            // dropped with the connection.
            sleep(LAST_READ_PERIOD).await;
        } => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let parts = connection.into_parts();
    let stream = parts.io.into_inner().into_inner();
    match ended {
        Ok(()) if have_limits_changed && !state.is_closing() => {
            log::debug!(target: "entry", "The limits of a caller's connection have changed.");
            Served::LimitsChanged(stream, parts.read_buf)
        }
        Ok(()) => Served::Ended(stream),
        Err(error) => {
            log::debug!(target: "entry", "Connection of a caller ended: {error}.");
            Served::Broken
        }
    }
}

/// Returns whether the caller closes the connection after this request.
fn is_last_request(request: &Request<Incoming>) -> bool {
    let values = request.headers().get_all(header::CONNECTION).iter();
    let mut values = values.filter_map(|value| value.to_str().ok());
    request.version() == Version::HTTP_10
        || values.any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Serves health checks of the balancer and metrics for as long as the process lives.
pub(crate) async fn serve_balancer<A: Adapter>(shared: Rc<Shared<A>>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let shared = Rc::clone(&shared);
        spawn_local(async move {
            let service = service_fn(|request| respond_to_balancer(&shared, &request));
            let stream = TokioIo::new(LingeringStream::new(stream));
            let connection = http1::Builder::new().serve_connection(stream, service);
            if let Err(error) = connection.await {
                log::debug!(target: "life", "Connection of the balancer ended: {error}.");
            }
        });
    }
}

fn respond_to_balancer<A: Adapter>(
    shared: &Shared<A>,
    request: &Request<Incoming>,
) -> impl Future<Output = Result<Response<Full<Bytes>>, Infallible>> {
    let path = request.uri().path();
    let mut response = Response::new(Full::default());
    if path == METRICS_PATH {
        match shared.metrics.expose() {
            Ok(text) => *response.body_mut() = Full::from(text),
            Err(error) => {
                log::error!(target: "host", "Metrics cannot be encoded: {error:#}.");
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
        }
    } else if path != A::Layout::READY_PATH {
        *response.status_mut() = StatusCode::NOT_FOUND;
    } else if shared.life.phase() != Phase::Ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    std::future::ready(Ok(response))
}

/// Returns the next connection; pauses after a failure.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(target: "entry", "Accepting a connection failed: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
