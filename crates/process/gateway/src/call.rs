//! A single call to a server, run as its own task.
//!
//! A call continues for a while after its request has ended. The late reply of
//! a call that lost to a hedge still measures the server's latency and leaves
//! the connection reusable, whereas a cancelled call costs the server a new
//! connection.

use {
    crate::{
        crashes,
        exchange::{self, ExchangeResult, ExchangeTarget, FailedCall, OutgoingRequest, SendState},
        response::PartReply,
        server_selection::CallTarget,
        shared::Shared,
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

/// How long a call continues after its request has ended. Servers must not be
/// working half a second after the caller has disconnected.
const LINGER: Duration = Duration::from_millis(400);
/// The same as [`LINGER`] if all slots of the server are in use. A new connection
/// costs the server a few milliseconds, and unneeded work several times as much.
/// A reply that is already in transit still arrives.
const LINGER_WHEN_FULL: Duration = Duration::from_millis(30);
/// How long past the caller's deadline a reply is awaited.
const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// The result of one or more calls, as reported to their query.
pub(crate) type CallResult = (Vec<AttemptId>, Result<PartReply, FailedCall>);

/// A call that has been registered with its server but not sent yet.
pub(crate) struct RegisteredCall {
    number: u64,
    registered_at: Instant,
    server: ReplicaKey,
    /// Whether the server was known to leave when it was picked.
    was_leaving: bool,
}

/// Counts a call against its server before it is sent, so that requests handled
/// at the same moment take it into account.
pub(crate) fn register<A: Adapter>(
    shared: &Shared<A>,
    call: &Call<CallTarget>,
    server: ReplicaKey,
) -> RegisteredCall {
    let number = shared.next_number();
    let registered_at = Instant::now();
    let mut servers = shared.servers.borrow_mut();
    servers.on_call_started(server, number, call.expected, registered_at);
    RegisteredCall {
        number,
        registered_at,
        server,
        was_leaving: servers.is_leaving(server),
    }
}

/// Makes a call and sends its result to the query, if that is still running.
pub(crate) async fn run<A: Adapter>(
    shared: Rc<Shared<A>>,
    route: Arc<str>,
    max_connections: u32,
    call: Call<CallTarget>,
    registered: RegisteredCall,
    outgoing: Rc<OutgoingRequest>,
    result_sender: UnboundedSender<CallResult>,
) {
    let RegisteredCall {
        number,
        registered_at: started_at,
        server,
        was_leaving,
    } = registered;
    let target = ExchangeTarget {
        key: server,
        number,
        was_leaving,
        max_connections,
    };
    let open_call = OpenCall {
        shared: &shared,
        route: &route,
        server,
        number,
    };
    let timeout = outgoing.deadline.saturating_duration_since(started_at) + DEADLINE_GRACE;
    let send_state = SendState::new(&outgoing);
    let exchange_result = select! {
        exchange_result = exchange::run(
            &shared,
            target,
            &outgoing,
            || !result_sender.is_closed() && !outgoing.has_ended.get(),
            &send_state,
        ) => Some(exchange_result),
        () = async {
            result_sender.closed().await;
            sleep(linger_time(&shared, server)).await;
        } => None,
        () = sleep(timeout) => None,
    };
    match exchange_result {
        Some(ExchangeResult { result, evidence }) => {
            open_call.finish(evidence);
            crashes::on_call_ended(&shared, &outgoing, &call.service, server, &result);
            let outcome = match &result {
                Ok(_) => "ok",
                Err(failed) => failed.failure.reason.as_str(),
            };
            record_metrics(&shared, &call, outcome, started_at.elapsed());
            if let Err(failed) = &result {
                handle_failure(&shared, &outgoing, &call, server, failed);
            }
            // The receiver is gone if the request has ended meanwhile.
            let _ = result_sender.send((
                vec![call.attempt],
                result.map(|reply| PartReply::Direct(Box::new(reply))),
            ));
        }
        None => {
            if started_at.elapsed() >= LINGER {
                // A long time without a reply: other connections to this server that have
                // been idle since may be dead too.
                shared
                    .connections
                    .borrow_mut()
                    .mark_suspect(server, started_at);
            }
            if send_state.is_sent() {
                crashes::on_call_left(&shared, &outgoing, &call.service, target);
            }
            open_call.finish(Evidence::Cancelled(started_at.elapsed()));
            record_metrics(&shared, &call, "cancelled", started_at.elapsed());
        }
    }
}

/// Returns how long a call continues after its request has ended.
fn linger_time<A: Adapter>(shared: &Shared<A>, server: ReplicaKey) -> Duration {
    if shared.servers.borrow().is_full(server, Instant::now()) {
        LINGER_WHEN_FULL
    } else {
        LINGER
    }
}

fn record_metrics<A: Adapter>(
    shared: &Shared<A>,
    call: &Call<CallTarget>,
    outcome: &'static str,
    elapsed: Duration,
) {
    let labels = CallLabels {
        cause: call.cause.as_str(),
        outcome,
    };
    shared.metrics.on_call(labels, elapsed);
}

fn handle_failure<A: Adapter>(
    shared: &Shared<A>,
    outgoing: &OutgoingRequest,
    call: &Call<CallTarget>,
    server: ReplicaKey,
    failed: &FailedCall,
) {
    if shared.may_log("call") {
        let servers = shared.servers.borrow();
        log::info!(
            target: "call",
            id = outgoing.options.log_id(),
            cause = call.cause.as_str(),
            service = &*call.service,
            server = servers.entry(server).map_or("-", |entry| &*entry.id),
            reason = failed.failure.reason.as_str(),
            ran = failed.failure.ran.as_str();
            "A call failed."
        );
    }
    if failed.is_misdirected {
        log::info!(
            target: "upstream",
            "The address of a {} server now belongs to another server.",
            call.service
        );
        shared.servers.borrow_mut().on_address_reused(server);
        shared.connections.borrow_mut().remove_pool(server);
        shared.servers_changed.notify_waiters();
    }
}

/// A registered call that its server has not answered yet.
struct OpenCall<'a, A: Adapter> {
    shared: &'a Shared<A>,
    route: &'a Arc<str>,
    server: ReplicaKey,
    number: u64,
}

impl<A: Adapter> OpenCall<'_, A> {
    fn finish(&self, evidence: Evidence) {
        let now = Instant::now();
        let median_ms = self.shared.latency_medians.borrow().median_ms(self.route);
        let service_time = {
            let mut servers = self.shared.servers.borrow_mut();
            servers.on_call_ended(self.server, self.number, evidence, median_ms, now)
        };
        if let Some(service_time) = service_time {
            self.shared
                .latency_medians
                .borrow_mut()
                .on_sample(self.route, service_time);
        }
    }
}
