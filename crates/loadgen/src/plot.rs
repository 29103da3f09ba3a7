//! Line plots as SVG.

use std::path::Path;
use std::sync::Arc;

use anyhow::anyhow;
use plotters::prelude::*;

const SIZE_PX: (u32, u32) = (800, 480);

/// A named line through points.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name in the legend.
    pub name: Arc<str>,
    /// Points (x, y) in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Writes a plot whose axes are labelled `x` and `y`. The y axis starts at zero.
///
/// Errors: `lines` contain no points, or the file cannot be written.
///
/// ```
/// let path = std::env::temp_dir().join("gooseberrysill-plot-example.svg");
/// assert!(loadgen::plot::write(&path, "nothing", ("x", "y"), &[]).is_err());
/// ```
pub fn write(path: &Path, title: &str, (x, y): (&str, &str), lines: &[Line]) -> anyhow::Result<()> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let first = points()
        .map(|point| point.0)
        .reduce(f64::min)
        .ok_or(anyhow!("there are no points to plot"))?;
    let last = points().map(|point| point.0).fold(first, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(90)
        .build_cartesian_2d(first..last.max(first + 1.0), 0.0..top.max(1e-9))?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line_series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let legend_entry = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color);
        chart.draw_series(line_series)?.label(&*line.name).legend(legend_entry);
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    Ok(area.present()?)
}
