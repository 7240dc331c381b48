//! Runs one query: passes events to its `Gather` and executes the returned actions.

use {
    crate::{
        relay::{
            canary,
            gate::{self, Admitted, Tally, UpstreamView},
            leaf::{self, Target},
            maintenance,
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

/// Runs a query and returns its answer.
///
/// # Errors
///
/// Returns an error if the host is draining, the route or service is unknown,
/// the fingerprint is quarantined, or the query is not admitted.
pub(crate) async fn run_query(shared: &Shared, call: QueryCall) -> Result<QueryAnswer> {
    let _in_flight = shared
        .life
        .try_begin_request()
        .ok_or_else(|| Error::new(Kind::Draining, "the relay accepts no new requests"))?;
    let now = Instant::now();
    let in_force = shared.in_force();
    let route = in_force.route(&call.route, Some(call.route_version))?;
    let service = in_force.service(&route.service)?;
    let request_id = RequestId::from_str_radix(&call.request_id, 16)
        .map_err(|_| Error::new(Kind::Internal, "the request id is malformed"))?;
    let pin = Pin::newest(&service)
        .ok_or_else(|| Error::new(Kind::Internal, "the service has no index"))?;
    let limits = Limits {
        deadline: now + Duration::from_millis(call.time_left_ms),
        is_repeatable: route.repeatable,
    };
    let fingerprint = link::fingerprint(&route.name, call.query.get());
    canary::refuse_if_quarantined(shared, fingerprint)?;
    let service_state = shared.service_states.get(&service.name);
    let admitted = admit(shared, &service, &call, &limits, &service_state).await?;
    let run = QueryRun {
        shared,
        admitted: &admitted,
        tally: Tally::default(),
        service: &service.name,
        route: &route.name,
        request_id,
        wire_request_id: &call.request_id,
        query: &call.query,
        share: maintenance::share_of(shared, &service),
        is_repeatable: route.repeatable,
        fingerprint,
    };
    let gather = Gather::new(request_id, pin, limits)
        .with_coverage(route.coverage)
        .with_hedge(route.hedge)
        .with_service_state(service_state);
    let answer = run.execute(gather).await;
    let tally = run.tally;
    admitted.complete(tally);
    Ok(QueryAnswer::new(
        call.request_id.clone(),
        in_force.revision(),
        answer,
    ))
}

/// Waits until the query is admitted, and reports to `service_state` if it has to queue.
async fn admit(
    shared: &Shared,
    service: &Service,
    call: &QueryCall,
    limits: &Limits,
    service_state: &ServiceState,
) -> Result<Admitted> {
    let mut admission = pin!(gate::admit(shared, service, call, limits.deadline));
    match poll!(admission.as_mut()) {
        Poll::Ready(admitted) => admitted,
        Poll::Pending => {
            service_state.on_wait(Instant::now());
            admission.await
        }
    }
}

struct QueryRun<'a> {
    shared: &'a Shared,
    admitted: &'a Admitted,
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

impl QueryRun<'_> {
    async fn execute(&self, mut gather: Gather<Rows>) -> Answer<Rows> {
        let mut calls = FuturesUnordered::new();
        let mut handles: HashMap<AttemptId, AbortHandle> = HashMap::new();
        let mut upstreams = UpstreamView {
            servers: &self.shared.servers,
            admitted: self.admitted,
            tally: &self.tally,
        };
        let mut actions = gather.start(&mut upstreams, Instant::now());
        loop {
            for action in actions {
                match action {
                    Action::Call(call) => {
                        let (handle, registration) = AbortHandle::new_pair();
                        handles.insert(call.attempt_id, handle);
                        calls.push(Abortable::new(self.call_when_permitted(call), registration));
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
            self.update_service(&event, &mut gather);
            actions = gather.on_event(event, &mut upstreams, Instant::now());
        }
    }

    /// Passes the newest service record to the query if an upstream no longer has
    /// the index version.
    fn update_service(&self, event: &Event<Rows>, gather: &mut Gather<Rows>) {
        if !matches!(event, Event::Failed(_, failure) if failure.reason == Reason::VersionGone) {
            return;
        }
        if let Ok(service) = self.shared.in_force().service(self.service) {
            gather.learn(service);
        }
    }

    /// Makes a call as soon as the call limit of the server permits it.
    async fn call_when_permitted(&self, mut call: LeafCall) -> Event<Rows> {
        let started_at = Instant::now();
        self.tally.set_wait(call.attempt_id, None);
        let _permit = match self
            .admitted
            .acquire_permit(call.server, &self.shared.servers)
            .await
        {
            Ok(permit) => permit,
            Err(failure) => return Event::Failed(call.attempt_id, failure),
        };
        let wait = started_at.elapsed();
        self.tally.set_wait(call.attempt_id, Some(wait));
        call.time_left = call.time_left.saturating_sub(wait);
        self.make_call(call).await
    }

    async fn make_call(&self, mut call: LeafCall) -> Event<Rows> {
        let started_at = Instant::now();
        let canaries = &self.shared.canaries;
        let Ok(clearance) = canaries
            .request_clearance(self.fingerprint, call.server)
            .await
        else {
            let failure = failure_of(&call, canary::quarantined_fault());
            return Event::Failed(call.attempt_id, failure);
        };
        call.time_left = call.time_left.saturating_sub(started_at.elapsed());
        let cause = call.cause.as_str();
        self.shared.metrics.on_leaf_call(self.service, cause);
        let sent_at = Instant::now();
        let wire = leaf::WireCall::new(self.wire_request_id, &call, self.query);
        let target = Target {
            pool: self.shared.pools.get(call.server, self.share),
            shared: self.shared,
            is_repeatable: self.is_repeatable,
        };
        let result = leaf::call(&target, self.request_id, &call, &wire).await;
        let verdict = clearance.on_end(result.as_ref().err().copied());
        canary::report_verdict(self.shared, self.route, self.fingerprint, verdict);
        let result = result.map_err(|fault| failure_of(&call, fault));
        let latency = sent_at.elapsed();
        let reason = result.as_ref().err().map(|failure| failure.reason);
        self.tally.record_call(latency, reason);
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

fn failure_of(call: &LeafCall, fault: LeafFault) -> LeafFailure {
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
            Some(result) = calls.next() => {
                // A cancelled call produces no event.
                if let Ok(event) = result {
                    return event;
                }
            }
        }
    }
}
