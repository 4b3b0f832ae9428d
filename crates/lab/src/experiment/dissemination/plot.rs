//! The plot of the experiment: the share of gateways that have the change, by time.

use std::path::Path;

use balsamjunction_policy::Moment;
use plotters::{
    chart::{ChartBuilder, LabelAreaPosition},
    drawing::IntoDrawingArea,
    prelude::SVGBackend,
    series::LineSeries,
    style::{Color, Palette, Palette99, WHITE},
};

use crate::error::LabError;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 500);
/// Space for the labels of the axes, in pixels.
const LABEL_AREA: u32 = 50;
/// Time that the plot shows after the last gateway of the relay, as a ratio: the former way may never end.
const SHOWN_RATIO: f64 = 2.0;

/// When each gateway had the change, in one way of dissemination.
type Received = Vec<Option<Moment>>;

/// Writes a plot as SVG. `curves` holds, for each fleet, its size and the times of the relay and of the former way.
pub fn write(path: &Path, curves: &[(usize, Received, Received)]) -> Result<(), LabError> {
    draw(path, curves).map_err(|why| LabError::Plot {
        path: path.to_owned(),
        why,
    })
}

fn draw(path: &Path, curves: &[(usize, Received, Received)]) -> Result<(), String> {
    let relayed = curves.iter().flat_map(|(_, relayed, _)| relayed);
    let last = relayed.flatten().max().map_or(1.0, Moment::as_secs_f64);
    let shown = last * SHOWN_RATIO;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| e.to_string())?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "gateways that have the change (thin: former way)",
            ("sans-serif", 18),
        )
        .margin(10)
        .set_label_area_size(LabelAreaPosition::Left, LABEL_AREA)
        .set_label_area_size(LabelAreaPosition::Bottom, LABEL_AREA)
        .build_cartesian_2d(0.0..shown, 0.0..1.0)
        .map_err(|e| e.to_string())?;
    let mut mesh = chart.configure_mesh();
    let mesh = mesh.x_desc("seconds").y_desc("share");
    mesh.draw().map_err(|e| e.to_string())?;
    for (n, (gateways, relayed, pushed)) in curves.iter().enumerate() {
        for (received, width) in [(relayed, 3), (pushed, 1)] {
            let colour = Palette99::pick(n);
            let line = LineSeries::new(steps(received, shown), colour.stroke_width(width));
            let series = chart.draw_series(line).map_err(|e| e.to_string())?;
            if width > 1 {
                let legend = move |(x, y)| {
                    plotters::element::PathElement::new(vec![(x, y), (x + 20, y)], colour.filled())
                };
                series.label(format!("{gateways} gateways")).legend(legend);
            }
        }
    }
    let mut labels = chart.configure_series_labels();
    labels
        .border_style(plotters::style::BLACK)
        .draw()
        .map_err(|e| e.to_string())?;
    area.present().map_err(|e| e.to_string())
}

/// The share of gateways that have the change, by time in seconds, as a line with steps.
fn steps(received: &Received, shown: f64) -> Vec<(f64, f64)> {
    let mut times: Vec<f64> = received.iter().flatten().map(Moment::as_secs_f64).collect();
    times.sort_by(f64::total_cmp);
    let mut line = vec![(0.0, 0.0)];
    let mut share = 0.0;
    for (n, time) in times.into_iter().filter(|t| *t <= shown).enumerate() {
        line.push((time, share));
        share = (n + 1) as f64 / received.len() as f64;
        line.push((time, share));
    }
    line.push((shown, share));
    line
}
