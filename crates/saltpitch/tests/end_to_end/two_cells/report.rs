//! A report in HTML on two runs of the same load, with and without delegation.

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend, BLACK, BLUE, RED,
    WHITE,
};

use super::load::LoadOutcome;

const SIZE: (u32, u32) = (860, 320);

type Line = (&'static str, RGBColor, Vec<(f64, f64)>);

/// Writes the report.
pub fn write(
    path: &std::path::Path,
    delegating: &LoadOutcome,
    without: &LoadOutcome,
) -> std::io::Result<()> {
    let samples = |value: &dyn Fn(&super::load::Sample) -> f64| -> Vec<(f64, f64)> {
        let points = delegating.samples.iter();
        points.map(|sample| (sample.at_s, value(sample))).collect()
    };
    let plots = [
        plot(
            "Jobs delegated and returned (the link is cut in the middle third)",
            "seconds",
            vec![
                (
                    "with the host",
                    BLUE,
                    samples(&|sample| sample.delegated as f64),
                ),
                ("came back", RED, samples(&|sample| sample.returned as f64)),
            ],
        ),
        plot(
            "Requests on the links, in all",
            "seconds",
            vec![("calls", BLUE, samples(&|sample| sample.calls as f64))],
        ),
        plot(
            "Jobs at the origin: share of them that started within so many seconds",
            "seconds waited",
            vec![
                ("with delegation", BLUE, distribution(&delegating.job_waits)),
                ("without", RED, distribution(&without.job_waits)),
            ],
        ),
        plot(
            "Services at the host: share of them that ran within so many seconds",
            "seconds waited",
            vec![
                (
                    "beside delegated jobs",
                    BLUE,
                    distribution(&delegating.service_waits),
                ),
                ("without", RED, distribution(&without.service_waits)),
            ],
        ),
    ];
    let rows =
        [("with delegation", delegating), ("without", without)].map(|(name, run)| row(name, run));
    let page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>Two cells</title>\n\
         <h1>Two cells, one of which delegates to the other</h1>\n\
         <p>Three real controllers a cell on loopback; machines, store, cloud and users are stand-ins.</p>\n\
         <table border=\"1\" cellpadding=\"4\">{HEAD}{}</table>\n{}\n",
        rows.join(""),
        plots.join("\n")
    );
    std::fs::write(path, page)
}

const HEAD: &str = "<tr><th>run</th><th>jobs</th><th>done</th><th>tasks completed twice</th>\
    <th>job waits: median, 90%, most (s)</th><th>service waits: median, 90%, most (s)</th>\
    <th>calls</th></tr>";

fn row(name: &str, run: &LoadOutcome) -> String {
    let calls = run.samples.last().map_or(0, |sample| sample.calls);
    format!(
        "<tr><td>{name}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{calls}</td></tr>",
        run.jobs,
        run.done,
        run.repeated,
        summary(&run.job_waits),
        summary(&run.service_waits)
    )
}

/// Median, nine tenths, and the longest.
pub fn summary(waits: &[f64]) -> String {
    let mut sorted = waits.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let index = (sorted.len().saturating_sub(1) as f64 * part).round() as usize;
        sorted.get(index).copied().unwrap_or_default()
    };
    format!("{:.1}, {:.1}, {:.1}", at(0.5), at(0.9), at(1.0))
}

fn distribution(waits: &[f64]) -> Vec<(f64, f64)> {
    let mut sorted = waits.to_vec();
    sorted.sort_by(f64::total_cmp);
    let all = sorted.len().max(1) as f64;
    let points = sorted.into_iter().enumerate();
    points
        .map(|(i, wait)| (wait, (i + 1) as f64 / all))
        .collect()
}

/// One plot as SVG.
fn plot(title: &str, x_label: &str, lines: Vec<Line>) -> String {
    let mut svg = String::new();
    draw(&mut svg, title, x_label, &lines).expect("a plot can be drawn to memory");
    svg
}

fn draw(
    svg: &mut String,
    title: &str,
    x_label: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|(_, _, points)| points);
    let most = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most(|point| point.0), 0.0..most(|point| point.1))?;
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
