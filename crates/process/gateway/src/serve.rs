//! One request of a caller, from its head to its answer.

use {
    crate::{
        adapter::Reply,
        answer::{self, Answer, Piece},
        call::{self, CallEnd},
        exchange::Outgoing,
        relay::{self, Relayed},
        shared::Shared,
        view::{Relaying, Via, View},
        Adapter, Ask, Protocol,
    },
    bytes::Bytes,
    http::{header, request, HeaderValue, Request},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    kind::{Error, Kind, Ran, Result},
    meter::RequestLabels,
    replica::ReplicaKey,
    routing::{Route, ServiceName, ShardSet, Table, Target},
    scatter::{Action, Call, Cause, Event, Outcome, Plan, Query},
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        select,
        sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender},
        task::spawn_local,
        time::{sleep_until, timeout_at},
    },
};

/// Time before a deadline at which the answer goes out, for its way to the
/// caller and a late timer.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);
/// Part of that margin which an answer that is ready may still use.
const IN_TIME_SLACK: Duration = Duration::from_millis(6);
/// Least time by which a call is late before it is hedged.
pub(crate) const HEDGE_AFTER: Duration = Duration::from_millis(15);
/// Missing shards that the line of a request names; the rest is a number there.
const MAX_NAMED_SHARDS: usize = 8;
/// Time after which a caller may come back to a service that refuses: a few
/// requests long.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time after which a caller may come back to a host that cannot serve yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Answers one request.
pub(crate) async fn handle<A: Adapter>(
    shared: Rc<Shared<A>>,
    request: Request<Incoming>,
) -> Answer {
    let began = Instant::now();
    let _in_flight = shared.life.hold();
    let id = A::Protocol::read_ask_headers(request.headers())
        .id()
        .to_owned();
    let mut told = Told::default();
    let result = run(&shared, request, began, &mut told).await;
    told.outcome = match &result {
        Ok(_) if told.missing > 0 => "partial",
        Ok(_) => "ok",
        Err(error) => error.kind().answer().name,
    };
    let mut answer = match result {
        Ok(answer) => answer,
        Err(error) => {
            told.detail = error.detail().to_owned();
            told.ran = error.ran().as_str();
            answer::refused(&error)
        }
    };
    told.tell(&shared, &id, &answer, began.elapsed());
    if shared.life.phase() > fleet::Phase::Ready {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

async fn run<A: Adapter>(
    shared: &Rc<Shared<A>>,
    request: Request<Incoming>,
    began: Instant,
    told: &mut Told,
) -> Result<Answer> {
    let table = shared.table().ok_or_else(|| {
        Error::new(Kind::NotReady, "no configuration is known yet")
            .with_retry_after(NOT_READY_RETRY_AFTER)
    })?;
    let (head, body) = request.into_parts();
    let route = find_route(&table, &head)?;
    told.route = Arc::clone(&route.name);
    told.rank = route.priority;
    told.version = table.version();
    let ask = A::Protocol::read_ask_headers(&head.headers);
    let time_left = ask.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = began + time_left;
    let body = read_body(body, &table, deadline).await?;
    let outgoing = Rc::new(Outgoing {
        head,
        body,
        ask,
        deadline,
        needs_success: matches!(route.target, Target::Shards(_)),
    });
    let job = Job {
        shared,
        table: &table,
        route: &route,
        outgoing: &outgoing,
        relaying: Relaying::None,
    };
    match &route.target {
        Target::One(service) => job.one(service, began, told).await,
        Target::Split(parts) => {
            let service = shared.splits.borrow_mut().next(&route.name, parts);
            let service = service.ok_or_else(|| Error::new(Kind::Internal, "empty split"))?;
            job.one(&service, began, told).await
        }
        Target::Shards(set) => job.shards(set, began, told).await,
    }
}

fn find_route(table: &Table, head: &request::Parts) -> Result<Arc<Route>> {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let path = head.uri.path();
    let route = table.find(host, path).cloned();
    route.ok_or_else(|| {
        let version = table.version();
        Error::new(
            Kind::UnknownRoute,
            format!("{host}{path} in version {version}"),
        )
    })
}

async fn read_body(body: Incoming, table: &Table, deadline: Instant) -> Result<Bytes> {
    let most = table.caller_limits().max_body_bytes;
    let whole = timeout_at(deadline.into(), Limited::new(body, most).collect()).await;
    match whole {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("more than {most} bytes");
            Err(Error::new(Kind::BodyTooLarge, detail))
        }
        Ok(Err(error)) => Err(Error::new(Kind::BadBody, error.to_string())),
        Err(_) => Err(Error::new(Kind::TooLate, "the body did not arrive in time")),
    }
}

/// Names some of the shards that an answer lacks, and why.
fn missing_shards<R>(outcome: &Outcome<R>) -> String {
    let named = outcome.missing.iter().take(MAX_NAMED_SHARDS);
    let named = named.map(|(shard, reason)| format!("{shard} {}", reason.as_str()));
    named.collect::<Vec<_>>().join(", ")
}

/// What is told of a request once it has ended.
#[derive(Default)]
struct Told {
    route: Arc<str>,
    rank: u32,
    version: u64,
    parts: usize,
    missing: usize,
    outcome: &'static str,
    ran: &'static str,
    detail: String,
}

impl Told {
    fn tell<A: Adapter>(&self, shared: &Shared<A>, id: &str, answer: &Answer, took: Duration) {
        let labels = RequestLabels {
            rank: self.rank,
            outcome: self.outcome,
        };
        shared.metrics.on_request(labels, took);
        if !shared.may_log("request") {
            return;
        }
        log::info!(
            target: "request",
            id,
            route = &*self.route,
            version = self.version,
            status = answer.status().as_u16(),
            outcome = self.outcome,
            took_ms = took.as_millis() as u64,
            parts = self.parts,
            missing = self.missing,
            ran = self.ran,
            detail = &*self.detail;
            "Request ended."
        );
    }
}

/// One request with what it needs.
pub(crate) struct Job<'a, A: Adapter> {
    pub(crate) shared: &'a Rc<Shared<A>>,
    pub(crate) table: &'a Table,
    pub(crate) route: &'a Arc<Route>,
    pub(crate) outgoing: &'a Rc<Outgoing>,
    pub(crate) relaying: Relaying,
}

