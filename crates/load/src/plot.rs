//! SVG plots of an experiment.

use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::Rectangle;
use plotters::prelude::SVGBackend;
use plotters::style::Color;
use plotters::style::BLACK;
use plotters::style::WHITE;
use thiserror::Error;

use crate::measurement::Experiment;
use crate::measurement::Measurement;
use crate::series::SeriesPoint;

const SIZE: (u32, u32) = (900, 480);

const FONT: (&str, u32) = ("sans-serif", 16);

/// A plot cannot be written.
#[derive(Debug, Error)]
#[error("plot {file} cannot be written: {detail}; choose another --out directory")]
pub struct PlotError {
    file: String,
    detail: String,
}

/// File name suffix, title and plotted figure of a bar plot.
type BarPlot = (&'static str, &'static str, fn(&Measurement) -> f64);

/// Named line of a line plot.
struct Line {
    name: String,
    line_points: Vec<(f64, f64)>,
}

/// Writes the plots of all cases of an experiment into `dir`, which must exist.
pub fn plot(experiment: &Experiment, dir: &Path) -> Result<(), PlotError> {
    for case in experiment.scenario.cases_or_default() {
        let runs: Vec<&Measurement> = experiment
            .runs
            .iter()
            .filter(|run| run.case == case.name)
            .collect();
        let hits = runs.iter().map(|run| Line {
            name: run.policy.clone(),
            line_points: line_points(run, |point| point.hit_rate()),
        });
        let file = dir.join(format!("{}-hit-rate.svg", case.name));
        draw_lines(&file, "Prefix hit rate", &hits.collect::<Vec<_>>())?;
        for run in &runs {
            let file = dir.join(format!("{}-{}-first-token.svg", case.name, run.policy));
            draw_lines(&file, "Time to first token in ms", &percentile_lines(run))?;
        }
        let bars: [BarPlot; 3] = [
            ("recomputed", "Recomputed tokens per answer", |run| {
                run.recomputed_per_answer
            }),
            (
                "urgent-p99",
                "Urgent time to first token, p99 in ms",
                |run| run.report.urgent.first_token.p99_ms,
            ),
            ("worth", "Worth in time / worth offered", |run| {
                run.worth_rate
            }),
        ];
        for (name, title, figure) in bars {
            let values = runs.iter().map(|run| (run.policy.clone(), figure(run)));
            let file = dir.join(format!("{}-{name}.svg", case.name));
            draw_bars(&file, title, &values.collect::<Vec<_>>())?;
        }
    }
    Ok(())
}

fn line_points(run: &Measurement, figure: impl Fn(&SeriesPoint) -> f64) -> Vec<(f64, f64)> {
    let line_points = run.series.iter();
    line_points
        .map(|point| (point.at_s, figure(point)))
        .collect()
}

fn percentile_lines(run: &Measurement) -> Vec<Line> {
    let line = |name: &str, figure: fn(&SeriesPoint) -> f64| Line {
        name: name.to_owned(),
        line_points: line_points(run, figure),
    };
    vec![
        line("p50", |point| point.first_token.p50_ms),
        line("p95", |point| point.first_token.p95_ms),
        line("p99", |point| point.first_token.p99_ms),
    ]
}

/// Returns the upper bound of an axis that starts at 0 and shows all `values`.
fn axis_end(values: impl Iterator<Item = f64>) -> f64 {
    let largest = values.fold(0.0, f64::max);
    if largest > 0.0 {
        largest * 1.05
    } else {
        1.0
    }
}

fn draw_lines(file: &Path, title: &str, lines: &[Line]) -> Result<(), PlotError> {
    let all = || lines.iter().flat_map(|line| line.line_points.iter());
    let x_end = axis_end(all().map(|(x, _)| *x));
    let y_end = axis_end(all().map(|(_, y)| *y));
    let render = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(file, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, FONT)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..x_end, 0.0..y_end)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (index, line) in lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(line.line_points.iter().copied(), color))?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    };
    render().map_err(|error| plot_error(file, error.as_ref()))
}

fn draw_bars(file: &Path, title: &str, values: &[(String, f64)]) -> Result<(), PlotError> {
    let y_end = axis_end(values.iter().map(|(_, value)| *value));
    let render = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(file, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, FONT)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..values.len() as f64, 0.0..y_end)?;
        let bar_label = |x: &f64| {
            let is_centre = (x.fract() - 0.5).abs() < 1e-9;
            let bar = values.get(*x as usize).filter(|_| is_centre);
            bar.map_or(String::new(), |(name, _)| name.clone())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(values.len() * 2 + 1)
            .x_label_formatter(&bar_label)
            .draw()?;
        chart.draw_series(values.iter().enumerate().map(|(index, (_, value))| {
            let left = index as f64;
            let corners = [(left + 0.15, 0.0), (left + 0.85, *value)];
            Rectangle::new(corners, Palette99::pick(index).filled())
        }))?;
        area.present()?;
        Ok(())
    };
    render().map_err(|error| plot_error(file, error.as_ref()))
}

fn plot_error(file: &Path, error: &dyn std::error::Error) -> PlotError {
    PlotError {
        file: file.display().to_string(),
        detail: error.to_string(),
    }
}
