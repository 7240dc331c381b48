//! The gate of one service on one relay.

use {
    crate::{
        estimate::{DrainRate, ServiceTime},
        floor::Floors,
        line::Line,
        Action, Bounds, Config, Offer, Refusal, RefusalKind, Shown, Ticket, Window,
    },
    record::{ByRank, Rank, TenantId},
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

#[derive(Debug)]
struct Waiting {
    rank: Rank,
    tenant: TenantId,
    deadline: Instant,
}

#[derive(Debug)]
struct Running {
    rank: Rank,
    began: Instant,
}

/// Admits the queries of one service into a bounded window.
///
/// Each query is offered once and ends by one call of [`Gate::complete`] or
/// [`Gate::cancel`], unless the gate refuses it.
#[derive(Debug)]
pub struct Gate<W> {
    window: W,
    floors: Floors,
    max_waiting: usize,
    reserve_share: f64,
    lines: ByRank<Line>,
    waiting: HashMap<Ticket, Waiting>,
    deadlines: ByRank<BTreeSet<(Instant, Ticket)>>,
    running: HashMap<Ticket, Running>,
    // Kept by rank: upstreams serve the calls of higher ranks first.
    service_times: ByRank<ServiceTime>,
    drain_rates: ByRank<DrainRate>,
}

impl<W: Window> Gate<W> {
    /// Creates a gate with an empty window.
    pub fn new(config: Config, window: W) -> Self {
        Self {
            window,
            floors: Floors::new(config.floor_share),
            max_waiting: config.max_waiting,
            reserve_share: config.reserve_share,
            lines: ByRank::default(),
            waiting: HashMap::new(),
            deadlines: ByRank::default(),
            running: HashMap::new(),
            service_times: ByRank::default(),
            drain_rates: ByRank::default(),
        }
    }

    /// Replaces the floors, as when a record changes.
    pub fn set_floor_share(&mut self, floor_share: ByRank<f64>) {
        self.floors.set_share(floor_share);
    }

    /// Replaces the bounds of the window, as when the number of relays changes.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.window.set_bounds(bounds);
    }

    /// Takes a query that asks to be admitted.
    pub fn offer(&mut self, offer: Offer, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if offer.deadline <= now {
            actions.push(self.refuse(offer.ticket, offer.rank, RefusalKind::TooLate, now));
            return actions;
        }
        let is_full = self.lines.get(offer.rank).len() >= self.max_waiting;
        if is_full && !self.displace(&offer, now, &mut actions) {
            actions.push(self.refuse(offer.ticket, offer.rank, RefusalKind::Overloaded, now));
            return actions;
        }
        self.enqueue(offer);
        // Filled first: a query that finds room is tried whatever the estimate
        // says, so that an estimate from a bad time cannot last.
        self.fill(now, &mut actions);
        self.expire(now, &mut actions);
        actions
    }

    /// Takes the end of a running query and what the upstreams showed.
    pub fn complete(&mut self, ticket: Ticket, shown: &Shown, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let in_flight = self.running.len();
        if let Some(Running { rank, began }) = self.running.remove(&ticket) {
            self.service_times
                .get_mut(rank)
                .on_sample(now.saturating_duration_since(began));
            self.window.on_complete(shown, in_flight, now);
        }
        self.wake_into(now, &mut actions);
        actions
    }

    /// Takes the news that the caller of a query has gone away.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.running.remove(&ticket).is_none() {
            self.leave_line(ticket);
        }
        self.wake_into(now, &mut actions);
        actions
    }

    /// Refuses what can no longer meet its deadline and admits what has room.
    pub fn wake(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake_into(now, &mut actions);
        actions
    }

    /// Returns when the gate next needs [`Gate::wake`].
    pub fn next_wake(&self) -> Option<Instant> {
        let starts = Rank::ALL
            .into_iter()
            .filter_map(|rank| self.latest_start(rank));
        starts.min()
    }

    /// Returns the window for its owner to change.
    pub fn window_mut(&mut self) -> &mut W {
        &mut self.window
    }

    /// Returns the number of queries that may run at once.
    pub fn window(&self) -> usize {
        self.window.limit()
    }

    /// Returns the number of queries that are running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many would wait with one more; none where that one finds room.
    pub fn would_wait(&self) -> usize {
        let waiting: usize = self.lines.iter().map(|(_, line)| line.len()).sum();
        let room = self.window.limit().saturating_sub(self.running.len());
        (waiting + 1).saturating_sub(room)
    }

    /// Returns the number of queries of `rank` that are waiting.
    pub fn waiting(&self, rank: Rank) -> usize {
        self.lines.get(rank).len()
    }

    /// Returns the time that a query of `rank` rarely exceeds once it is running.
    pub fn service_time(&self, rank: Rank) -> Duration {
        self.service_times.get(rank).upper()
    }

    /// Returns when the first of `rank` that waits has to start.
    fn latest_start(&self, rank: Rank) -> Option<Instant> {
        let (deadline, _) = self.deadlines.get(rank).first()?;
        let latest_start = deadline.checked_sub(self.service_time(rank));
        Some(latest_start.unwrap_or(*deadline))
    }

    fn wake_into(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        self.fill(now, actions);
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for rank in Rank::ALL {
            while self.latest_start(rank).is_some_and(|latest| latest <= now) {
                let Some((_, ticket)) = self.deadlines.get(rank).first().copied() else {
                    break;
                };
                self.leave_line(ticket);
                actions.push(self.refuse(ticket, rank, RefusalKind::TooLate, now));
            }
        }
    }

    fn fill(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(rank) = self.floors.next(|rank| self.lines.get(rank).len() > 0) {
            if self.running.len() >= self.limit_for(rank) {
                return;
            }
            let Some(ticket) = self.lines.get_mut(rank).pop() else {
                return;
            };
            self.forget(ticket);
            self.floors.on_admit(rank);
            self.drain_rates.get_mut(rank).on_admit(now);
            self.running.insert(ticket, Running { rank, began: now });
            actions.push(Action::Admit(ticket));
        }
    }

    /// Returns how many queries may run for one of `rank` to be admitted.
    fn limit_for(&self, rank: Rank) -> usize {
        let limit = self.window.limit();
        // A floor needs the reserve only against urgent work that would take it.
        let is_urgent_waiting = self.lines.get(Rank::Urgent).len() > 0;
        if rank == Rank::Urgent || (self.floors.is_due(rank) && is_urgent_waiting) {
            return limit + (limit as f64 * self.reserve_share) as usize;
        }
        limit
    }

    /// Makes room by refusing a query of the tenant with the most waiting.
    fn displace(&mut self, offer: &Offer, now: Instant, actions: &mut Vec<Action>) -> bool {
        let line = self.lines.get_mut(offer.rank);
        let Some(ticket) = line.displace_for(&offer.tenant) else {
            return false;
        };
        self.forget(ticket);
        actions.push(self.refuse(ticket, offer.rank, RefusalKind::Overloaded, now));
        true
    }

    fn enqueue(&mut self, offer: Offer) {
        self.lines
            .get_mut(offer.rank)
            .push(&offer.tenant, offer.ticket);
        self.deadlines
            .get_mut(offer.rank)
            .insert((offer.deadline, offer.ticket));
        let waiting = Waiting {
            rank: offer.rank,
            tenant: offer.tenant,
            deadline: offer.deadline,
        };
        self.waiting.insert(offer.ticket, waiting);
    }

    fn leave_line(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.forget(ticket) {
            self.lines
                .get_mut(waiting.rank)
                .remove(&waiting.tenant, ticket);
        }
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.deadlines
            .get_mut(waiting.rank)
            .remove(&(waiting.deadline, ticket));
        Some(waiting)
    }

    fn refuse(&mut self, ticket: Ticket, rank: Rank, kind: RefusalKind, now: Instant) -> Action {
        let waiting = self.lines.get(rank).len();
        let retry_after = self.drain_rates.get_mut(rank).time_for(waiting, now);
        Action::Refuse(ticket, Refusal { kind, retry_after })
    }
}
