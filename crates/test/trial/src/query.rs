//! Execution of a query by a relay: admission, leaf calls and outcome.

use {
    crate::{
        relay::{CallGuard, Relay},
        service::position_of,
    },
    admit::{LeafStats, RefusalKind},
    async_gate::{AdmissionRequest, Clock as _},
    futures::{
        future::{AbortHandle, Abortable},
        poll,
        stream::{FuturesUnordered, StreamExt},
    },
    kind::Ran,
    plan::{
        Action, Answer, AttemptId, Cause, Event, Gather, LeafCall, LeafFailure, LeafReply, Limits,
        Pin, Reason, RequestId, Upstreams,
    },
    rand::Rng,
    record::{ServerAddr, Shard},
    std::{
        cell::RefCell,
        collections::HashMap,
        future::Future,
        pin::pin,
        sync::Arc,
        task::Poll,
        time::{Duration, Instant},
    },
    tokio::select,
};

/// How a query ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Every shard answered.
    Complete,
    /// Some shards are missing.
    Short,
    /// The gate refused the query.
    Refused(RefusalKind),
    /// The relay was lost before it answered.
    Lost,
}

/// A query sent to a relay.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) request_id: RequestId,
    pub(crate) request: AdmissionRequest,
}

/// Measurements of the leaf calls of one query.
#[derive(Default)]
struct LeafTally {
    latencies: Vec<Duration>,
    // Time that each call waited for admission to its server; `None` while it waits.
    waits: HashMap<AttemptId, Option<Duration>>,
    sheds: u32,
}

/// Picks servers from the table of a relay for one query.
struct ServerPicker<'a> {
    relay: &'a Relay,
    stats: &'a RefCell<LeafTally>,
}

impl Upstreams for ServerPicker<'_> {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr> {
        let waiting = |server| self.relay.queue_len_after_offer(server);
        let mut random = || self.relay.random.borrow_mut().random();
        self.relay
            .servers
            .pick_avoiding_queue(shard, tried, waiting, &mut random, now)
    }

    fn may_hedge(&self, shard: &Shard, now: Instant) -> bool {
        !self.relay.servers.is_shedding(shard, now)
    }

    fn is_recovery_probe(&self, shard: &Shard, server: ServerAddr, now: Instant) -> bool {
        self.relay.servers.is_recovery_probe(shard, server, now)
    }

    fn queued_time(&self, attempt_id: AttemptId) -> Duration {
        let stats = self.stats.borrow();
        let wait = stats.waits.get(&attempt_id).copied().flatten();
        wait.unwrap_or(Duration::MAX)
    }
}

impl Relay {
    /// Executes a query, or returns [`Outcome::Lost`] if the relay is lost before the end.
    pub(crate) async fn serve(&self, query: &Query) -> Outcome {
        let mut is_lost = self.is_lost.subscribe();
        select! {
            biased;
            _ = is_lost.wait_for(|is_lost| *is_lost) => Outcome::Lost,
            outcome = self.admit_and_run(query) => outcome,
        }
    }

    async fn admit_and_run(&self, query: &Query) -> Outcome {
        let mut admission = pin!(self.gate.acquire(&query.request));
        let passed = match poll!(admission.as_mut()) {
            Poll::Ready(passed) => passed,
            Poll::Pending => {
                // Queries that have to wait indicate load.
                self.group.on_wait(self.clock.now());
                admission.await
            }
        };
        let permit = match passed {
            Ok(permit) => permit,
            Err(refusal) => return Outcome::Refused(refusal.kind),
        };
        let stats = RefCell::new(LeafTally::default());
        let answer = self.run_gather(query, &stats).await;
        let stats = stats.into_inner();
        permit.complete(&LeafStats::new(stats.latencies, stats.sheds));
        if answer.coverage.is_complete() {
            Outcome::Complete
        } else {
            Outcome::Short
        }
    }