impl<A: Adapter> Job<'_, A> {
    async fn one(&self, service: &ServiceName, began: Instant, told: &mut Told) -> Result<Answer> {
        let deadline = self.answer_by(began);
        let plan = Plan {
            deadline,
            answer_at: deadline,
            in_time_until: deadline,
            late_answer_at: deadline,
            min_share: 1.0,
            max_attempts: self.route.max_attempts,
            is_repeatable: self.route.is_repeatable,
            hedge_after: None,
            hedge_until: None,
        };
        let services = [service.clone()];
        let (outcome, own_failure) = self.ask(plan, &services).await;
        told.parts = 1;
        if let (Some(reply), Ran::Yes, false) = (own_failure, outcome.ran, outcome.is_enough) {
            // The server's own failure says more than one of this host could.
            return Ok(answer::passed_on::<A>(reply));
        }
        let error = answer::shortfall(&outcome, RETRY_AFTER);
        let bundle = outcome.bundles.into_iter().next();
        match bundle.map(|bundle| bundle.reply) {
            Some(Piece::Own(reply)) => Ok(answer::passed_on::<A>(reply)),
            _ => Err(error),
        }
    }

    async fn shards(mut self, set: &ShardSet, began: Instant, told: &mut Told) -> Result<Answer> {
        let deadline = self.answer_by(began);
        let answer_at = began + self.route.target_latency.saturating_sub(ANSWER_MARGIN);
        let plan = Plan {
            deadline,
            answer_at: answer_at.min(deadline),
            in_time_until: (answer_at + IN_TIME_SLACK).min(deadline),
            late_answer_at: (answer_at + self.route.target_latency).min(deadline),
            min_share: set.min_share,
            max_attempts: self.route.max_attempts,
            is_repeatable: self.route.is_repeatable,
            hedge_after: Some(HEDGE_AFTER),
            hedge_until: None,
        };
        self.refuse_hopeless(set, began)?;
        self.relaying = Relaying::First(plan.answer_at.saturating_duration_since(began));
        let (outcome, _) = self.ask(plan, &set.services).await;
        told.parts = outcome.parts;
        told.missing = outcome.missing.len();
        for (_, reason) in &outcome.missing {
            self.shared.metrics.on_missing_part(reason.as_str());
        }
        told.detail = missing_shards(&outcome);
        if !outcome.is_enough {
            return Err(answer::shortfall(&outcome, RETRY_AFTER));
        }
        Ok(answer::merged::<A>(outcome, set))
    }

    /// Refuses a query that would wait too long for enough of its shards.
    fn refuse_hopeless(&self, set: &ShardSet, now: Instant) -> Result<()> {
        let shared = self.shared;
        let typical_ms = shared.works.borrow().typical_ms(&self.route.name);
        let replicas = shared.replicas.borrow();
        let refusal = shared.outlook.borrow_mut().refusal(
            &set.services,
            set.min_share,
            self.route.target_latency,
            now,
            |shard| replicas.delay(shard, typical_ms, now),
        );
        let Some(refusal) = refusal else {
            return Ok(());
        };
        let detail = format!(
            "enough shards answer {} ms late, at most {} ms are borne",
            refusal.delay.as_millis(),
            refusal.most.as_millis()
        );
        Err(Error::new(Kind::Shed, detail).with_retry_after(refusal.retry_after))
    }

    fn answer_by(&self, began: Instant) -> Instant {
        let deadline = self.outgoing.deadline;
        let latest = deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline);
        latest.max(began)
    }

    /// Runs a query to its end; the server's own failure comes beside it.
    async fn ask(&self, plan: Plan, services: &[ServiceName]) -> (Outcome<Piece>, Option<Reply>) {
        let mut running = self.begin(plan, services);
        running.run(self, None).await;
        (running.query.into_outcome(), running.own_failure)
    }

    /// Begins a query.
    pub(crate) fn begin(&self, plan: Plan, services: &[ServiceName]) -> Running {
        let (ends, arrivals) = unbounded_channel();
        let mut query = Query::new(plan, services);
        let actions = query.start(&mut self.view(), Instant::now());
        let mut running = Running {
            query,
            ends,
            arrivals,
            answer_at: plan.answer_at,
            own_failure: None,
            is_finished: false,
        };
        running.is_finished = !self.carry_out(actions, &running);
        running
    }

    fn view(&self) -> View<'_, A> {
        View {
            shared: self.shared,
            typical_ms: self.shared.works.borrow().typical_ms(&self.route.name),
            relaying: self.relaying,
            table: self.table,
            chosen: Vec::new(),
        }
    }

    /// Returns whether the query goes on.
    fn carry_out(&self, actions: Vec<Action<Via>>, running: &Running) -> bool {
        let ends = &running.ends;
        let mut relayed: Vec<Relayed> = Vec::new();
        for action in actions {
            match action {
                Action::Finish => return false,
                Action::Call(call) => match call.server {
                    Via::Server(server) => self.call(call, server, ends),
                    Via::Relay(relay) => match relayed
                        .iter_mut()
                        .find(|r| r.relay == relay && r.max_attempts == call.reaches)
                    {
                        Some(known) => known.calls.push(call),
                        None => relayed.push(Relayed {
                            relay,
                            max_attempts: call.reaches,
                            calls: vec![call],
                            table_version: self.table.version(),
                            answer_at: running.answer_at,
                        }),
                    },
                },
            }
        }
        for relayed in relayed {
            spawn_local(relay::ask(
                Rc::clone(self.shared),
                Arc::clone(self.route),
                relayed,
                Rc::clone(self.outgoing),
                ends.clone(),
            ));
        }
        true
    }

    fn tell_extra(&self, call: &Call<Via>, server: ReplicaKey) {
        if !self.shared.may_log("call") {
            return;
        }
        let replicas = self.shared.replicas.borrow();
        let server = replicas.entry(server).map_or("-", |entry| &*entry.id);
        log::info!(
            target: "call",
            id = self.outgoing.ask.id(),
            cause = call.cause.as_str(),
            service = &*call.service,
            server,
            expected_ms = call.expected.as_millis() as u64,
            extras_left = self.shared.extras.borrow().left(&call.service);
            "A further server is called."
        );
    }

    fn call(&self, call: Call<Via>, server: ReplicaKey, ends: &UnboundedSender<CallEnd>) {
        if call.cause != Cause::First {
            self.tell_extra(&call, server);
        }
        if call.cause == Cause::First {
            let mut extras = self.shared.extras.borrow_mut();
            extras.on_first(&call.service, Instant::now());
        }
        let limit = self.table.connection_limit(&call.service);
        let is_relayed = self.relaying != Relaying::None;
        let begun = call::begin(self.shared, &call, server);
        spawn_local(call::run(
            Rc::clone(self.shared),
            Arc::clone(&self.route.name),
            self.shared.connection_share(limit, is_relayed),
            call,
            begun,
            Rc::clone(self.outgoing),
            ends.clone(),
        ));
    }
}

