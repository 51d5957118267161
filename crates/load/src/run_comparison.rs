use {
    crate::{LatencySummary, LoadReport},
    plotters::prelude::*,
    std::{collections::BTreeMap, fmt::Write, path::Path},
};

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 480);
/// Margin around a plot in pixels.
const PLOT_MARGIN: u32 = 16;
/// Size of the area for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 56;

/// Reports of runs, grouped by workload and case.
///
/// ```
/// let mut comparison = load::RunComparison::new();
/// comparison.add(load::LoadReport::default());
/// assert!(comparison.to_text().contains("attainment"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RunComparison {
    cases: BTreeMap<String, Vec<LoadReport>>,
}

/// A row of the table: its label, and the function that reads its value from a report.
type TableRow = (&'static str, fn(&LoadReport) -> f64);

/// Rows of the table of each case.
const TABLE_ROWS: [TableRow; 9] = [
    ("attainment %", |report| report.total.attainment * 100.0),
    ("latency p50 ms", |report| report.total.latency.p50_ms),
    ("latency p95 ms", |report| report.total.latency.p95_ms),
    ("latency p99 ms", |report| report.total.latency.p99_ms),
    ("first token p95 ms", |report| {
        report.total.first_token.p95_ms
    }),
    ("token gap p95 ms", |report| report.total.token_gap.p95_ms),
    ("target seconds", |report| {
        report.stages.values().map(|cost| cost.seconds).sum()
    }),
    ("wasted seconds", |report| {
        report.stages.values().map(|cost| cost.wasted_seconds).sum()
    }),
    ("faults", |report| report.faults.total() as f64),
];

impl RunComparison {
    /// Creates a comparison without runs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a run to the group of its workload and case.
    pub fn add(&mut self, report: LoadReport) {
        let case = format!("{} {}", report.workload, report.case);
        self.cases.entry(case).or_default().push(report);
    }

    /// Renders a table with the median and range over the runs of each case.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (case, reports) in &self.cases {
            let _ = writeln!(text, "{case} ({} runs)", reports.len());
            for (name, value_of) in TABLE_ROWS {
                let spread = ValueSpread::from_values(reports.iter().map(value_of));
                let _ = writeln!(
                    text,
                    "  {name:<22}{:>10.2}  [{:.2} .. {:.2}]",
                    spread.median, spread.min, spread.max
                );
            }
            text.push('\n');
        }
        text
    }

    /// Plots the attainment of each case as an SVG: a bar for the median and a line for the range.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn plot_attainment(&self, path: &Path) -> anyhow::Result<()> {
        let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let names: Vec<&String> = self.cases.keys().collect();
        let count = names.len().max(1);
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "attainment by case, % (median and range)",
                ("sans-serif", 18),
            )
            .margin(PLOT_MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..count as f64, 0.0..100.0)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(count * 2 + 1)
            .x_label_formatter(&|x| case_label(&names, *x))
            .draw()?;
        for (index, reports) in self.cases.values().enumerate() {
            let shares = reports.iter().map(|report| report.total.attainment * 100.0);
            let spread = ValueSpread::from_values(shares);
            let left = index as f64;
            let bar = [(left + 0.2, 0.0), (left + 0.8, spread.median)];
            let range = vec![(left + 0.5, spread.min), (left + 0.5, spread.max)];
            chart.draw_series([Rectangle::new(bar, BLUE.mix(0.5).filled())])?;
            chart.draw_series([PathElement::new(range, BLACK)])?;
        }
        root.present()?;
        Ok(())
    }

    /// Plots the latency percentiles of each case, as medians over its runs, as an SVG.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn plot_latency(&self, path: &Path) -> anyhow::Result<()> {
        let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let lines = self.cases.values().map(|reports| latency_line(reports));
        let lines: Vec<Vec<(f64, f64)>> = lines.collect();
        let points = lines.iter().flatten().map(|(_, millis)| *millis);
        let top = points.fold(1.0_f64, f64::max) * 1.1;
        let steps = LATENCY_POINTS.len();
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "latency of whole answers by percentile, ms",
                ("sans-serif", 18),
            )
            .margin(PLOT_MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..(steps - 1) as f64, 0.0..top)?;
        chart
            .configure_mesh()
            .x_labels(steps)
            .x_label_formatter(&|x| percentile_label(*x))
            .draw()?;
        for (index, (case, line)) in self.cases.keys().zip(lines).enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let series = chart.draw_series(LineSeries::new(line, color))?;
            let legend = series.label(case);
            legend.legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .position(SeriesLabelPosition::UpperLeft)
            .draw()?;
        root.present()?;
        Ok(())
    }
}

/// A percentile: its label, and the function that reads it from a summary.
type LatencyPoint = (&'static str, fn(&LatencySummary) -> f64);

/// Percentiles of the latency plot from left to right.
const LATENCY_POINTS: [LatencyPoint; 5] = [
    ("p50", |summary| summary.p50_ms),
    ("p90", |summary| summary.p90_ms),
    ("p95", |summary| summary.p95_ms),
    ("p99", |summary| summary.p99_ms),
    ("p99.9", |summary| summary.p999_ms),
];

fn latency_line(reports: &[LoadReport]) -> Vec<(f64, f64)> {
    let point = |(index, (_, value_of)): (usize, &LatencyPoint)| {
        let values = reports.iter().map(|report| value_of(&report.total.latency));
        (index as f64, ValueSpread::from_values(values).median)
    };
    LATENCY_POINTS.iter().enumerate().map(point).collect()
}

/// Returns the case's name at the middle of its bar, and an empty label elsewhere.
fn case_label(names: &[&String], x: f64) -> String {
    let middle = (x.fract() - 0.5).abs() < 0.01;
    let name = names.get(x as usize).filter(|_| middle);
    name.map(|name| name.to_string()).unwrap_or_default()
}

fn percentile_label(x: f64) -> String {
    let point = LATENCY_POINTS.get(x.round() as usize);
    point
        .map(|(label, _)| label.to_string())
        .unwrap_or_default()
}

/// Minimum, median and maximum of some values; all zero if there are none.
struct ValueSpread {
    min: f64,
    median: f64,
    max: f64,
}

impl ValueSpread {
    fn from_values(values: impl Iterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.collect();
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
        let last = values.len().saturating_sub(1);
        Self {
            min: at(0),
            median: (at(last / 2) + at(last.div_ceil(2))) / 2.0,
            max: at(last),
        }
    }
}
