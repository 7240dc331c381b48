//! Counts and latencies of query outcomes, by rank.

use {
    hdrhistogram::Histogram,
    record::ByRank,
    std::{collections::BTreeMap, time::Duration},
};

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Highest latency in the histograms, in microseconds; higher ones are clamped.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Outcome of one query.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// The query was answered.
    Answered {
        /// Share of shards that the answer covers, from 0 to 1.
        coverage_share: f64,
    },
    /// The query was refused or failed.
    Refused {
        /// Kind of the problem.
        kind: String,
        /// Whether the request ran: `no`, `unknown` or `yes`.
        ran: String,
    },
}

/// Counts and latencies of one rank in one phase.
#[derive(Clone, Debug)]
pub(crate) struct RankTally {
    /// Number of queries sent.
    pub(crate) sent: u64,
    /// Number of queries answered.
    pub(crate) answered: u64,
    /// Number of answers that cover every shard.
    pub(crate) complete: u64,
    /// Sum of the covered shares of all answers.
    pub(crate) coverage_sum: f64,
    /// Refusals and failures, by kind and execution state.
    pub(crate) refused: BTreeMap<String, u64>,
    /// Latency of answers since the planned time of the query, in microseconds.
    pub(crate) latency_us: Histogram<u64>,
}

/// Tallies of one phase.
pub(crate) type PhaseTally = ByRank<RankTally>;

impl Default for RankTally {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            complete: 0,
            coverage_sum: 0.0,
            refused: BTreeMap::new(),
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| unreachable!("the bounds are constants in range")),
        }
    }
}

impl RankTally {
    /// Records the outcome of one query.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, latency: Duration) {
        self.sent += 1;
        match outcome {
            Outcome::Answered { coverage_share } => {
                self.answered += 1;
                self.complete += u64::from(coverage_share >= 1.0);
                self.coverage_sum += coverage_share;
                let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.latency_us.saturating_record(latency_us);
            }
            Outcome::Refused { kind, ran } => {
                *self
                    .refused
                    .entry(format!("{kind} (ran: {ran})"))
                    .or_default() += 1;
            }
        }
    }

    /// Returns the mean covered share of the answers, from 0 to 1.
    pub(crate) fn coverage_share(&self) -> f64 {
        self.coverage_sum / self.answered.max(1) as f64
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
