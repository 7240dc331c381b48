//! Hedging: further calls to shards whose open call is slow.

use {
    crate::{
        gather::{Context, Gather, MAX_ATTEMPTS_PER_SHARD},
        Cause, Upstreams,
    },
    std::time::{Duration, Instant},
};

/// Minimum age at which a call is slow.
const MIN_DELAY: Duration = Duration::from_millis(1);

impl<R> Gather<R> {
    /// Sets the time at which a call to the shard that starts now becomes slow.
    pub(crate) fn schedule_hedge(&mut self, position: usize, now: Instant) {
        let at = self.hedge_delay().map(|delay| now + delay);
        self.tasks[position].hedge_at = at;
        self.next_hedge = [self.next_hedge, at].into_iter().flatten().min();
    }

    fn hedge_delay(&self) -> Option<Duration> {
        if !self.limits.is_repeatable || self.hedge.quantile <= 0.0 {
            return None;
        }
        let delay = self.service_state.quantile(self.hedge.quantile)?;
        Some(delay.max(MIN_DELAY))
    }

    /// Makes another call to each shard whose only open call is slow.
    pub(crate) fn hedge_slow_shards<U: Upstreams>(&mut self, context: &mut Context<'_, U, R>) {
        if self.next_hedge.is_none_or(|at| context.now < at) {
            return;
        }
        for position in 0..self.tasks.len() {
            if self.tasks[position].is_slow(context.now) {
                self.hedge_shard(position, context);
            }
        }
        self.next_hedge = self
            .tasks
            .iter()
            .filter(|task| task.is_waiting())
            .filter_map(|task| task.hedge_at)
            .filter(|at| *at > context.now)
            .min();
    }

    fn hedge_shard<U: Upstreams>(&mut self, position: usize, context: &mut Context<'_, U, R>) {
        if let Some(server) = self.hedge_server(position, context) {
            self.call(position, server, Cause::Hedge, context);
        } else {
            // Tries again later, when the load may have dropped or the budget grown.
            self.schedule_hedge(position, context.now);
        }
    }

    fn hedge_server<U: Upstreams>(
        &self,
        position: usize,
        context: &mut Context<'_, U, R>,
    ) -> Option<record::ServerAddr> {
        let shard = &self.pin.index().shards[position];
        let task = &self.tasks[position];
        if task.tried.len() >= MAX_ATTEMPTS_PER_SHARD
            || self.service_state.is_overloaded(self.capacity, context.now)
            || !context.upstreams.may_hedge(shard, context.now)
        {
            return None;
        }
        let server = self.pick(position, context)?;
        let is_untried = !task.tried.contains(&server);
        (is_untried && self.service_state.take_hedge()).then_some(server)
    }
}
