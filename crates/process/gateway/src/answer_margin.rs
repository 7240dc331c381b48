//! Measures how long answers take, and decides when a query stops waiting for shards.

use {
    crate::{exchange::OutgoingRequest, shared::Shared, Adapter},
    routing::Route,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, task::spawn_local},
};

/// Largest share of the time that a peer grants which a relay uses for its reply.
const MAX_REPLY_SHARE: f64 = 0.1;

/// Time that a response takes at least, with the way to the caller.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(6);

/// The time budget of one query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerMargin {
    target: Duration,
    /// How long before the target latency the query stops waiting.
    pub(crate) margin: Duration,
    /// Target time of the response.
    pub(crate) due_at: Instant,
}

impl AnswerMargin {
    /// Returns the time budget of a request that this host has read at `started_at`.
    pub(crate) fn new<A: Adapter>(
        shared: &Shared<A>,
        route: &Route,
        outgoing: &OutgoingRequest,
        started_at: Instant,
    ) -> Self {
        let target = route.target_latency;
        let time_left = outgoing.options.time_left;
        let mut answer_times = shared.answer_times.borrow_mut();
        let spent = answer_times.time_spent(&route.name, time_left, route.timeout, target);
        Self {
            target,
            margin: answer_times.margin(&route.name, target, None),
            due_at: started_at + target.saturating_sub(spent),
        }
    }

    /// Returns when the query stops waiting.
    pub(crate) fn answer_at(&self) -> Instant {
        self.due_at.checked_sub(self.margin).unwrap_or(self.due_at)
    }

    /// Returns until when a response that is sent at once may still be on time.
    pub(crate) fn on_time_until(&self) -> Instant {
        let until = self.due_at.checked_sub(MIN_RESPONSE_TIME);
        until.unwrap_or(self.due_at)
    }

    /// Returns how much earlier the query has to stop waiting, now that the calls took
    /// `preparation` to prepare.
    pub(crate) fn shortfall<A: Adapter>(
        &self,
        shared: &Shared<A>,
        route: &Route,
        preparation: Duration,
    ) -> Duration {
        let answer_times = shared.answer_times.borrow();
        let margin = answer_times.margin(&route.name, self.target, Some(preparation));
        margin.saturating_sub(self.margin)
    }
}

/// Waits until the tasks that were spawned for the calls of a query have sent them.
pub(crate) async fn wait_until_sent() {
    // Tasks run in the order in which they become ready: first those of the calls, then
    // those of the connections that the calls have woken.
    for _ in 0..2 {
        let (sender, receiver) = oneshot::channel();
        spawn_local(async move { sender.send(()) });
        // The sender is never dropped without sending.
        let _ = receiver.await;
    }
}

/// Records the time that a response to a caller took after the end of the wait.
pub(crate) fn on_response<A: Adapter>(shared: &Shared<A>, route: &Arc<str>, ended_at: Instant) {
    let answer_time = ended_at.elapsed();
    shared.metrics.on_answer(answer_time);
    let mut answer_times = shared.answer_times.borrow_mut();
    answer_times.on_answered(route, answer_time);
}

/// Returns when this host, as a relay, stops waiting if its reply is due after `time`.
pub(crate) fn reply_at<A: Adapter>(
    shared: &Shared<A>,
    route: &str,
    time: Duration,
    now: Instant,
) -> Instant {
    let answer_times = shared.relay_answer_times.borrow();
    let reply_time = answer_times.answer_time(route).unwrap_or_default();
    now + time.saturating_sub(reply_time.min(time.mul_f64(MAX_REPLY_SHARE)))
}

/// Records the time that a reply of this host as a relay took after the end of the wait.
pub(crate) fn on_reply<A: Adapter>(shared: &Shared<A>, route: &Arc<str>, ended_at: Instant) {
    let mut answer_times = shared.relay_answer_times.borrow_mut();
    answer_times.on_answered(route, ended_at.elapsed());
}