    async fn run_gather(&self, query: &Query, stats: &RefCell<LeafTally>) -> Answer<()> {
        let limits = Limits {
            deadline: query.request.deadline,
            is_repeatable: true,
        };
        let pin = Pin::newest(&self.service).expect("the service has an index");
        let mut gather = Gather::new(query.request_id, pin, limits)
            .with_hedge(self.hedge)
            .with_service_state(Arc::clone(&self.group));
        let mut picker = ServerPicker { relay: self, stats };
        let mut calls = FuturesUnordered::new();
        let mut handles: HashMap<AttemptId, AbortHandle> = HashMap::new();
        let mut actions = gather.start(&mut picker, self.clock.now());
        loop {
            for action in actions {
                match action {
                    Action::Call(call) => {
                        let (handle, registration) = AbortHandle::new_pair();
                        handles.insert(call.attempt_id, handle);
                        let call = self.make_call(call, query, stats);
                        calls.push(Abortable::new(call, registration));
                    }
                    Action::Cancel(attempt_id) => {
                        if let Some(handle) = handles.remove(&attempt_id) {
                            handle.abort();
                        }
                    }
                    Action::Finish(answer) => return answer,
                }
            }
            let wake = gather.next_wake().unwrap_or(query.request.deadline);
            let event = self.next_event(&mut calls, wake).await;
            actions = gather.on_event(event, &mut picker, self.clock.now());
        }
    }

    async fn next_event<F>(
        &self,
        calls: &mut FuturesUnordered<Abortable<F>>,
        wake: Instant,
    ) -> Event<()>
    where
        F: Future<Output = Event<()>>,
    {
        loop {
            select! {
                biased;
                Some(done) = calls.next() => {
                    if let Ok(event) = done {
                        return event;
                    }
                }
                () = self.clock.sleep_until(wake) => return Event::Wake,
            }
        }
    }

    async fn make_call(
        &self,
        call: LeafCall,
        query: &Query,
        stats: &RefCell<LeafTally>,
    ) -> Event<()> {
        let started_at = self.clock.now();
        let is_first = call.cause == Cause::First;
        stats.borrow_mut().waits.insert(call.attempt_id, None);
        let on_admitted = || {
            let wait = self.clock.now().saturating_duration_since(started_at);
            stats.borrow_mut().waits.insert(call.attempt_id, Some(wait));
        };
        let result = self
            .call_server(call.server, is_first, &query.request, on_admitted)
            .await;
        let mut stats = stats.borrow_mut();
        match result {
            Ok(()) => {
                stats
                    .latencies
                    .push(self.clock.now().saturating_duration_since(started_at));
                let reply = LeafReply {
                    request_id: query.request_id,
                    attempt_id: call.attempt_id,
                    shard: call.shard,
                    index_version: call.index_version,
                    rows: (),
                };
                Event::Replied(call.attempt_id, reply)
            }
            Err(reason) => {
                stats.sheds += u32::from(reason == Reason::Shed);
                let failure = LeafFailure {
                    reason,
                    ran: Ran::No,
                    newest_version: None,
                };
                Event::Failed(call.attempt_id, failure)
            }
        }
    }

    async fn call_server(
        &self,
        server: ServerAddr,
        is_first: bool,
        request: &AdmissionRequest,
        on_admitted: impl FnOnce(),
    ) -> Result<(), Reason> {
        let position = position_of(server);
        let pool = &self.pools[position];
        let permit = match self.call_gate(server) {
            None => None,
            Some(gate) => {
                let passed = gate.acquire(request).await;
                Some(passed.map_err(|_| Reason::Deadline)?)
            }
        };
        on_admitted();
        let mut guard = CallGuard::new(self, server);
        let connection = pool.checkout().await;
        let sent_at = self.clock.now();
        let result = pool.server.call(is_first).await;
        guard.on_result(result, sent_at);
        drop(connection);
        // The permit is dropped instead of completed: calls of an admitted query are
        // never refused by an estimate, only once the deadline has passed.
        drop(permit);
        result.map_err(|_| Reason::Shed)
    }
}
