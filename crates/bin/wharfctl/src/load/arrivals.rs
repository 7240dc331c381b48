//! Random arrival times of the queries of a phase.

use {
    crate::load::experiment::Phase,
    rand::{rngs::StdRng, Rng},
    record::Rank,
    std::time::Duration,
};

/// One query that a phase sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// Time from the start of the phase.
    pub(crate) at: Duration,
    /// Rank of the query.
    pub(crate) rank: Rank,
}

/// Draws the arrivals of a phase, sorted by time.
pub(crate) fn draw(phase: &Phase, rng: &mut StdRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (rank, rate_per_s) in phase.rate_per_s.iter() {
        draw_rank(rank, *rate_per_s, phase.duration, rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw_rank(
    rank: Rank,
    rate_per_s: f64,
    duration: Duration,
    rng: &mut StdRng,
    arrivals: &mut Vec<Arrival>,
) {
    if rate_per_s <= 0.0 {
        return;
    }
    let mut at_s = 0.0;
    loop {
        // The gaps of a Poisson process are exponentially distributed.
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_s -= uniform.ln() / rate_per_s;
        if at_s >= duration.as_secs_f64() {
            return;
        }
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at_s),
            rank,
        });
    }
}
