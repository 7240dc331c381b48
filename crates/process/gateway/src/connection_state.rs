//! Tracks the state of a caller's connection to time out slow request heads.
//!
//! The HTTP library's timeout for a head starts at the end of the previous
//! response, so it serves as the idle timeout. The timeout for the head itself
//! starts at its first byte.

use {
    bytes::Bytes,
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::sleep,
    },
};

#[derive(Clone, Copy, Debug, Default)]
enum ConnectionStage {
    /// No byte of the next request has been received.
    #[default]
    Idle,
    /// A request head is being received since this time.
    ReadingHead(Instant),
    /// A request is being handled.
    HandlingRequest,
}

/// Pause between checks whether a connection has become idle.
const IDLE_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Shared state of a caller's connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionState(Rc<StateCells>);

#[derive(Debug, Default)]
struct StateCells {
    stage: Cell<ConnectionStage>,
    /// Whether the connection ends with the current response.
    is_closing: Cell<bool>,
}

impl ConnectionState {
    /// Records that a complete request head was received.
    pub(crate) fn on_request(&self) {
        self.0.stage.set(ConnectionStage::HandlingRequest);
    }

    /// Records that the response to the request is ready, and whether the connection
    /// ends with it.
    pub(crate) fn on_response(&self, is_closing: bool) {
        self.0.is_closing.set(is_closing);
        self.0.stage.set(ConnectionStage::Idle);
    }

    /// Returns whether the connection ends with the current response.
    pub(crate) fn is_closing(&self) -> bool {
        self.0.is_closing.get()
    }

    /// Waits until no request is being received or handled.
    pub(crate) async fn wait_until_idle(&self) {
        while !matches!(self.0.stage.get(), ConnectionStage::Idle) {
            sleep(IDLE_CHECK_PAUSE).await;
        }
    }

    fn on_bytes_received(&self) {
        if matches!(self.0.stage.get(), ConnectionStage::Idle) {
            self.0
                .stage
                .set(ConnectionStage::ReadingHead(Instant::now()));
        }
    }

    /// Waits until a request head has been incomplete for `limit`. Polls at half that
    /// interval, so that it may return up to `limit / 2` late.
    pub(crate) async fn wait_for_head_timeout(&self, limit: Duration) {
        loop {
            sleep(limit / 2).await;
            if matches!(self.0.stage.get(), ConnectionStage::ReadingHead(since) if since.elapsed() >= limit)
            {
                return;
            }
        }
    }
}

/// A stream that reports received bytes to a [`ConnectionState`].
pub(crate) struct TrackedStream<S> {
    stream: S,
    /// Bytes that were received before this stream was wrapped.
    received: Bytes,
    state: ConnectionState,
}

impl<S> TrackedStream<S> {
    /// Wraps `stream` so that its received bytes are reported to `state`. The bytes that
    /// were `received` from it before come first.
    pub(crate) fn new(stream: S, received: Bytes, state: ConnectionState) -> Self {
        Self {
            stream,
            received,
            state,
        }
    }

    /// Returns the stream.
    pub(crate) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.received.is_empty() {
            let length = self.received.len().min(buffer.remaining());
            buffer.put_slice(&self.received.split_to(length));
            self.state.on_bytes_received();
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.state.on_bytes_received();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
