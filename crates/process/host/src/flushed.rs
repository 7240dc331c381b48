//! Keeps a forwarded query in flight until its answer has left the process.
//!
//! The handler of a call ends before its answer is written. A host that shuts
//! down must not end in between, so the transport itself holds the mark.

use {
    fleet::{PeerRequest, PeerResponse},
    futures::{Sink, Stream},
    life::{InFlight, LifeWatch},
    std::{
        collections::HashMap,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Instant,
    },
    tarpc::{ClientMessage, Response},
};

struct Pending {
    deadline: Instant,
    in_flight: InFlight,
}

/// A server's transport that marks queries as in flight until they are answered.
pub(crate) struct Flushed<T> {
    inner: T,
    life: Arc<LifeWatch>,
    pending: HashMap<u64, Pending>,
    unflushed: Vec<InFlight>,
}

impl<T> Flushed<T> {
    pub(crate) fn new(inner: T, life: Arc<LifeWatch>) -> Self {
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
                        in_flight: self.life.hold(),
                    };
                    self.pending.insert(request.id, pending);
                }
            }
            ClientMessage::Cancel { request_id, .. } => {
                self.pending.remove(request_id);
            }
            // Messages of a newer library carry no query.
            _ => {}
        }
    }

    /// Drops the marks of calls that the server has given up at their deadline.
    fn drop_expired(&mut self) {
        if !self.pending.is_empty() {
            let now = Instant::now();
            self.pending.retain(|_, pending| pending.deadline > now);
        }
    }
}

impl<T, E> Stream for Flushed<T>
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

impl<T> Sink<Response<PeerResponse>> for Flushed<T>
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
