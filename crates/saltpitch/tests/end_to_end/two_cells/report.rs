//! Writes a report in HTML on two runs of the same load, with and without delegation.

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend, BLACK, BLUE, RED,
    WHITE,
};

use super::load::LoadOutcome;

/// The width and the height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (860, 320);

/// A line of a plot: its label, its color and its points.
type Line = (&'static str, RGBColor, Vec<(f64, f64)>);

/// Writes the report on both runs to `path`.
pub fn write(
    path: &std::path::Path,
    with_delegation: &LoadOutcome,
    without_delegation: &LoadOutcome,
) -> std::io::Result<()> {
    let series = |value: &dyn Fn(&super::load::Sample) -> f64| -> Vec<(f64, f64)> {
        let points = with_delegation.samples.iter();
        points
            .map(|sample| (sample.elapsed_s, value(sample)))
            .collect()
    };
    let plots = [
        plot(
            "Jobs delegated and returned (the link is cut in the middle third)",
            "seconds",
            vec![
                (
                    "delegated to the host",
                    BLUE,
                    series(&|sample| sample.delegated as f64),
                ),
                (
                    "returned by the host",
                    RED,
                    series(&|sample| sample.returned as f64),
                ),
            ],
        ),
        plot(
            "Requests on the links, cumulative",
            "seconds",
            vec![("requests", BLUE, series(&|sample| sample.requests as f64))],
        ),
        plot(
            "Jobs at the origin: share that started within the given time",
            "seconds waited",
            vec![
                (
                    "with delegation",
                    BLUE,
                    cumulative_shares(&with_delegation.job_waits_s),
                ),
                (
                    "without delegation",
                    RED,
                    cumulative_shares(&without_delegation.job_waits_s),
                ),
            ],
        ),
        plot(
            "Services at the host: share that started within the given time",
            "seconds waited",
            vec![
                (
                    "with delegated jobs",
                    BLUE,
                    cumulative_shares(&with_delegation.service_waits_s),
                ),
                (
                    "without delegated jobs",
                    RED,
                    cumulative_shares(&without_delegation.service_waits_s),
                ),
            ],
        ),
    ];
    let rows = [
        ("with delegation", with_delegation),
        ("without delegation", without_delegation),
    ]
    .map(|(name, run)| table_row(name, run));
    let page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>Two cells</title>\n\
         <h1>Two cells, one of which delegates to the other</h1>\n\
         <p>Each cell has three real controllers on loopback; machines, store, cloud and users are stand-ins.</p>\n\
         <table border=\"1\" cellpadding=\"4\">{TABLE_HEADER}{}</table>\n{}\n",
        rows.join(""),
        plots.join("\n")
    );
    std::fs::write(path, page)
}

/// The header row of the table of runs.
const TABLE_HEADER: &str =
    "<tr><th>run</th><th>jobs</th><th>done</th><th>tasks completed more than once</th>\
    <th>job waits: median, 90%, maximum (s)</th><th>service waits: median, 90%, maximum (s)</th>\
    <th>requests</th></tr>";

/// Returns the table row of one run.
fn table_row(name: &str, run: &LoadOutcome) -> String {
    let requests = run.samples.last().map_or(0, |sample| sample.requests);
    format!(
        "<tr><td>{name}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{requests}</td></tr>",
        run.jobs_submitted,
        run.jobs_done,
        run.repeated_tasks,
        summarize_waits(&run.job_waits_s),
        summarize_waits(&run.service_waits_s)
    )
}

/// Formats the median, the 90th percentile and the maximum of waiting times in seconds.
pub fn summarize_waits(waits_s: &[f64]) -> String {
    let mut sorted = waits_s.to_vec();
    sorted.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let index = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
        sorted.get(index).copied().unwrap_or_default()
    };
    format!(
        "{:.1}, {:.1}, {:.1}",
        quantile(0.5),
        quantile(0.9),
        quantile(1.0)
    )
}

/// Returns a point for each waiting time in ascending order: the time in seconds, and the share of waits up to it.
fn cumulative_shares(waits_s: &[f64]) -> Vec<(f64, f64)> {
    let mut sorted = waits_s.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count = sorted.len().max(1) as f64;
    let points = sorted.into_iter().enumerate();
    points
        .map(|(i, wait)| (wait, (i + 1) as f64 / count))
        .collect()
}

/// Returns a plot as SVG.
fn plot(title: &str, x_label: &str, lines: Vec<Line>) -> String {
    let mut svg = String::new();
    draw(&mut svg, title, x_label, &lines).expect("a plot in memory can be drawn");
    svg
}

/// Draws a plot into `svg`. Both axes start at zero and end at the largest value, at least at one.
fn draw(
    svg: &mut String,
    title: &str,
    x_label: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|(_, _, points)| points);
    let axis_end =
        |coordinate: fn(&(f64, f64)) -> f64| points().map(coordinate).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(
            0.0..axis_end(|point| point.0),
            0.0..axis_end(|point| point.1),
        )?;
    chart.configure_mesh().x_desc(x_label).draw()?;
    for (name, color, points) in lines {
        let color = *color;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
