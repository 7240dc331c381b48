//! Prints the effect and cost of hedges and retries in a simulation.

#[path = "../tests/sim/mod.rs"]
mod sim;

use {
    record::Hedge,
    sim::{extra_share, run, Setup},
    std::time::Duration,
};

const SEED: u64 = 5;
const OFF: Hedge = Hedge {
    quantile: 0.0,
    budget_share: 0.0,
};
const ON: Hedge = Hedge {
    quantile: 0.95,
    budget_share: 0.05,
};

fn main() {
    println!("| load | servers | hedges | p50 ms | p99 ms | p99.9 ms | extra calls | refused | incomplete |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load_share in [0.2, 0.3, 0.4, 3.0, 10.0] {
        for slow_every in [0, 10] {
            for hedge in [OFF, ON] {
                print_row(Setup {
                    load_share,
                    duration: Duration::from_secs(if load_share > 1.0 { 10 } else { 60 }),
                    slow_every,
                    slow_factor: 10.0,
                    is_outage: false,
                    hedge,
                });
            }
        }
    }
    let outage = run(
        Setup {
            load_share: 0.3,
            duration: Duration::from_secs(60),
            slow_every: 0,
            slow_factor: 1.0,
            is_outage: true,
            hedge: ON,
        },
        SEED,
    );
    let extra = extra_share(&outage.outage_calls) * 100.0;
    println!(
        "\nfull outage for 30 s: extra calls {extra:.2}% of {}",
        outage.outage_calls[0]
    );
}

fn print_row(setup: Setup) {
    let report = run(setup, SEED);
    println!(
        "| {:.0}% | {} | {} | {:.1} | {:.1} | {:.1} | {:.2}% | {} | {} |",
        setup.load_share * 100.0,
        if setup.slow_every == 0 {
            "alike"
        } else {
            "one in ten slow"
        },
        if setup.hedge == OFF { "off" } else { "on" },
        report.quantile_ms(0.5),
        report.quantile_ms(0.99),
        report.quantile_ms(0.999),
        extra_share(&report.calls) * 100.0,
        report.refused,
        report.incomplete,
    );
}
