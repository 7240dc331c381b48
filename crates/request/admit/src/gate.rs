//! Admission control of one service on one relay.

use {
    crate::{
        estimate::{DrainRate, ServiceTime},
        floor::Floors,
        queue::RankQueue,
        Action, Bounds, Config, LeafStats, Offer, Refusal, RefusalKind, Ticket, WindowControl,
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
    start: Instant,
}

/// Limits how many queries of one service run at once.
///
/// Each query is offered once. Unless the gate refuses it, it ends with one
/// call of [`Gate::complete`] or [`Gate::cancel`].
#[derive(Debug)]
pub struct Gate<W> {
    window: W,
    floors: Floors,
    max_waiting: usize,
    reserve_share: f64,
    queues: ByRank<RankQueue>,
    waiting: HashMap<Ticket, Waiting>,
    deadlines: ByRank<BTreeSet<(Instant, Ticket)>>,
    running: HashMap<Ticket, Running>,
    // Kept per rank, because upstreams serve the calls of higher ranks first.
    service_times: ByRank<ServiceTime>,
    drain_rates: ByRank<DrainRate>,
}

impl<W: WindowControl> Gate<W> {
    /// Creates a gate without any queries.
    pub fn new(config: Config, window: W) -> Self {
        Self {
            window,
            floors: Floors::new(config.floor_share),
            max_waiting: config.max_waiting,
            reserve_share: config.reserve_share,
            queues: ByRank::default(),
            waiting: HashMap::new(),
            deadlines: ByRank::default(),
            running: HashMap::new(),
            service_times: ByRank::default(),
            drain_rates: ByRank::default(),
        }
    }

    /// Replaces the floors, for example when a record changes.
    pub fn set_floor_share(&mut self, floor_share: ByRank<f64>) {
        self.floors.set_share(floor_share);
    }

    /// Replaces the bounds of the window, for example when the number of relays changes.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.window.set_bounds(bounds);
    }

    /// Admits, queues or refuses a query.
    ///
    /// The actions may concern other queries too, such as those whose deadline
    /// can no longer be met or one that makes room in a full queue.
    pub fn offer(&mut self, offer: Offer, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if offer.deadline <= now {
            actions.push(self.refuse(offer.ticket, offer.rank, RefusalKind::TooLate, now));
            return actions;
        }
        let is_full = self.queues.get(offer.rank).len() >= self.max_waiting;
        if is_full && !self.evict(&offer, now, &mut actions) {
            actions.push(self.refuse(offer.ticket, offer.rank, RefusalKind::Overloaded, now));
            return actions;
        }
        self.enqueue(offer);
        // Filling comes before expiry: a query that finds a free slot runs even
        // if the estimated service time exceeds its deadline. Otherwise a high
        // estimate would prevent the samples that correct it.
        self.fill(now, &mut actions);
        self.expire(now, &mut actions);
        actions
    }

    /// Records the end of a running query and the statistics of its leaf calls.
    pub fn complete(&mut self, ticket: Ticket, stats: &LeafStats, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let in_flight = self.running.len();
        if let Some(Running { rank, start }) = self.running.remove(&ticket) {
            self.service_times
                .get_mut(rank)
                .add(now.saturating_duration_since(start));
            self.window.on_complete(stats, in_flight, now);
        }
        self.expire_and_fill(now, &mut actions);
        actions
    }

    /// Removes a query whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.running.remove(&ticket).is_none() {
            self.dequeue(ticket);
        }
        self.expire_and_fill(now, &mut actions);
        actions
    }

    /// Refuses queries that can no longer meet their deadline, and admits others into free slots.
    pub fn wake(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire_and_fill(now, &mut actions);
        actions
    }

    /// Returns the time at which [`Gate::wake`] must next be called.
    pub fn next_wake(&self) -> Option<Instant> {
        let latest_starts = Rank::ALL
            .into_iter()
            .filter_map(|rank| self.latest_start(rank));
        latest_starts.min()
    }

    /// Returns the window for modification.
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

    /// Returns how many queries would wait if one more were offered,
    /// or zero if there is a free slot for that one.
    pub fn queue_len_after_offer(&self) -> usize {
        let waiting: usize = self.queues.iter().map(|(_, queue)| queue.len()).sum();
        let free_slots = self.window.limit().saturating_sub(self.running.len());
        (waiting + 1).saturating_sub(free_slots)
    }

    /// Returns the number of queries of `rank` that are waiting.
    pub fn waiting(&self, rank: Rank) -> usize {
        self.queues.get(rank).len()
    }

    /// Returns a running time that queries of `rank` rarely exceed.
    pub fn service_time(&self, rank: Rank) -> Duration {
        self.service_times.get(rank).upper_bound()
    }

    /// Returns the latest time at which the waiting query of `rank` with the
    /// earliest deadline must start.
    fn latest_start(&self, rank: Rank) -> Option<Instant> {
        let (deadline, _) = self.deadlines.get(rank).first()?;
        let latest_start = deadline.checked_sub(self.service_time(rank));
        Some(latest_start.unwrap_or(*deadline))
    }

    fn expire_and_fill(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        self.fill(now, actions);
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for rank in Rank::ALL {
            while self.latest_start(rank).is_some_and(|latest| latest <= now) {
                let Some((_, ticket)) = self.deadlines.get(rank).first().copied() else {
                    break;
                };
                self.dequeue(ticket);
                actions.push(self.refuse(ticket, rank, RefusalKind::TooLate, now));
            }
        }
    }

    fn fill(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(rank) = self.floors.next(|rank| self.queues.get(rank).len() > 0) {
            if self.running.len() >= self.limit_of(rank) {
                return;
            }
            let Some(ticket) = self.queues.get_mut(rank).pop() else {
                return;
            };
            self.remove_waiting(ticket);
            self.floors.on_admit(rank);
            self.drain_rates.get_mut(rank).on_admit(now);
            self.running.insert(ticket, Running { rank, start: now });
            actions.push(Action::Admit(ticket));
        }
    }

    /// Returns the limit on running queries for an admission of `rank`.
    fn limit_of(&self, rank: Rank) -> usize {
        let limit = self.window.limit();
        // A floor uses the reserve only while urgent queries compete for it.
        let is_urgent_waiting = self.queues.get(Rank::Urgent).len() > 0;
        if rank == Rank::Urgent || (self.floors.has_credit(rank) && is_urgent_waiting) {
            return limit + (limit as f64 * self.reserve_share) as usize;
        }
        limit
    }

    /// Makes room in a full queue by refusing a query of the tenant with the most waiting.
    fn evict(&mut self, offer: &Offer, now: Instant, actions: &mut Vec<Action>) -> bool {
        let queue = self.queues.get_mut(offer.rank);
        let Some(ticket) = queue.evict_for(&offer.tenant) else {
            return false;
        };
        self.remove_waiting(ticket);
        actions.push(self.refuse(ticket, offer.rank, RefusalKind::Overloaded, now));
        true
    }

    fn enqueue(&mut self, offer: Offer) {
        self.queues
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

    fn dequeue(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.remove_waiting(ticket) {
            self.queues
                .get_mut(waiting.rank)
                .remove(&waiting.tenant, ticket);
        }
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.deadlines
            .get_mut(waiting.rank)
            .remove(&(waiting.deadline, ticket));
        Some(waiting)
    }

    fn refuse(&mut self, ticket: Ticket, rank: Rank, kind: RefusalKind, now: Instant) -> Action {
        let waiting = self.queues.get(rank).len();
        let retry_after = self.drain_rates.get_mut(rank).time_to_drain(waiting, now);
        Action::Refuse(ticket, Refusal { kind, retry_after })
    }
}
