//! Detection of request bodies that were not read to their end.

use {
    axum::{extract, middleware::Next, response},
    http::{header, HeaderValue, Request, Response},
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        task::{Context, Poll},
    },
};

/// Whether a request's body has not been read to its end.
#[derive(Clone, Debug)]
pub struct UnreadBody(Arc<AtomicBool>);

impl UnreadBody {
    /// Wraps the body of `request` so that reading it is noticed.
    pub fn track<B: Body>(request: Request<B>) -> (Request<TrackedBody<B>>, Self) {
        let unread = Self(Arc::new(AtomicBool::new(!request.body().is_end_stream())));
        let tracked = request.map(|body| TrackedBody {
            body,
            unread: unread.clone(),
        });
        (tracked, unread)
    }

    /// Announces in `response` that the connection closes, if part of the
    /// request's body is unread.
    pub fn announce_close<B>(&self, response: &mut Response<B>) {
        if self.0.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

/// A request's body that records when it has been read to its end.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    unread: UnreadBody,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.unread.0.store(false, Ordering::Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Middleware that announces in a response that the connection closes, if part
/// of the request's body is unread.
pub async fn close_if_unread(request: extract::Request, next: Next) -> response::Response {
    let (request, unread) = UnreadBody::track(request);
    let mut response = next.run(request.map(axum::body::Body::new)).await;
    unread.announce_close(&mut response);
    response
}
