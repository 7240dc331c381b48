//! Streams of listeners that are closed without losing the last response.
//!
//! A server may respond before it has read a request, for example to reject a
//! long body. If it then closes the connection while bytes of the request are
//! unread or still arrive, the kernel resets the connection, and the peer may
//! lose a response that it has received but not read. A [`LingeringStream`]
//! therefore ends its own side first, and discards what the peer still sends,
//! up to [`MAX_DISCARDED_BYTES`] and for up to [`MAX_LINGER`]. The response says
//! that the connection closes, if [`UnreadBody`] or [`close_if_unread`] is used,
//! so that the peer does not send its next request on it.

mod unread;

pub use unread::{close_if_unread, TrackedBody, UnreadBody};

use {
    axum::serve::Listener,
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::{TcpListener, TcpStream},
        runtime::Handle,
        time::timeout,
    },
};

/// Maximum number of bytes that are discarded after the last response.
pub const MAX_DISCARDED_BYTES: usize = 16 * 1_024 * 1_024;
/// Maximum time for which bytes are discarded after the last response.
pub const MAX_LINGER: Duration = Duration::from_secs(2);

/// Number of bytes that are discarded with one read.
const CHUNK_BYTES: usize = 4_096;
/// Number of reads after which other tasks get a turn.
const READS_PER_TURN: usize = 16;

/// A server's side of a connection that lingers when it is dropped before the
/// peer has ended its side.
///
/// Must be dropped within a tokio runtime; elsewhere, the connection is closed at
/// once.
#[derive(Debug)]
pub struct LingeringStream {
    /// The stream, until it is dropped.
    stream: Option<TcpStream>,
    /// Whether the peer has ended its side or the connection has failed.
    is_ended: bool,
}

impl LingeringStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Some(stream),
            is_ended: false,
        }
    }

    /// Polls the stream, and records that the connection has failed if it has.
    fn poll_io<T>(
        &mut self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let polled = poll(Pin::new(stream));
        self.is_ended |= matches!(&polled, Poll::Ready(Err(_)));
        polled
    }
}

impl Drop for LingeringStream {
    fn drop(&mut self) {
        let Some(stream) = self.stream.take().filter(|_| !self.is_ended) else {
            return;
        };
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(close(stream));
        }
    }
}

/// Ends the own side, and discards what the peer sends until it ends its side
/// or a bound is reached.
async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        // The connection is closed in any case, so it does not matter why it ends.
        let _ = timeout(MAX_LINGER, discard(&stream)).await;
    }
}

async fn discard(stream: &TcpStream) -> io::Result<()> {
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_DISCARDED_BYTES {
        stream.readable().await?;
        // The buffer is not held while this task waits.
        let mut buffer = [0; CHUNK_BYTES];
        for _ in 0..READS_PER_TURN {
            match stream.try_read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(bytes) => discarded_bytes += bytes,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
    }
    Ok(())
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let had_room = buffer.remaining() > 0;
        let polled = this.poll_io(|stream| stream.poll_read(context, buffer));
        if polled.is_ready() && had_room && buffer.filled().len() == before {
            this.is_ended = true;
        }
        polled
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.get_mut()
            .poll_io(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut()
            .poll_io(|stream| stream.poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().poll_io(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut()
            .poll_io(|stream| stream.poll_shutdown(context))
    }
}

/// A listener whose connections are [`LingeringStream`]s.
#[derive(Debug)]
pub struct LingeringListener(TcpListener);

impl LingeringListener {
    /// Wraps a listener.
    pub fn new(listener: TcpListener) -> Self {
        Self(listener)
    }
}

impl Listener for LingeringListener {
    type Io = LingeringStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        let (stream, addr) = Listener::accept(&mut self.0).await;
        (LingeringStream::new(stream), addr)
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        self.0.local_addr()
    }
}
