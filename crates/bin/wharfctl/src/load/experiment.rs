//! Definition of an experiment: phases, each with a query rate for every rank.

use {
    anyhow::{bail, Context, Error, Result},
    clap::ArgMatches,
    record::{ByRank, Rank},
    serde::Deserialize,
    std::time::Duration,
};

/// Maximum total duration in milliseconds, so that the tool always stops by itself.
const MAX_TOTAL_MS: u64 = 3_600_000;
/// Maximum rate of one rank, in queries per second.
const MAX_RATE_PER_S: f64 = 100_000.0;

/// An experiment as read from a file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawExperiment {
    /// Seed of the arrival times.
    #[serde(default = "default_seed")]
    seed: u64,
    /// Phases, in the order in which they run.
    phases: Vec<RawPhase>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPhase {
    name: String,
    duration_ms: u64,
    #[serde(default)]
    urgent_per_s: f64,
    #[serde(default)]
    routine_per_s: f64,
    #[serde(default)]
    background_per_s: f64,
}

/// A validated experiment.
#[derive(Clone, Debug)]
pub(crate) struct Experiment {
    pub(crate) seed: u64,
    pub(crate) phases: Vec<Phase>,
}

/// One phase of an experiment.
#[derive(Clone, Debug)]
pub(crate) struct Phase {
    pub(crate) name: String,
    pub(crate) duration: Duration,
    pub(crate) rate_per_s: ByRank<f64>,
}

fn default_seed() -> u64 {
    1
}

impl RawExperiment {
    /// Parses an experiment file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the path of the invalid field.
    pub(crate) fn from_toml(text: &str) -> Result<Self> {
        let value = toml::Deserializer::parse(text)?;
        serde_path_to_error::deserialize(value)
            .map_err(|e| anyhow::anyhow!("{}: {}", e.path(), e.inner()))
    }

    /// Builds an experiment with one phase from flags.
    ///
    /// # Errors
    ///
    /// Returns an error if a flag is missing.
    pub(crate) fn one_phase(matches: &ArgMatches) -> Result<Self> {
        let rate = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or_default();
        let duration_ms = matches
            .get_one::<u64>("duration-ms")
            .copied()
            .context("--duration-ms")?;
        let seed = matches.get_one::<u64>("seed").copied().context("--seed")?;
        Ok(Self {
            seed,
            phases: vec![RawPhase {
                name: "load".to_owned(),
                duration_ms,
                urgent_per_s: rate("urgent-per-s"),
                routine_per_s: rate("routine-per-s"),
                background_per_s: rate("background-per-s"),
            }],
        })
    }
}

impl TryFrom<RawExperiment> for Experiment {
    type Error = Error;

    fn try_from(raw: RawExperiment) -> Result<Self> {
        if raw.phases.is_empty() {
            bail!("phases: at least one is required");
        }
        let mut total_ms = 0_u64;
        let mut phases = Vec::with_capacity(raw.phases.len());
        for (i, phase) in raw.phases.into_iter().enumerate() {
            total_ms = total_ms.saturating_add(phase.duration_ms);
            phases.push(phase.validate(&format!("phases[{i}]"))?);
        }
        if total_ms > MAX_TOTAL_MS {
            bail!("phases: the total of {total_ms} ms exceeds the maximum of {MAX_TOTAL_MS}");
        }
        Ok(Self {
            seed: raw.seed,
            phases,
        })
    }
}

impl RawPhase {
    fn validate(self, path: &str) -> Result<Phase> {
        if self.duration_ms == 0 {
            bail!("{path}.duration_ms: 0 is out of range, the minimum is 1");
        }
        let rate_per_s = ByRank::from_fn(|rank| match rank {
            Rank::Urgent => self.urgent_per_s,
            Rank::Routine => self.routine_per_s,
            Rank::Background => self.background_per_s,
        });
        for (rank, rate) in rate_per_s.iter() {
            if !(0.0..=MAX_RATE_PER_S).contains(rate) {
                bail!(
                    "{path}.{}_per_s: {rate} is out of range, it must be 0 to {MAX_RATE_PER_S}",
                    rank.as_str()
                );
            }
        }
        Ok(Phase {
            name: self.name,
            duration: Duration::from_millis(self.duration_ms),
            rate_per_s,
        })
    }
}
