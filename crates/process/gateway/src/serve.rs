//! One request of a caller, from its head to its answer.

use {
    crate::{
        adapter::Reply,
        answer::{self, Answer},
        call::{self, CallEnd},
        exchange::Outgoing,
        shared::Shared,
        view::View,
        Adapter, Ask, Protocol,
    },
    bytes::Bytes,
    http::{header, request, HeaderValue, Request},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    kind::{Error, Kind, Ran, Result},
    replica::ReplicaKey,
    routing::{Route, ServiceName, ShardSet, Table, Target},
    scatter::{Action, Event, Outcome, PartEnd, Plan, Query},
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
/// Least time by which a call is late before it is hedged.
const HEDGE_AFTER: Duration = Duration::from_millis(15);
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
    let result = run(&shared, request, began).await;
    let mut answer = match result {
        Ok(answer) => answer,
        Err(error) => {
            log::info!(target: "entry", "Request refused: {error} (ran {}).", error.ran().as_str());
            answer::refused(&error)
        }
    };
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
) -> Result<Answer> {
    let table = shared.table().ok_or_else(|| {
        Error::new(Kind::NotReady, "no configuration is known yet")
            .with_retry_after(NOT_READY_RETRY_AFTER)
    })?;
    let (head, body) = request.into_parts();
    let route = find_route(&table, &head)?;
    let ask = A::Protocol::read_ask(&head);
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
    };
    match &route.target {
        Target::One(service) => job.one(service, began).await,
        Target::Split(parts) => {
            let service = shared.splits.borrow_mut().next(&route.name, parts);
            let service = service.ok_or_else(|| Error::new(Kind::Internal, "empty split"))?;
            job.one(&service, began).await
        }
        Target::Shards(set) => job.shards(set, began).await,
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

struct Job<'a, A: Adapter> {
    shared: &'a Rc<Shared<A>>,
    table: &'a Table,
    route: &'a Route,
    outgoing: &'a Rc<Outgoing>,
}

impl<A: Adapter> Job<'_, A> {
    async fn one(&self, service: &ServiceName, began: Instant) -> Result<Answer> {
        let deadline = self.answer_by(began);
        let plan = Plan {
            deadline,
            answer_at: deadline,
            late_answer_at: deadline,
            min_share: 1.0,
            max_attempts: self.route.max_attempts,
            is_repeatable: self.route.is_repeatable,
            hedge_after: None,
        };
        let services = [service.clone()];
        let (outcome, own_failure) = self.ask(plan, &services).await;
        if let (Some(reply), Ran::Yes, false) = (own_failure, outcome.ran, outcome.is_enough) {
            // The server's own failure says more than one of this host could.
            return Ok(answer::passed_on::<A>(reply));
        }
        let error = answer::shortfall(&outcome, RETRY_AFTER);
        let part = outcome.parts.into_iter().next();
        match part.map(|part| part.end) {
            Some(PartEnd::Covered(reply)) => Ok(answer::passed_on::<A>(reply)),
            _ => Err(error),
        }
    }

    async fn shards(&self, set: &ShardSet, began: Instant) -> Result<Answer> {
        let deadline = self.answer_by(began);
        let answer_at = began + self.route.target_latency.saturating_sub(ANSWER_MARGIN);
        let plan = Plan {
            deadline,
            answer_at: answer_at.min(deadline),
            late_answer_at: (answer_at + self.route.target_latency).min(deadline),
            min_share: set.min_share,
            max_attempts: self.route.max_attempts,
            is_repeatable: self.route.is_repeatable,
            hedge_after: Some(HEDGE_AFTER),
        };
        let (outcome, _) = self.ask(plan, &set.services).await;
        if !outcome.is_enough {
            return Err(answer::shortfall(&outcome, RETRY_AFTER));
        }
        let total = outcome.parts.len();
        let covered = outcome.parts.into_iter().filter_map(|part| match part.end {
            PartEnd::Covered(reply) => Some(reply),
            PartEnd::Missing(_) => None,
        });
        let covered: Vec<Reply> = covered.collect();
        let missing = total - covered.len();
        Ok(answer::merged::<A>(covered, missing, set))
    }

    fn answer_by(&self, began: Instant) -> Instant {
        let deadline = self.outgoing.deadline;
        let latest = deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline);
        latest.max(began)
    }

    /// Runs a query to its end; the server's own failure comes beside it.
    async fn ask(&self, plan: Plan, services: &[ServiceName]) -> (Outcome<Reply>, Option<Reply>) {
        let (ends, mut arrivals) = unbounded_channel();
        let now = Instant::now();
        for service in services {
            self.shared.extras.borrow_mut().on_first(service, now);
        }
        let mut query = Query::new(plan, services);
        let mut own_failure = None;
        let mut actions = query.start(&mut self.view(), now);
        while self.carry_out(actions, &ends) {
            let event = next_event(&query, &mut arrivals).await;
            let event = match event {
                None => Event::Wake,
                Some((attempt, Ok(reply))) => Event::Replied(attempt, reply),
                Some((attempt, Err(failed))) => {
                    own_failure = failed.reply.or(own_failure);
                    Event::Failed(attempt, failed.failure)
                }
            };
            actions = query.on_event(event, &mut self.view(), Instant::now());
        }
        (query.into_outcome(), own_failure)
    }

    fn view(&self) -> View<'_, A> {
        View {
            shared: self.shared,
            typical_ms: self.shared.works.borrow().typical_ms(&self.route.name),
        }
    }

    /// Returns whether the query goes on.
    fn carry_out(&self, actions: Vec<Action<ReplicaKey>>, ends: &UnboundedSender<CallEnd>) -> bool {
        for action in actions {
            match action {
                Action::Finish => return false,
                Action::Call(call) => {
                    let limit = self.table.connection_limit(&call.service);
                    spawn_local(call::run(
                        Rc::clone(self.shared),
                        Arc::clone(&self.route.name),
                        limit,
                        call,
                        Rc::clone(self.outgoing),
                        ends.clone(),
                    ));
                }
            }
        }
        true
    }
}

/// Waits for the end of a call, or returns `None` when time has passed.
async fn next_event(
    query: &Query<ReplicaKey, Reply>,
    arrivals: &mut UnboundedReceiver<CallEnd>,
) -> Option<CallEnd> {
    let Some(wake) = query.next_wake() else {
        return arrivals.recv().await;
    };
    select! {
        biased;
        end = arrivals.recv() => end,
        () = sleep_until(wake.into()) => None,
    }
}

impl Ask {
    /// Returns the identifier of the request for logs.
    pub(crate) fn id(&self) -> &str {
        let id = self.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}