/// A query with the calls that it waits for.
pub(crate) struct Running {
    pub(crate) query: Query<Via, Piece>,
    ends: UnboundedSender<CallEnd>,
    arrivals: UnboundedReceiver<CallEnd>,
    answer_at: Instant,
    own_failure: Option<Reply>,
    is_finished: bool,
}

impl Running {
    /// Runs the query until it ends, or until a time; returns whether it has ended.
    pub(crate) async fn run<A: Adapter>(
        &mut self,
        job: &Job<'_, A>,
        until: Option<Instant>,
    ) -> bool {
        while !self.is_finished {
            if until.is_some_and(|until| Instant::now() >= until) {
                return false;
            }
            let event = match self.next(until).await {
                None => Event::Wake,
                Some((attempts, Ok(piece))) => Event::Replied(attempts, piece),
                Some((attempts, Err(failed))) => {
                    self.own_failure = failed.reply.or(self.own_failure.take());
                    // Failures come one by one.
                    let attempt = attempts.first().copied().unwrap_or_default();
                    Event::Failed(attempt, failed.failure)
                }
            };
            let actions = self.query.on_event(event, &mut job.view(), Instant::now());
            self.is_finished = !job.carry_out(actions, self);
        }
        true
    }

    /// Waits for the end of a call, or returns `None` when time has passed.
    async fn next(&mut self, until: Option<Instant>) -> Option<CallEnd> {
        let wake = [self.query.next_wake(), until].into_iter().flatten().min();
        let Some(wake) = wake else {
            return self.arrivals.recv().await;
        };
        select! {
            biased;
            end = self.arrivals.recv() => end,
            () = sleep_until(wake.into()) => None,
        }
    }
}

impl Ask {
    /// Returns the identifier of the request for logs.
    pub(crate) fn id(&self) -> &str {
        let id = self.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}
