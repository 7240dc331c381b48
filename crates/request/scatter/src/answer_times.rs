//! How long before the target latency a query stops waiting for shards.
//!
//! Load: hosts with 0.08 to 0.5 cores, on which merging the parts and sending the
//! response take from one to some tens of milliseconds, for callers of which some
//! have used a part of their time for an attempt that was refused. A host sees a
//! request every few seconds, so that a few measurements have to suffice.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time for the request to arrive from the caller and the response to reach it, which
/// a host cannot measure, and for a timer that fires late.
const TRANSIT_TIME: Duration = Duration::from_millis(10);
/// Time from the end of the wait to the first response.
const INITIAL_ANSWER_TIME: Duration = Duration::from_millis(2);
/// Smallest margin. A host that is fast most of the time is paused for a moment now
/// and then, and an answer that is just late costs more than a last shard.
const MIN_MARGIN: Duration = Duration::from_millis(12);
/// Largest share of the target latency that is not used for waiting. Servers need the
/// rest, and shards that are left out cost callers more than an answer that is just late.
const MAX_MARGIN_SHARE: f64 = 0.1;
/// Duration of merging and sending the answer, in multiples of the time for preparing
/// the calls of the same query.
const PREPARATION_FACTOR: f64 = 3.0;
/// Weight of a measurement above the estimate, and of one below. The estimate is thus
/// rarely exceeded, and a single long measurement is forgotten after some requests.
const RISE_WEIGHT: f64 = 0.5;
const FALL_WEIGHT: f64 = 0.15;

/// Largest share of the target latency that a caller may have used for the rest to be
/// worth a hurried answer. Beyond it, the answer is late for that caller in any case.
const MAX_SPENT_SHARE: f64 = 0.5;
/// Differences of the callers' time limits up to this one have other causes than an
/// earlier attempt, such as the way to the host.
const SPENT_TOLERANCE: Duration = Duration::from_millis(10);
/// Weight of a time limit below the usual one. Of callers that give themselves less
/// time than the route does, most come with their whole time.
const USUAL_FALL_WEIGHT: f64 = 0.25;

/// Measured times of the answers of each route.
#[derive(Debug, Default)]
pub struct AnswerTimes(HashMap<Arc<str>, RouteTimes>);

#[derive(Debug, Default)]
struct RouteTimes {
    /// Estimate of the time from the end of the wait to the response; `None` before the
    /// first response.
    answer_time: Option<Duration>,
    /// Time left of a request that has not been tried before, if callers have told any.
    usual_time_left: Option<Duration>,
}

impl AnswerTimes {
    /// Returns how long before `target` a query of `route` stops waiting.
    ///
    /// `preparation` is the time that this host has taken to prepare the calls of the
    /// query, once that is known.
    pub fn margin(&self, route: &str, target: Duration, preparation: Option<Duration>) -> Duration {
        let known = self.answer_time(route).unwrap_or(INITIAL_ANSWER_TIME);
        let predicted = preparation.unwrap_or_default().mul_f64(PREPARATION_FACTOR);
        let answer_time = known.max(predicted);
        let max_margin = target.mul_f64(MAX_MARGIN_SHARE).max(MIN_MARGIN);
        (answer_time + TRANSIT_TIME).clamp(MIN_MARGIN, max_margin)
    }

    /// Returns the time that a response of `route` is estimated to take from the end of
    /// the wait, or `None` before its first response.
    pub fn answer_time(&self, route: &str) -> Option<Duration> {
        self.0.get(route)?.answer_time
    }

    /// Records the time from the end of a query's wait to its response.
    pub fn on_answered(&mut self, route: &Arc<str>, answer_time: Duration) {
        let known = &mut self.route(route).answer_time;
        *known = Some(match *known {
            None => answer_time,
            Some(known) if answer_time > known => average(known, answer_time, RISE_WEIGHT),
            Some(known) => average(known, answer_time, FALL_WEIGHT),
        });
    }

    /// Returns how much of the target latency a caller had used before this host read
    /// its request, and records its time limit.
    ///
    /// `time_left` is what the caller says that it still waits, and `time_limit` what
    /// the route grants. A caller that has been refused before has less time left than
    /// is usual on the route.
    pub fn time_spent(
        &mut self,
        route: &Arc<str>,
        time_left: Option<Duration>,
        time_limit: Duration,
        target: Duration,
    ) -> Duration {
        let Some(time_left) = time_left else {
            return Duration::ZERO;
        };
        let time_left = time_left.min(time_limit);
        let usual = &mut self.route(route).usual_time_left;
        let expected = usual.unwrap_or(time_left).min(time_limit);
        *usual = Some(if time_left >= expected {
            time_left
        } else {
            average(expected, time_left, USUAL_FALL_WEIGHT)
        });
        let spent = expected.saturating_sub(time_left);
        if spent <= SPENT_TOLERANCE || spent > target.mul_f64(MAX_SPENT_SHARE) {
            return Duration::ZERO;
        }
        spent
    }

    fn route(&mut self, route: &Arc<str>) -> &mut RouteTimes {
        self.0.entry(Arc::clone(route)).or_default()
    }
}

fn average(known: Duration, sample: Duration, weight: f64) -> Duration {
    known.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}
