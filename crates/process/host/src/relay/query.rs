//! One query on its relay: feeds the plan with events and carries its actions out.

use {
    crate::{
        relay::{
            canary,
            gate::{self, Admitted, InTurn, Tally},
            leaf::{self, Target},
            upkeep,
        },
        shared::Shared,
    },
    fleet::{QueryAnswer, QueryCall},
    futures::{
        future::{AbortHandle, Abortable},
        poll,
        stream::{FuturesUnordered, StreamExt},
    },
    kind::{Error, Kind, Result},
    link::Fingerprint,
    meter::LeafLabels,
    plan::{
        Action, Answer, AttemptId, Event, Gather, LeafCall, LeafFailure, LeafFault, Limits, Pin,
        Reason, RequestId, ServiceState,
    },
    record::Service,
    serde_json::value::RawValue,
    std::{
        collections::HashMap,
        future::Future,
        pin::pin,
        task::Poll,
        time::{Duration, Instant},
    },
    tokio::{select, time::sleep_until},
};

type Rows = Box<RawValue>;

/// Serves a query and returns its answer.
///
/// # Errors
///
/// Returns the error kinds that the table lists for routes, hosts and upstreams.
pub(crate) async fn serve(shared: &Shared, call: QueryCall) -> Result<QueryAnswer> {
    let _in_flight = shared
        .life
        .try_begin_request()
        .ok_or_else(|| Error::new(Kind::Draining, "the relay takes no new work"))?;
    let now = Instant::now();
    let in_force = shared.in_force();
    let route = in_force.route(&call.route, Some(call.route_version))?;
    let service = in_force.service(&route.service)?;
    let request_id = RequestId::from_str_radix(&call.request_id, 16)
        .map_err(|_| Error::new(Kind::Internal, "malformed request id"))?;
    let pin = Pin::newest(&service)
        .ok_or_else(|| Error::new(Kind::Internal, "the service has no index"))?;
    let limits = Limits {
        deadline: now + Duration::from_millis(call.time_left_ms),
        is_repeatable: route.repeatable,
    };
    let fingerprint = link::fingerprint(&route.name, call.query.get());
    canary::check(shared, fingerprint)?;
    let group = shared.groups.get(&service.name);
    let place = admit(shared, &service, &call, &limits, &group).await?;
    let run = Run {
        shared,
        place: &place,
        tally: Tally::default(),
        service: &service.name,
        route: &route.name,
        request_id,
        wire_request_id: &call.request_id,
        query: &call.query,
        share: upkeep::share_of(shared, &service),
        is_repeatable: route.repeatable,
        fingerprint,
    };
    let gather = Gather::new(request_id, pin, limits)
        .with_coverage(route.coverage)
        .with_hedge(route.hedge)
        .with_service_state(group);
    let answer = run.drive(gather).await;
    let tally = run.tally;
    place.complete(tally);
    Ok(QueryAnswer::new(
        call.request_id.clone(),
        in_force.revision(),
        answer,
    ))
}

/// Waits for the query's turn; a query that has to wait is a sign of load.
async fn admit(
    shared: &Shared,
    service: &Service,
    call: &QueryCall,
    limits: &Limits,
    group: &ServiceState,
) -> Result<Admitted> {
    let mut admission = pin!(gate::admit(shared, service, call, limits.deadline));
    match poll!(admission.as_mut()) {
        Poll::Ready(place) => place,
        Poll::Pending => {
            group.on_wait(Instant::now());
            admission.await
        }
    }
}

struct Run<'a> {
    shared: &'a Shared,
    place: &'a Admitted,
    tally: Tally,
    service: &'a str,
    route: &'a str,
    request_id: RequestId,
    wire_request_id: &'a str,
    query: &'a RawValue,
    share: u32,
    is_repeatable: bool,
    fingerprint: Fingerprint,
}

