//! How far a caller's connection is, so that a head that trickles in is cut.
//!
//! The HTTP library times the wait for a head from the end of the last answer,
//! which is the limit for idle connections. The time for the head itself runs
//! from its first byte.

use {
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
enum Stage {
    /// Nothing of the next request has come.
    #[default]
    Idle,
    /// A head has begun to come.
    Head(Instant),
    /// A request is being answered.
    Busy,
}

/// How far a connection is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress(Rc<Cell<Stage>>);

impl Progress {
    /// Takes a whole head.
    pub(crate) fn on_request(&self) {
        self.0.set(Stage::Busy);
    }

    /// Takes the answer to it.
    pub(crate) fn on_answer(&self) {
        self.0.set(Stage::Idle);
    }

    fn on_bytes(&self) {
        if matches!(self.0.get(), Stage::Idle) {
            self.0.set(Stage::Head(Instant::now()));
        }
    }

    /// Waits until a head has taken longer than `most`, give or take a half.
    pub(crate) async fn head_is_late(&self, most: Duration) {
        loop {
            sleep(most / 2).await;
            if matches!(self.0.get(), Stage::Head(since) if since.elapsed() >= most) {
                return;
            }
        }
    }
}

/// A stream that notes when bytes come.
pub(crate) struct Watched<S> {
    stream: S,
    progress: Progress,
}

impl<S> Watched<S> {
    /// Notes the bytes of `stream` in `progress`.
    pub(crate) fn new(stream: S, progress: Progress) -> Self {
        Self { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.progress.on_bytes();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
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
