//! A stream that counts its bytes, and reports them if it carried control
//! messages.

use {
    crate::shared::Shared,
    std::{
        io,
        pin::Pin,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc,
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Byte counts of a connection.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    is_control: AtomicBool,
}

impl Traffic {
    /// Marks the connection as one that carries control messages.
    pub(crate) fn mark_control(&self) {
        self.is_control.store(true, Ordering::Relaxed);
    }
}

/// A connection between hosts that counts its bytes and reports them when it is
/// dropped, if it carried control messages.
pub(crate) struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
    shared: Arc<Shared>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, shared: Arc<Shared>) -> Self {
        Self {
            stream,
            traffic: Arc::default(),
            shared,
        }
    }

    /// Returns the byte counts, which are updated as the connection is used.
    pub(crate) fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        if self.traffic.is_control.load(Ordering::Relaxed) {
            let sent_bytes = self.traffic.sent_bytes.load(Ordering::Relaxed);
            let received_bytes = self.traffic.received_bytes.load(Ordering::Relaxed);
            let metrics = &self.shared.metrics;
            metrics.on_exchange_bytes("sent", sent_bytes);
            metrics.on_exchange_bytes("received", received_bytes);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = (buffer.filled().len() - before) as u64;
        self.traffic
            .received_bytes
            .fetch_add(read, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &result {
            let written = *written as u64;
            self.traffic
                .sent_bytes
                .fetch_add(written, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
