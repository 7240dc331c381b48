//! SVG plot of latency by quantile, with one line per rank and phase.

use {
    crate::load::{experiment::Experiment, tally::PhaseTally},
    anyhow::{anyhow, Result},
    plotters::prelude::{
        ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
        SVGBackend, BLACK, WHITE,
    },
};

const SIZE_PX: (u32, u32) = (960, 540);
const MARGIN_PX: u32 = 16;
const LABEL_SIZE_PX: u32 = 48;
const FONT: (&str, u32) = ("sans-serif", 16);
/// Number of segments of each line.
const SEGMENTS: u32 = 200;
/// Highest quantile drawn, as a number of nines: 3 is the 99.9th percentile.
const MAX_NINES: f64 = 3.0;

/// Writes the plot to a file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub(crate) fn write_svg(file: &str, experiment: &Experiment, tallies: &[PhaseTally]) -> Result<()> {
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let max_ms = tallies
        .iter()
        .flat_map(|tally| tally.iter().map(|(_, t)| t.latency_ms(1.0)))
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Latency by quantile", FONT)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_SIZE_PX)
        .y_label_area_size(LABEL_SIZE_PX)
        .build_cartesian_2d(0.0..MAX_NINES, 0.0..max_ms * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("quantile (90 %, 99 %, 99.9 % at 1, 2, 3)")
        .y_desc("latency, ms")
        .draw()?;
    let mut line_index = 0;
    for (phase, tally) in experiment.phases.iter().zip(tallies) {
        for (rank, tally) in tally.iter().filter(|(_, tally)| tally.answered > 0) {
            let color = Palette99::pick(line_index).mix(1.0);
            let points = (0..=SEGMENTS).map(|step| {
                let nines = MAX_NINES * f64::from(step) / f64::from(SEGMENTS);
                (nines, tally.latency_ms(1.0 - 10.0_f64.powf(-nines)))
            });
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(format!("{} {}", phase.name, rank.as_str()))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
            line_index += 1;
        }
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present().map_err(|e| anyhow!("{e}"))
}
