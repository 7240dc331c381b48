//! One call of a request, as a task of its own.
//!
//! A call outlives its request for a while: the answer of one that lost to
//! another still tells how fast its server is, and its connection can be used
//! again, while a cut one costs the server a new connection.

use {
    crate::{
        answer::Piece,
        exchange::{self, Ended, Failed, Outgoing},
        shared::Shared,
        view::Via,
        Adapter,
    },
    link::Evidence,
    meter::CallLabels,
    plan::AttemptId,
    replica::ReplicaKey,
    scatter::Call,
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{select, sync::mpsc::UnboundedSender, time::sleep},
};

/// Time for which a call goes on after its request has ended. Servers must
/// not be at work half a second after the caller has left.
const LINGER: Duration = Duration::from_millis(400);
/// The same where all slots of the server are taken: a new connection costs it
/// a few milliseconds, work that nobody waits for several times as much. An
/// answer that is on its way still arrives.
const SHORT_LINGER: Duration = Duration::from_millis(30);
/// Time beyond the caller's for which an answer is waited for.
const LATE_SLACK: Duration = Duration::from_millis(20);

/// What calls brought to their request.
pub(crate) type CallEnd = (Vec<AttemptId>, Result<Piece, Failed>);

/// A call that has been decided on.
pub(crate) struct Begun {
    number: u64,
    at: Instant,
    server: ReplicaKey,
}

/// Notes a call that is about to be made: requests that come at the same moment
/// are to see it.
pub(crate) fn begin<A: Adapter>(shared: &Shared<A>, call: &Call<Via>, server: ReplicaKey) -> Begun {
    let number = shared.next_call();
    let at = Instant::now();
    let mut replicas = shared.replicas.borrow_mut();
    replicas.on_begin(server, number, call.expected, at);
    Begun { number, at, server }
}

/// Makes a call and sends its end to the request, if that still waits.
pub(crate) async fn run<A: Adapter>(
    shared: Rc<Shared<A>>,
    route: Arc<str>,
    share: u32,
    call: Call<Via>,
    begun: Begun,
    outgoing: Rc<Outgoing>,
    ends: UnboundedSender<CallEnd>,
) {
    let Begun {
        number,
        at: began,
        server,
    } = begun;
    let open = Open {
        shared: &shared,
        route: &route,
        server,
        number,
    };
    let left = outgoing.deadline.saturating_duration_since(began) + LATE_SLACK;
    let ended = select! {
        ended = exchange::run(&shared, server, share, &outgoing, || !ends.is_closed()) => Some(ended),
        () = async {
            ends.closed().await;
            sleep(linger(&shared, server)).await;
        } => None,
        () = sleep(left) => None,
    };
    match ended {
        Some(Ended { result, evidence }) => {
            open.end(evidence);
            let outcome = match &result {
                Ok(_) => "ok",
                Err(failed) => failed.failure.reason.as_str(),
            };
            tell(&shared, &call, outcome, began.elapsed());
            if let Err(failed) = &result {
                on_failed(&shared, &outgoing, &call, server, failed);
            }
            // The request may have ended without this call.
            let _ = ends.send((vec![call.attempt], result.map(Piece::Own)));
        }
        None => {
            if began.elapsed() >= LINGER {
                // Nothing came for long: other connections of the same age may be silent too.
                shared.connections.borrow_mut().on_silence(server, began);
            }
            open.end(Evidence::Cancelled(began.elapsed()));
            tell(&shared, &call, "cancelled", began.elapsed());
        }
    }
}

/// Returns for how long a call goes on that nobody waits for any more.
fn linger<A: Adapter>(shared: &Shared<A>, server: ReplicaKey) -> Duration {
    if shared.replicas.borrow().is_full(server, Instant::now()) {
        SHORT_LINGER
    } else {
        LINGER
    }
}

fn tell<A: Adapter>(shared: &Shared<A>, call: &Call<Via>, outcome: &'static str, took: Duration) {
    let labels = CallLabels {
        cause: call.cause.as_str(),
        outcome,
    };
    shared.metrics.on_call(labels, took);
}

fn on_failed<A: Adapter>(
    shared: &Shared<A>,
    outgoing: &Outgoing,
    call: &Call<Via>,
    server: ReplicaKey,
    failed: &Failed,
) {
    if shared.may_log("call") {
        let replicas = shared.replicas.borrow();
        log::info!(
            target: "call",
            id = outgoing.ask.id(),
            cause = call.cause.as_str(),
            service = &*call.service,
            server = replicas.entry(server).map_or("-", |entry| &*entry.id),
            reason = failed.failure.reason.as_str(),
            ran = failed.failure.ran.as_str();
            "A call failed."
        );
    }
    if failed.has_moved {
        log::info!(target: "upstream", "Another server has the address of {}.", call.service);
        shared.replicas.borrow_mut().on_moved(server);
        shared.connections.borrow_mut().forget(server);
    }
}

/// A call that a server owes an answer to.
struct Open<'a, A: Adapter> {
    shared: &'a Shared<A>,
    route: &'a Arc<str>,
    server: ReplicaKey,
    number: u64,
}

impl<A: Adapter> Open<'_, A> {
    fn end(&self, evidence: Evidence) {
        let now = Instant::now();
        let typical_ms = self.shared.works.borrow().typical_ms(self.route);
        let took = {
            let mut replicas = self.shared.replicas.borrow_mut();
            replicas.on_end(self.server, self.number, evidence, typical_ms, now)
        };
        if let Some(took) = took {
            self.shared.works.borrow_mut().on_sample(self.route, took);
        }
    }
}
