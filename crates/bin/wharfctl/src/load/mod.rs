//! `wharfctl load`: an open-loop load generator.
//!
//! Queries are sent at the times of a seeded Poisson process, whether or not
//! earlier ones have been answered, and latency is measured from the planned time.
//! A slow system therefore cannot reduce the load and so hide its latency
//! (coordinated omission).

mod arrivals;
mod experiment;
mod plot;
mod report;
mod run;
mod tally;

use {
    crate::load::{
        experiment::{Experiment, RawExperiment},
        report::Report,
        run::{Runner, Target},
    },
    anyhow::{Context, Result},
    clap::ArgMatches,
    std::{fs, net::SocketAddr},
};

/// Runs the experiment, prints its report and writes the plot if `--svg` is given.
pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let experiment = read_experiment(matches)?;
    let target = Target {
        entries: matches
            .get_many::<SocketAddr>("entry")
            .into_iter()
            .flatten()
            .copied()
            .collect(),
        route: matches
            .get_one::<String>("route")
            .cloned()
            .context("route")?,
        body: matches.get_one::<String>("body").cloned().context("body")?,
        deadline_ms: matches.get_one::<u64>("deadline-ms").copied(),
        tenants: matches.get_one::<u32>("tenants").copied().unwrap_or(1),
    };
    let tallies = Runner::new(target, experiment.seed).run(&experiment).await;
    let report = Report::new(&experiment, &tallies);
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if let Some(file) = matches.get_one::<String>("svg") {
        plot::write_svg(file, &experiment, &tallies)
            .with_context(|| format!("{file} cannot be written"))?;
    }
    Ok(())
}

/// Reads the experiment from its file, or builds it from flags.
fn read_experiment(matches: &ArgMatches) -> Result<Experiment> {
    let raw = match matches.get_one::<String>("experiment") {
        Some(file) => {
            let text = fs::read_to_string(file).with_context(|| file.clone())?;
            RawExperiment::from_toml(&text).with_context(|| file.clone())?
        }
        None => RawExperiment::one_phase(matches)?,
    };
    Experiment::try_from(raw)
}
