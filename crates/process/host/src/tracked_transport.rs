//! A transport that counts a forwarded query as in flight until its response is
//! flushed.
//!
//! The handler of a call returns before its response is written. Without this,
//! a host could shut down in between and lose the response.

use {
    fleet::{PeerRequest, PeerResponse},
    futures::{Sink, Stream},
    life::{InFlightGuard, SharedLifecycle},
    std::{
        collections::HashMap,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Instant,
    },
    tarpc::{ClientMessage, Response},
};

/// A query whose response has not been passed to the transport yet.
struct Pending {
    deadline: Instant,
    in_flight: InFlightGuard,
}

/// A server transport that holds an [`InFlightGuard`] for each query until its
/// response is flushed.
pub(crate) struct TrackedTransport<T> {
    inner: T,
    life: Arc<SharedLifecycle>,
    pending: HashMap<u64, Pending>,
    unflushed: Vec<InFlightGuard>,
}

impl<T> TrackedTransport<T> {
    pub(crate) fn new(inner: T, life: Arc<SharedLifecycle>) -> Self {
        Self {
            inner,
            life,
            pending: HashMap::new(),
            unflushed: Vec::new(),
        }
    }

    fn on_message(&mut self, message: &ClientMessage<PeerRequest>) {
        match message {
            ClientMessage::Request(request) => {
                if matches!(request.message, PeerRequest::Query { .. }) {
                    let pending = Pending {
                        deadline: request.context.deadline,
                        in_flight: self.life.begin_work(),
                    };
                    self.pending.insert(request.id, pending);
                }
            }
            ClientMessage::Cancel { request_id, .. } => {
                self.pending.remove(request_id);
            }
            // `ClientMessage` is non-exhaustive; other variants carry no query.
            _ => {}
        }
    }

    /// Drops the guards of calls that the server cancelled at their deadline.
    fn drop_expired(&mut self) {
        if !self.pending.is_empty() {
            let now = Instant::now();
            self.pending.retain(|_, pending| pending.deadline > now);
        }
    }
}

impl<T, E> Stream for TrackedTransport<T>
where
    T: Stream<Item = Result<ClientMessage<PeerRequest>, E>> + Unpin,
{
    type Item = T::Item;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<T::Item>> {
        self.drop_expired();
        let polled = Pin::new(&mut self.inner).poll_next(context);
        if let Poll::Ready(Some(Ok(message))) = &polled {
            self.on_message(message);
        }
        polled
    }
}

impl<T> Sink<Response<PeerResponse>> for TrackedTransport<T>
where
    T: Sink<Response<PeerResponse>> + Unpin,
{
    type Error = T::Error;

    fn poll_ready(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Self::Error>> {
        Pin::new(&mut self.inner).poll_ready(context)
    }

    fn start_send(
        mut self: Pin<&mut Self>,
        response: Response<PeerResponse>,
    ) -> Result<(), Self::Error> {
        if let Some(pending) = self.pending.remove(&response.request_id) {
            self.unflushed.push(pending.in_flight);
        }
        Pin::new(&mut self.inner).start_send(response)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Self::Error>> {
        let polled = Pin::new(&mut self.inner).poll_flush(context);
        if polled.is_ready() {
            self.unflushed.clear();
        }
        polled
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Self::Error>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
