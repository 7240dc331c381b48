//! One query: its way through an entry and a relay, and its calls.

use {
    crate::{
        relay::{CallGuard, Relay},
        service::position_of,
    },
    admit::{LeafStats, RefusalKind},
    door::{AdmissionRequest, Clock as _},
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
    /// The relay was lost.
    Lost,
}

/// A query on its way.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) request_id: RequestId,
    pub(crate) passer: AdmissionRequest,
}

#[derive(Default)]
struct LeafCounts {
    latencies: Vec<Duration>,
    // How long each call waited for its turn; none while it waits.
    waits: HashMap<AttemptId, Option<Duration>>,
    sheds: u32,
}

/// The choice of servers that a relay makes for one query.
struct InTurn<'a> {
    relay: &'a Relay,
    counts: &'a RefCell<LeafCounts>,
}

impl Upstreams for InTurn<'_> {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr> {
        let waiting = |server| self.relay.queue_len_after_offer(server);
        let mut chance = || self.relay.random.borrow_mut().random();
        self.relay
            .servers
            .pick_avoiding_queue(shard, tried, waiting, &mut chance, now)
    }

    fn may_hedge(&self, shard: &Shard, now: Instant) -> bool {
        !self.relay.servers.is_shedding(shard, now)
    }

    fn is_recovery_probe(&self, shard: &Shard, server: ServerAddr, now: Instant) -> bool {
        self.relay.servers.is_recovery_probe(shard, server, now)
    }

    fn queued_time(&self, attempt_id: AttemptId) -> Duration {
        let counts = self.counts.borrow();
        let wait = counts.waits.get(&attempt_id).copied().flatten();
        wait.unwrap_or(Duration::MAX)
    }
}

impl Relay {
    /// Serves a query to its end, unless the relay is lost before.
    pub(crate) async fn serve(&self, query: &Query) -> Outcome {
        let mut is_lost = self.is_lost.subscribe();
        select! {
            biased;
            _ = is_lost.wait_for(|is_lost| *is_lost) => Outcome::Lost,
            outcome = self.admit_and_run(query) => outcome,
        }
    }

    async fn admit_and_run(&self, query: &Query) -> Outcome {
        let mut admission = pin!(self.door.acquire(&query.passer));
        let passed = match poll!(admission.as_mut()) {
            Poll::Ready(passed) => passed,
            Poll::Pending => {
                // A query that has to wait is a sign of load.
                self.group.on_wait(self.clock.now());
                admission.await
            }
        };
        let place = match passed {
            Ok(place) => place,
            Err(refusal) => return Outcome::Refused(refusal.kind),
        };
        let counts = RefCell::new(LeafCounts::default());
        let answer = self.drive(query, &counts).await;
        let counts = counts.into_inner();
        place.complete(&LeafStats::new(counts.latencies, counts.sheds));
        if answer.coverage.is_complete() {
            Outcome::Complete
        } else {
            Outcome::Short
        }
    }

    async fn drive(&self, query: &Query, counts: &RefCell<LeafCounts>) -> Answer<()> {
        let limits = Limits {
            deadline: query.passer.deadline,
            is_repeatable: true,
        };
        let pin = Pin::newest(&self.service).expect("the service has an index");
        let mut gather = Gather::new(query.request_id, pin, limits)
            .with_hedge(self.hedge)
            .with_service_state(Arc::clone(&self.group));
        let mut pick = InTurn {
            relay: self,
            counts,
        };
        let mut calls = FuturesUnordered::new();
        let mut handles: HashMap<AttemptId, AbortHandle> = HashMap::new();
        let mut actions = gather.start(&mut pick, self.clock.now());
        loop {
            for action in actions {
                match action {
                    Action::Call(call) => {
                        let (handle, registration) = AbortHandle::new_pair();
                        handles.insert(call.attempt_id, handle);
                        let call = self.make_call(call, query, counts);
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
            let wake = gather.next_wake().unwrap_or(query.passer.deadline);
            let event = self.next_event(&mut calls, wake).await;
            actions = gather.on_event(event, &mut pick, self.clock.now());
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
        counts: &RefCell<LeafCounts>,
    ) -> Event<()> {
        let began = self.clock.now();
        let is_first = call.cause == Cause::First;
        counts.borrow_mut().waits.insert(call.attempt_id, None);
        let on_turn = || {
            let wait = self.clock.now().saturating_duration_since(began);
            counts
                .borrow_mut()
                .waits
                .insert(call.attempt_id, Some(wait));
        };
        let result = self
            .call_server(call.server, is_first, &query.passer, on_turn)
            .await;
        let mut counts = counts.borrow_mut();
        match result {
            Ok(()) => {
                counts
                    .latencies
                    .push(self.clock.now().saturating_duration_since(began));
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
                counts.sheds += u32::from(reason == Reason::Shed);
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
        passer: &AdmissionRequest,
        on_turn: impl FnOnce(),
    ) -> Result<(), Reason> {
        let position = position_of(server);
        let pool = &self.pools[position];
        let place = match self.server_door(server) {
            None => None,
            Some(door) => {
                let passed = door.acquire(passer).await;
                Some(passed.map_err(|_| Reason::Deadline)?)
            }
        };
        on_turn();
        let mut guard = CallGuard::new(self, server);
        let connection = pool.checkout().await;
        let sent = self.clock.now();
        let result = pool.server.call(is_first).await;
        guard.on_result(result, sent);
        drop(connection);
        // Dropped, not completed: the calls of an admitted query are never
        // refused for an estimate, only when the deadline has passed.
        drop(place);
        result.map_err(|_| Reason::Shed)
    }
}
