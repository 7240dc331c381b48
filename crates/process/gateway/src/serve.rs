//! Handles a caller's request, from its parsed head to the response.

use {
    crate::{
        adapter::Reply,
        answer_margin::{self, AnswerMargin},
        call::{self, CallResult},
        cold_relay, crashes, delay_reports,
        exchange::{self, OutgoingRequest},
        identity::{self, Identity},
        quota::{self, RequestPermit},
        relay::{self, RelayBatch},
        relay_runs,
        response::{self, CallerResponse, PartReply},
        server_selection::{CallTarget, RelayMode, ServerSelection},
        shared::Shared,
        Adapter, Protocol, RequestOptions,
    },
    bytes::Bytes,
    http::{header, request, HeaderValue, Request},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    kind::{Error, Kind, Ran, Result},
    linger::TrackedBody,
    link::ServiceNames,
    meter::RequestLabels,
    replica::{Distance, ReplicaKey},
    routing::{Route, ServiceName, ShardSet, Table, Target, Workspace},
    scatter::{Action, Call, Cause, Event, Outcome, Query, QueryPolicy},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        slice,
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

/// How long before a deadline the response of a single service is sent. Covers the
/// network latency to the caller and a timer that fires late.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);
/// Minimum time past its expected latency after which a call is hedged.
pub(crate) const MIN_HEDGE_DELAY: Duration = Duration::from_millis(15);
/// Maximum number of missing shards that a request's log line names. Its
/// `missing` field holds the total.
const MAX_LOGGED_SHARDS: usize = 8;
/// Value of `Retry-After` when a service refuses a request: the duration of a
/// few requests.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The body of a caller's request.
type CallerBody = TrackedBody<Incoming>;

/// Handles a request and returns its response.
pub(crate) async fn handle<A: Adapter>(
    shared: Rc<Shared<A>>,
    request: Request<CallerBody>,
) -> CallerResponse {
    let started_at = Instant::now();
    let _in_flight = shared.life.begin_work();
    let id = A::Protocol::read_request_options(request.headers())
        .log_id()
        .to_owned();
    let mut summary = RequestSummary::default();
    let result = select! {
        result = run(&shared, request, started_at, &mut summary) => result,
        error = shared.life.wait_for_abort() => Err(error),
    };
    summary.outcome = match &result {
        Ok(_) if summary.missing > 0 => "partial",
        Ok(_) => "ok",
        Err(error) => error.kind().answer().name,
    };
    let mut response = match result {
        Ok(response) => response,
        Err(error) => {
            summary.detail = error.detail().to_owned();
            summary.ran = error.ran().as_str();
            response::error_response(&error)
        }
    };
    summary.report(&shared, &id, &response, started_at.elapsed());
    if let Some(ended_at) = summary.wait_ended_at {
        answer_margin::on_response(&shared, &summary.route, ended_at);
    }
    if shared.life.phase() > fleet::Phase::Ready {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn run<A: Adapter>(
    shared: &Rc<Shared<A>>,
    request: Request<CallerBody>,
    started_at: Instant,
    summary: &mut RequestSummary,
) -> Result<CallerResponse> {
    let table = shared.table().ok_or_else(|| {
        Error::new(Kind::NotReady, "no configuration is known yet")
            .with_retry_after(fleet::retry_after_start(shared.started_at.elapsed()))
    })?;
    let (mut head, body) = request.into_parts();
    let route = find_route(&table, &head)?;
    summary.route = Arc::clone(&route.name);
    summary.rank = route.priority;
    summary.version = table.version();
    let (workspace, identity) = identify(shared, &table, &route, &mut head)?;
    let mut allowed_regions = route.allowed_regions.clone();
    if let Some(workspace) = &workspace {
        summary.rank = workspace.priority.unwrap_or(route.priority);
        allowed_regions = allowed_regions.intersection(&workspace.allowed_regions);
    }
    let options = A::Protocol::read_request_options(&head.headers);
    let time_left = options
        .time_left
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = started_at + time_left;
    let body = read_body(body, &table, deadline).await?;
    let destination = Destination::choose(shared, &route)?;
    let fingerprint = exchange::fingerprint(&head, workspace.as_deref(), &body);
    let permit = {
        let services = destination.services();
        let is_enough = |covered| destination.is_covered_by(covered);
        crashes::admit(shared, fingerprint, services, is_enough).await?
    };
    let outgoing = Rc::new(OutgoingRequest {
        route: Arc::clone(&route),
        fingerprint,
        is_canary: permit.is_canary,
        evidence: RefCell::default(),
        has_ended: Cell::default(),
        identity,
        permit: RequestPermit::new(shared, workspace.as_deref()),
        head,
        body,
        options,
        workspace,
        allowed_regions,
        deadline,
        needs_success: matches!(route.target, Target::Shards(_)),
    });
    let context = RequestContext {
        shared,
        table: &table,
        route: &route,
        outgoing: &outgoing,
        relay_mode: RelayMode::None,
        scope: permit.scope.as_ref(),
        max_attempts: if permit.is_canary {
            1
        } else {
            route.max_attempts
        },
    };
    let result = match &destination {
        Destination::Service(service) => {
            context
                .forward_to_service(service, started_at, summary)
                .await
        }
        Destination::Shards(set) => {
            let is_canary = permit.is_canary;
            context
                .query_shards(set, is_canary, started_at, summary)
                .await
        }
    };
    let has_not_run = matches!(&result, Err(error) if error.ran() == Ran::No);
    if let (true, Some(scope)) = (permit.is_canary, permit.scope) {
        crashes::on_canary_ended(shared, &outgoing, &scope, has_not_run);
    }
    match outgoing.identity.take_refusal() {
        // More specific than the failures of the calls that were not made.
        Some(refusal) if has_not_run => Err(refusal),
        _ => result,
    }
}

/// Where a request goes.
enum Destination<'a> {
    Service(ServiceName),
    Shards(&'a ShardSet),
}

impl<'a> Destination<'a> {
    fn choose<A: Adapter>(shared: &Shared<A>, route: &'a Route) -> Result<Self> {
        Ok(match &route.target {
            Target::Service(service) => Self::Service(service.clone()),
            Target::Split(parts) => {
                let service = shared.splits.borrow_mut().next(&route.name, parts);
                Self::Service(service.ok_or_else(|| {
                    Error::new(
                        Kind::Internal,
                        "the traffic split of the route selects no service",
                    )
                })?)
            }
            Target::Shards(set) => Self::Shards(set),
        })
    }

    fn services(&self) -> &[ServiceName] {
        match self {
            Self::Service(service) => slice::from_ref(service),
            Self::Shards(set) => &set.services,
        }
    }

    /// Returns whether answers of `covered` services suffice.
    fn is_covered_by(&self, covered: usize) -> bool {
        match self {
            Self::Service(_) => covered > 0,
            Self::Shards(set) => set.is_covered_by(covered),
        }
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

/// Returns the workspace of a request, and removes from its head what identifies it.
fn identify<A: Adapter>(
    shared: &Shared<A>,
    table: &Table,
    route: &Route,
    head: &mut request::Parts,
) -> Result<(Option<Arc<Workspace>>, Identity)> {
    let version = table.version();
    if !table.has_workspaces() {
        return Ok((None, Identity::new(None, version)));
    }
    let key = A::Protocol::read_api_key(&head.headers);
    // A configuration that is too old may lack the key, which is then not unknown.
    identity::check_age(shared, key.is_some())?;
    let workspace = table.identify(route, key)?.cloned();
    let identity = Identity::new(key.filter(|_| workspace.is_some()), version);
    A::Protocol::remove_identity(&mut head.headers);
    Ok((workspace, identity))
}

async fn read_body(body: CallerBody, table: &Table, deadline: Instant) -> Result<Bytes> {
    let max_bytes = table.caller_limits().max_body_bytes;
    let collected = timeout_at(deadline.into(), Limited::new(body, max_bytes).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("more than {max_bytes} bytes");
            Err(Error::new(Kind::BodyTooLarge, detail))
        }
        Ok(Err(error)) => Err(Error::new(Kind::BadBody, error.to_string())),
        Err(_) => Err(Error::new(Kind::TooLate, "the body did not arrive in time")),
    }
}

/// Lists up to [`MAX_LOGGED_SHARDS`] missing shards, each with its reason.
fn describe_missing_shards<R>(outcome: &Outcome<R>) -> String {
    let listed = outcome.missing.iter().take(MAX_LOGGED_SHARDS);
    let descriptions = listed.map(|(shard, reason)| format!("{shard} {}", reason.as_str()));
    descriptions.collect::<Vec<_>>().join(", ")
}

/// What is logged and counted about a request when it ends.
#[derive(Default)]
pub(crate) struct RequestSummary {
    route: Arc<str>,
    rank: u32,
    version: u64,
    parts: usize,
    missing: usize,
    /// When a query that is answered stopped waiting for shards.
    wait_ended_at: Option<Instant>,
    outcome: &'static str,
    ran: &'static str,
    detail: String,
}

impl RequestSummary {
    fn report<A: Adapter>(
        &self,
        shared: &Shared<A>,
        id: &str,
        response: &CallerResponse,
        elapsed: Duration,
    ) {
        let labels = RequestLabels {
            rank: self.rank,
            outcome: self.outcome,
        };
        shared.metrics.on_request(labels, elapsed);
        if !shared.may_log("request") {
            return;
        }
        log::info!(
            target: "request",
            id,
            route = &*self.route,
            version = self.version,
            status = response.status().as_u16(),
            outcome = self.outcome,
            took_ms = elapsed.as_millis() as u64,
            parts = self.parts,
            missing = self.missing,
            ran = self.ran,
            detail = &*self.detail;
            "Request ended."
        );
    }
}

/// A request with the state needed to handle it.
pub(crate) struct RequestContext<'a, A: Adapter> {
    pub(crate) shared: &'a Rc<Shared<A>>,
    pub(crate) table: &'a Table,
    pub(crate) route: &'a Arc<Route>,
    pub(crate) outgoing: &'a Rc<OutgoingRequest>,
    pub(crate) relay_mode: RelayMode,
    /// Services at which the request may run, `None` for all.
    pub(crate) scope: Option<&'a ServiceNames>,
    /// Largest number of servers of a service that the request may reach.
    pub(crate) max_attempts: usize,
}

impl<A: Adapter> RequestContext<'_, A> {
    pub(crate) async fn forward_to_service(
        &self,
        service: &ServiceName,
        started_at: Instant,
        summary: &mut RequestSummary,
    ) -> Result<CallerResponse> {
        let deadline = self.response_deadline(started_at, ANSWER_MARGIN);
        let answer_at = started_at + self.route.target_latency.saturating_sub(ANSWER_MARGIN);
        self.acquire_permit(answer_at).await?;
        if let Some(result) = cold_relay::forward(self, service, deadline).await {
            return result;
        }
        let policy = QueryPolicy {
            deadline,
            answer_at: deadline,
            on_time_until: deadline,
            late_answer_at: deadline,
            min_share: 1.0,
            max_attempts: self.max_attempts,
            is_repeatable: self.route.is_repeatable,
            hedge_after: None,
            hedge_until: None,
        };
        let services = [service.clone()];
        let (outcome, server_failure) = self.run_query(policy, &services).await;
        summary.parts = 1;
        if let (Some(reply), Ran::Yes, false) =
            (server_failure, outcome.ran, outcome.meets_min_share)
        {
            // The server's own error response is more specific than one from this host.
            return Ok(response::forwarded::<A>(reply));
        }
        let servers = self.shared.servers.borrow();
        let allowed = servers.within(&self.outgoing.allowed_regions);
        let closed_for = allowed.min_closed_for(service, Instant::now());
        drop(servers);
        let retry_after = RETRY_AFTER.max(closed_for.unwrap_or_default());
        let error = response::shortfall_error(&outcome, retry_after);
        let merged = outcome.replies.into_iter().next();
        match merged.map(|merged| merged.reply) {
            Some(PartReply::Direct(reply)) => Ok(response::forwarded::<A>(*reply)),
            _ => Err(error),
        }
    }

    async fn query_shards(
        mut self,
        set: &ShardSet,
        is_canary: bool,
        started_at: Instant,
        summary: &mut RequestSummary,
    ) -> Result<CallerResponse> {
        let margin = AnswerMargin::new(self.shared, self.route, self.outgoing, started_at);
        let deadline = self.response_deadline(started_at, margin.margin);
        let answer_at = margin.answer_at();
        let policy = QueryPolicy {
            deadline,
            answer_at: answer_at.min(deadline),
            on_time_until: margin.on_time_until().min(deadline),
            late_answer_at: (answer_at + self.route.target_latency).min(deadline),
            // A canary is of use with few shards, too.
            min_share: if is_canary { 0.0 } else { set.min_share },
            max_attempts: self.max_attempts,
            is_repeatable: self.route.is_repeatable,
            hedge_after: Some(MIN_HEDGE_DELAY),
            hedge_until: None,
        };
        delay_reports::refresh(&self, set).await;
        self.check_overload(set, Instant::now())?;
        self.acquire_permit(answer_at).await?;
        let begun_at = Instant::now();
        if let Some(workspace) = &self.outgoing.workspace {
            let mut fair_shares = self.shared.fair_shares.borrow_mut();
            fair_shares.on_admitted(workspace, begun_at);
        }
        if !is_canary {
            let answer_in = policy.answer_at.saturating_duration_since(begun_at);
            self.relay_mode = RelayMode::First(answer_in);
        }
        let mut running = self.start_query(policy, &set.services);
        answer_margin::wait_until_sent().await;
        let shortfall = margin.shortfall(self.shared, self.route, begun_at.elapsed());
        running.query.answer_earlier(shortfall);
        running.run(&self, None).await;
        let ended_at = running.wait_ended_at;
        let outcome = running.query.into_outcome();
        if !outcome.meets_min_share {
            relay_runs::wait_for_reports(self.outgoing, deadline).await;
        }
        let outcome = self.with_known_runs(outcome);
        summary.parts = outcome.part_count;
        summary.missing = outcome.missing.len();
        for (_, reason) in &outcome.missing {
            self.shared.metrics.on_missing_part(reason.as_str());
        }
        summary.detail = describe_missing_shards(&outcome);
        if !set.is_covered_by(outcome.part_count - outcome.missing.len()) {
            return Err(response::shortfall_error(&outcome, RETRY_AFTER));
        }
        summary.wait_ended_at = ended_at;
        Ok(response::merged::<A>(outcome, set))
    }

    /// Waits for the permit of a request that is to be answered by `answer_at`.
    async fn acquire_permit(&self, answer_at: Instant) -> Result<()> {
        let until = quota::wait_limit(self.shared, self.outgoing, answer_at);
        quota::acquire(self.shared, self.outgoing, until).await
    }

    /// Sheds a query if too few of its shards are expected to answer in time.
    ///
    /// Under overload, workspaces compete by rank and by share.
    fn check_overload(&self, set: &ShardSet, now: Instant) -> Result<()> {
        let shared = self.shared;
        let workspace = self.outgoing.workspace.as_deref();
        let tolerance = workspace.map_or(1.0, |workspace| {
            let rank = workspace.priority.unwrap_or(self.route.priority);
            let fair_shares = shared.fair_shares.borrow();
            fair_shares.tolerance(workspace, rank, now)
        });
        let median_ms = shared.latency_medians.borrow().median_ms(&self.route.name);
        let servers = shared.servers.borrow();
        let servers = servers.within(&self.outgoing.allowed_regions);
        let refusal = shared.delay_forecast.borrow_mut().refusal(
            &set.services,
            set.min_share,
            self.route.target_latency.mul_f64(tolerance),
            now,
            |shard| {
                if shared.can_connect_directly(self.table.connection_limit(shard)) {
                    servers.min_call_delay(shard, median_ms, Distance::Region, now)
                } else {
                    servers.min_queue_delay(shard, median_ms, now)
                }
            },
        );
        let Some(refusal) = refusal else {
            return Ok(());
        };
        let detail = format!(
            "enough shards answer {} ms late, at most {} ms are borne",
            refusal.delay.as_millis(),
            refusal.max_delay.as_millis()
        );
        Err(Error::new(Kind::Shed, detail).with_retry_after(refusal.retry_after))
    }

    fn response_deadline(&self, started_at: Instant, margin: Duration) -> Instant {
        let deadline = self.outgoing.deadline;
        let latest = deadline.checked_sub(margin).unwrap_or(deadline);
        latest.max(started_at)
    }

    /// Runs a query to its end. Also returns the last error response of a server, if any.
    async fn run_query(
        &self,
        policy: QueryPolicy,
        services: &[ServiceName],
    ) -> (Outcome<PartReply>, Option<Reply>) {
        let mut running = self.start_query(policy, services);
        running.run(self, None).await;
        let outcome = self.with_known_runs(running.query.into_outcome());
        (outcome, running.server_failure)
    }

    /// Returns the result of a query that has ended, with what its calls tell of runs.
    fn with_known_runs(&self, mut outcome: Outcome<PartReply>) -> Outcome<PartReply> {
        // Calls that still wait for a connection are not sent once the query has ended.
        if outcome.ran == Ran::Unknown && !self.outgoing.may_have_run() {
            outcome.ran = Ran::No;
        }
        outcome
    }

    /// Starts a query and makes its first calls.
    pub(crate) fn start_query(
        &self,
        policy: QueryPolicy,
        services: &[ServiceName],
    ) -> RunningQuery {
        let (result_sender, result_receiver) = unbounded_channel();
        let mut query = Query::new(policy, services);
        let actions = query.start(&mut self.server_selection(), Instant::now());
        let mut running = RunningQuery {
            query,
            result_sender,
            result_receiver,
            answer_at: policy.answer_at,
            wait_ended_at: None,
            server_failure: None,
            is_finished: false,
        };
        running.is_finished = !self.execute(actions, &running);
        running
    }

    pub(crate) fn server_selection(&self) -> ServerSelection<'_, A> {
        ServerSelection {
            shared: self.shared,
            median_ms: self
                .shared
                .latency_medians
                .borrow()
                .median_ms(&self.route.name),
            outgoing: self.outgoing,
            scope: self.scope,
            relay_mode: self.relay_mode,
            table: self.table,
            zone_relays: Vec::new(),
        }
    }

    /// Executes the query's actions. Returns `false` once the query is finished.
    fn execute(&self, actions: Vec<Action<CallTarget>>, running: &RunningQuery) -> bool {
        let result_sender = &running.result_sender;
        let mut batches: Vec<RelayBatch> = Vec::new();
        for action in actions {
            match action {
                Action::Finish => return false,
                Action::Call(call) => match call.server {
                    CallTarget::Server(server) => self.start_call(call, server, result_sender),
                    CallTarget::Relay(relay) => match batches.iter_mut().find(|batch| {
                        batch.relay == relay && batch.max_attempts == call.max_servers
                    }) {
                        Some(batch) => batch.calls.push(call),
                        None => batches.push(RelayBatch {
                            relay,
                            max_attempts: call.max_servers,
                            calls: vec![call],
                            table_version: self.table.version(),
                            answer_at: running.answer_at,
                        }),
                    },
                },
            }
        }
        for batch in batches {
            spawn_local(relay::query(
                Rc::clone(self.shared),
                Arc::clone(self.route),
                batch,
                Rc::clone(self.outgoing),
                result_sender.clone(),
            ));
        }
        true
    }

    fn log_extra_call(&self, call: &Call<CallTarget>, server: ReplicaKey) {
        if !self.shared.may_log("call") {
            return;
        }
        let servers = self.shared.servers.borrow();
        let server = servers.entry(server).map_or("-", |entry| &*entry.id);
        log::info!(
            target: "call",
            id = self.outgoing.options.log_id(),
            cause = call.cause.as_str(),
            service = &*call.service,
            server,
            expected_ms = call.expected.as_millis() as u64,
            extras_left = self.shared.extra_call_budgets.borrow().remaining(&call.service, Instant::now());
            "A further server is called."
        );
    }

    fn start_call(
        &self,
        call: Call<CallTarget>,
        server: ReplicaKey,
        result_sender: &UnboundedSender<CallResult>,
    ) {
        if call.cause != Cause::First {
            self.log_extra_call(&call, server);
        }
        if call.cause == Cause::First {
            let mut extra_call_budgets = self.shared.extra_call_budgets.borrow_mut();
            extra_call_budgets.on_first_call(&call.service, Instant::now());
        }
        let limit = self.table.connection_limit(&call.service);
        let is_relayed = self.relay_mode != RelayMode::None;
        let started = call::register(self.shared, &call, server);
        spawn_local(call::run(
            Rc::clone(self.shared),
            Arc::clone(&self.route.name),
            self.shared.connection_quota(limit, is_relayed),
            call,
            started,
            Rc::clone(self.outgoing),
            result_sender.clone(),
        ));
    }
}

/// A query in progress, with the channel over which its calls report their results.
pub(crate) struct RunningQuery {
    pub(crate) query: Query<CallTarget, PartReply>,
    result_sender: UnboundedSender<CallResult>,
    result_receiver: UnboundedReceiver<CallResult>,
    answer_at: Instant,
    /// When the query was due to end, if it has ended.
    wait_ended_at: Option<Instant>,
    server_failure: Option<Reply>,
    is_finished: bool,
}

impl RunningQuery {
    /// Runs the query until it ends or `until` is reached. Returns whether it has ended.
    pub(crate) async fn run<A: Adapter>(
        &mut self,
        context: &RequestContext<'_, A>,
        until: Option<Instant>,
    ) -> bool {
        while !self.is_finished {
            if until.is_some_and(|until| Instant::now() >= until) {
                return false;
            }
            let first = self.next_result(until).await;
            let mut results = vec![first];
            while let Ok(next) = self.result_receiver.try_recv() {
                results.push(Some(next));
            }
            let now = Instant::now();
            // A busy host handles the last event only some time after this.
            let mut due_at = self.query.ends_at();
            let mut selection = context.server_selection();
            let mut actions = Vec::new();
            // Results that have arrived together are handled together, so that the parts
            // of a lost relay share their next call, and that none is left out because
            // it is time to answer.
            let last = results.len() - 1;
            for (number, result) in results.into_iter().enumerate() {
                due_at = self.query.ends_at();
                let before_due = due_at.checked_sub(Duration::from_nanos(1));
                let at = before_due
                    .filter(|_| number < last)
                    .map_or(now, |due| due.min(now));
                let event = self.event_of(result);
                let next_actions = self.query.on_event(event, &mut selection, at);
                let is_finished = next_actions.iter().any(|a| matches!(a, Action::Finish));
                if is_finished {
                    actions.clear();
                }
                actions.extend(next_actions);
                if is_finished {
                    break;
                }
            }
            self.is_finished = !context.execute(actions, self);
            if self.is_finished {
                self.wait_ended_at = Some(due_at.min(now));
            }
        }
        true
    }

    /// Converts the result of a call, or `None` for a wake-up, to an event of the query.
    fn event_of(&mut self, result: Option<CallResult>) -> Event<PartReply> {
        match result {
            None => Event::Wake,
            Some((attempts, Ok(reply))) => Event::Replied(attempts, reply),
            Some((attempts, Err(failed))) => {
                self.server_failure = failed.reply.or(self.server_failure.take());
                // A failure is always reported for a single attempt.
                let attempt = attempts.first().copied().unwrap_or_default();
                Event::Failed(attempt, failed.failure)
            }
        }
    }

    /// Waits for the result of a call. Returns `None` at the query's next wake-up time or at `until`.
    async fn next_result(&mut self, until: Option<Instant>) -> Option<CallResult> {
        let wake = [self.query.next_wake(), until].into_iter().flatten().min();
        let Some(wake) = wake else {
            return self.result_receiver.recv().await;
        };
        select! {
            biased;
            result = self.result_receiver.recv() => result,
            () = sleep_until(wake.into()) => None,
        }
    }
}

impl RequestOptions {
    /// Returns the request identifier for log lines, or `-` if there is none.
    pub(crate) fn log_id(&self) -> &str {
        let id = self.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}