impl Run<'_> {
    async fn drive(&self, mut gather: Gather<Rows>) -> Answer<Rows> {
        let mut calls = FuturesUnordered::new();
        let mut handles: HashMap<AttemptId, AbortHandle> = HashMap::new();
        let mut upstreams = InTurn {
            servers: &self.shared.servers,
            place: self.place,
            tally: &self.tally,
        };
        let mut actions = gather.start(&mut upstreams, Instant::now());
        loop {
            for action in actions {
                match action {
                    Action::Call(call) => {
                        let (handle, registration) = AbortHandle::new_pair();
                        handles.insert(call.attempt_id, handle);
                        calls.push(Abortable::new(self.call_in_turn(call), registration));
                    }
                    Action::Cancel(attempt_id) => {
                        if let Some(handle) = handles.remove(&attempt_id) {
                            handle.abort();
                        }
                    }
                    Action::Finish(answer) => return answer,
                }
            }
            let event = next_event(&mut calls, gather.next_wake()).await;
            self.offer_newest_record(&event, &mut gather);
            actions = gather.on_event(event, &mut upstreams, Instant::now());
        }
    }

    /// Shows the query the newest record once its index version is gone.
    fn offer_newest_record(&self, event: &Event<Rows>, gather: &mut Gather<Rows>) {
        if !matches!(event, Event::Failed(_, failure) if failure.reason == Reason::VersionGone) {
            return;
        }
        if let Ok(service) = self.shared.in_force().service(self.service) {
            gather.learn(service);
        }
    }

    /// Makes a call once the server has room for it.
    async fn call_in_turn(&self, mut call: LeafCall) -> Event<Rows> {
        let asked = Instant::now();
        self.tally.set_wait(call.attempt_id, None);
        let _turn = match self.place.turn(call.server, &self.shared.servers).await {
            Ok(turn) => turn,
            Err(failure) => return Event::Failed(call.attempt_id, failure),
        };
        let wait = asked.elapsed();
        self.tally.set_wait(call.attempt_id, Some(wait));
        call.time_left = call.time_left.saturating_sub(wait);
        self.make_call(call).await
    }

    async fn make_call(&self, mut call: LeafCall) -> Event<Rows> {
        let asked = Instant::now();
        let canaries = &self.shared.canaries;
        let Ok(cleared) = canaries.clear(self.fingerprint, call.server).await else {
            let failure = failed(&call, canary::held_back());
            return Event::Failed(call.attempt_id, failure);
        };
        call.time_left = call.time_left.saturating_sub(asked.elapsed());
        let cause = call.cause.as_str();
        self.shared.metrics.on_leaf_call(self.service, cause);
        let began = Instant::now();
        let wire = leaf::WireCall::new(self.wire_request_id, &call, self.query);
        let target = Target {
            pool: self.shared.pools.get(call.server, self.share),
            shared: self.shared,
            is_repeatable: self.is_repeatable,
        };
        let result = leaf::call(&target, self.request_id, &call, &wire).await;
        let ended = cleared.on_end(result.as_ref().err().copied());
        canary::on_ended(self.shared, self.route, self.fingerprint, ended);
        let result = result.map_err(|fault| failed(&call, fault));
        let latency = began.elapsed();
        let reason = result.as_ref().err().map(|failure| failure.reason);
        self.tally.add(latency, reason);
        let labels = LeafLabels {
            service: self.service,
            cause,
            outcome: reason.map_or("ok", Reason::as_str),
        };
        self.shared.metrics.on_leaf_end(labels, latency);
        match result {
            Ok(reply) => Event::Replied(call.attempt_id, reply),
            Err(failure) => Event::Failed(call.attempt_id, failure),
        }
    }
}

fn failed(call: &LeafCall, fault: LeafFault) -> LeafFailure {
    log::debug!(target: "relay", "Call {} to {} failed: {fault:?}.", call.attempt_id, call.server);
    fault.into()
}

async fn next_event<F>(
    calls: &mut FuturesUnordered<Abortable<F>>,
    wake: Option<Instant>,
) -> Event<Rows>
where
    F: Future<Output = Event<Rows>>,
{
    let wake = wake.unwrap_or_else(Instant::now);
    loop {
        select! {
            () = sleep_until(wake.into()) => return Event::Wake,
            Some(done) = calls.next() => {
                // A cancelled call brings nothing.
                if let Ok(event) = done {
                    return event;
                }
            }
        }
    }
}
