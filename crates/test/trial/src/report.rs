//! Results of a trial.

use {
    crate::{query::Outcome, server::Server, trial::Trial},
    admit::RefusalKind,
    hdrhistogram::Histogram,
    record::{ByRank, Rank},
    std::{fmt, rc::Rc, time::Duration},
};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Running totals of a trial.
#[derive(Default)]
pub(crate) struct Tally {
    ranks: ByRank<RankTally>,
}

#[derive(Clone)]
struct RankTally {
    latency_us: Histogram<u64>,
    counts: RankCounts,
}

/// Number of queries of one rank by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct RankCounts {
    complete: u64,
    short: u64,
    overloaded: u64,
    too_late: u64,
    lost: u64,
    retried: u64,
    completed_in_time: u64,
}

impl Default for RankTally {
    fn default() -> Self {
        Self {
            latency_us: Histogram::new(DIGITS).expect("a valid number of digits"),
            counts: RankCounts::default(),
        }
    }
}

impl Tally {
    /// Counts the end of a query that arrived in the measured time.
    pub(crate) fn record_end(
        &mut self,
        rank: Rank,
        outcome: Outcome,
        latency: Duration,
        is_retried: bool,
    ) {
        let tally = self.ranks.get_mut(rank);
        tally.counts.retried += u64::from(is_retried);
        let count = match outcome {
            Outcome::Complete => {
                // The histogram grows with its values, so recording cannot fail.
                let _ = tally.latency_us.record(latency.as_micros() as u64);
                &mut tally.counts.complete
            }
            Outcome::Short => &mut tally.counts.short,
            Outcome::Refused(RefusalKind::Overloaded) => &mut tally.counts.overloaded,
            Outcome::Refused(RefusalKind::TooLate) => &mut tally.counts.too_late,
            Outcome::Lost => &mut tally.counts.lost,
        };
        *count += 1;
    }

    /// Counts a query that was completed in the measured time.
    pub(crate) fn record_completed(&mut self, rank: Rank) {
        self.ranks.get_mut(rank).counts.completed_in_time += 1;
    }
}

/// Results of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankReport {
    /// Queries that arrived in the measured time.
    pub offered: u64,
    /// Share of the offered queries that was answered in full.
    pub answered_share: f64,
    /// Median latency of the queries answered in full, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the queries answered in full, in milliseconds.
    pub p99_ms: f64,
    /// Queries answered with shards missing.
    pub short: u64,
    /// Queries refused because the queue was full.
    pub overloaded: u64,
    /// Queries refused because too little time was left before their deadline.
    pub too_late: u64,
    /// Queries that failed because relays were lost.
    pub lost: u64,
    /// Queries sent to a second relay.
    pub retried: u64,
    /// Queries completed in the measured time, as a share of the capacity.
    pub completed_share: f64,
}

/// Results of a trial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// By rank, the most urgent first.
    pub ranks: ByRank<RankReport>,
    /// Queries completed in the measured time, as a share of the capacity.
    pub throughput_share: f64,
    /// Share of the leaf calls that upstreams refused.
    pub shed_share: f64,
    /// Leaf calls beyond the first for each shard of a query, over these first calls.
    pub extra_call_share: f64,
    /// Final window of each relay.
    pub windows: Vec<usize>,
}

impl Report {
    pub(crate) fn new(
        trial: &Trial,
        tally: &Tally,
        windows: &[usize],
        servers: &[Rc<Server>],
    ) -> Self {
        let capacity = trial.service.capacity_per_s() * trial.duration.as_secs_f64();
        let ranks = ByRank::from_fn(|rank| RankReport::new(tally.ranks.get(rank), capacity));
        let calls: u64 = servers.iter().map(|server| server.calls.get()).sum();
        let sheds: u64 = servers.iter().map(|server| server.sheds.get()).sum();
        let first_calls: u64 = servers.iter().map(|server| server.first_calls.get()).sum();
        Self {
            throughput_share: ranks.iter().map(|(_, rank)| rank.completed_share).sum(),
            ranks,
            shed_share: sheds as f64 / calls.max(1) as f64,
            extra_call_share: (calls - first_calls) as f64 / first_calls.max(1) as f64,
            windows: windows.to_vec(),
        }
    }
}

impl RankReport {
    fn new(tally: &RankTally, capacity: f64) -> Self {
        let counts = tally.counts;
        let offered =
            counts.complete + counts.short + counts.overloaded + counts.too_late + counts.lost;
        let ms = |quantile| tally.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            offered,
            answered_share: counts.complete as f64 / offered.max(1) as f64,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            short: counts.short,
            overloaded: counts.overloaded,
            too_late: counts.too_late,
            lost: counts.lost,
            retried: counts.retried,
            completed_share: counts.completed_in_time as f64 / capacity,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<11}{:>8}{:>10}{:>9}{:>9}{:>7}{:>11}{:>9}{:>6}{:>8}{:>8}",
            "rank",
            "offered",
            "answered",
            "p50 ms",
            "p99 ms",
            "short",
            "overloaded",
            "too late",
            "lost",
            "retried",
            "work"
        )?;
        for (rank, report) in self.ranks.iter() {
            writeln!(
                f,
                "{:<11}{:>8}{:>9.2}%{:>9.1}{:>9.1}{:>7}{:>11}{:>9}{:>6}{:>8}{:>7.1}%",
                rank.as_str(),
                report.offered,
                report.answered_share * 100.0,
                report.p50_ms,
                report.p99_ms,
                report.short,
                report.overloaded,
                report.too_late,
                report.lost,
                report.retried,
                report.completed_share * 100.0
            )?;
        }
        write!(
            f,
            "work {:.1}% of capacity, sheds {:.3}%, extra leaf calls {:.2}%, windows {:?}",
            self.throughput_share * 100.0,
            self.shed_share * 100.0,
            self.extra_call_share * 100.0,
            self.windows
        )
    }
}
