//! Second calls to shards whose first call is slow.

use {
    crate::{
        gather::{Gather, Step, MAX_ATTEMPTS_PER_SHARD},
        Cause, Upstreams,
    },
    std::time::{Duration, Instant},
};

/// Shortest time after which a call counts as slow.
const MIN_DELAY: Duration = Duration::from_millis(1);

impl<R> Gather<R> {
    /// Notes when the call that starts now will count as slow.
    pub(crate) fn arm_hedge(&mut self, position: usize, now: Instant) {
        let at = self.hedge_delay().map(|delay| now + delay);
        self.works[position].hedge_at = at;
        self.next_hedge = [self.next_hedge, at].into_iter().flatten().min();
    }

    fn hedge_delay(&self) -> Option<Duration> {
        if !self.limits.is_repeatable || self.hedge.quantile <= 0.0 {
            return None;
        }
        let delay = self.group.quantile(self.hedge.quantile)?;
        Some(delay.max(MIN_DELAY))
    }

    /// Makes a second call to each shard whose one call is slow.
    pub(crate) fn hedge_slow_shards<U: Upstreams>(&mut self, step: &mut Step<'_, U, R>) {
        if self.next_hedge.is_none_or(|at| step.now < at) {
            return;
        }
        for position in 0..self.works.len() {
            if self.works[position].is_slow(step.now) {
                self.hedge_shard(position, step);
            }
        }
        self.next_hedge = self
            .works
            .iter()
            .filter(|work| work.is_waiting())
            .filter_map(|work| work.hedge_at)
            .filter(|at| *at > step.now)
            .min();
    }

    fn hedge_shard<U: Upstreams>(&mut self, position: usize, step: &mut Step<'_, U, R>) {
        if let Some(server) = self.hedge_server(position, step) {
            self.call(position, server, Cause::Hedge, step);
        } else {
            // The load may have fallen by then, or the budget grown.
            self.arm_hedge(position, step.now);
        }
    }

    fn hedge_server<U: Upstreams>(
        &self,
        position: usize,
        step: &mut Step<'_, U, R>,
    ) -> Option<record::ServerAddr> {
        let shard = &self.pin.index().shards[position];
        let work = &self.works[position];
        if work.tried.len() >= MAX_ATTEMPTS_PER_SHARD
            || self.group.is_overloaded(self.capacity, step.now)
            || !step.upstreams.may_hedge(shard, step.now)
        {
            return None;
        }
        let server = self.pick(position, step)?;
        let is_other = !work.tried.contains(&server);
        (is_other && self.group.take_hedge()).then_some(server)
    }
}
