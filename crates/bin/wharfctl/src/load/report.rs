//! The report of an experiment, as a text table and as JSON.

use {
    crate::load::{
        experiment::{Experiment, Phase},
        tally::{PhaseTally, RankTally},
    },
    record::Rank,
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
};

/// The report of an experiment.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    seed: u64,
    rows: Vec<Row>,
}

/// Results of one rank in one phase.
#[derive(Debug, Serialize)]
struct Row {
    phase: String,
    rank: Rank,
    sent: u64,
    sent_per_s: f64,
    answered_share: f64,
    complete_share: f64,
    coverage_share: f64,
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    max_ms: f64,
    refused: BTreeMap<String, u64>,
}

impl Report {
    /// Builds the report from the tallies of the phases.
    pub(crate) fn new(experiment: &Experiment, tallies: &[PhaseTally]) -> Self {
        let rows = experiment
            .phases
            .iter()
            .zip(tallies)
            .flat_map(|(phase, tally)| {
                tally
                    .iter()
                    .filter(|(_, tally)| tally.sent > 0)
                    .map(|(rank, tally)| Row::new(phase, rank, tally))
            })
            .collect();
        Self {
            seed: experiment.seed,
            rows,
        }
    }
}

impl Row {
    fn new(phase: &Phase, rank: Rank, tally: &RankTally) -> Self {
        let share = |count: u64| count as f64 / tally.sent.max(1) as f64;
        Self {
            phase: phase.name.clone(),
            rank,
            sent: tally.sent,
            sent_per_s: tally.sent as f64 / phase.duration.as_secs_f64(),
            answered_share: share(tally.answered),
            complete_share: share(tally.complete),
            coverage_share: tally.coverage_share(),
            p50_ms: tally.latency_ms(0.5),
            p90_ms: tally.latency_ms(0.9),
            p99_ms: tally.latency_ms(0.99),
            max_ms: tally.latency_ms(1.0),
            refused: tally.refused.clone(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(
            f,
            "{:<12} {:<10} {:>8} {:>8} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8}",
            "phase",
            "rank",
            "sent",
            "per s",
            "answered",
            "complete",
            "coverage",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "max ms"
        )?;
        for row in &self.rows {
            row.fmt(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:<10} {:>8} {:>8.1} {:>8.2}% {:>8.2}% {:>8.2}% {:>8.1} {:>8.1} {:>8.1} {:>8.1}",
            self.phase,
            self.rank.as_str(),
            self.sent,
            self.sent_per_s,
            self.answered_share * 100.0,
            self.complete_share * 100.0,
            self.coverage_share * 100.0,
            self.p50_ms,
            self.p90_ms,
            self.p99_ms,
            self.max_ms
        )?;
        for (kind, count) in &self.refused {
            writeln!(f, "{:<12} {:<10} {count:>8} refused: {kind}", "", "")?;
        }
        Ok(())
    }
}
