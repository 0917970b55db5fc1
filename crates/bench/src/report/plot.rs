//! Line plots as SVG, drawn without a font library.

use anyhow::anyhow;
use plotters::prelude::*;

const SIZE: (u32, u32) = (760, 320);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(80, 80, 80),
];

/// One line.
#[derive(Debug, Clone, PartialEq)]
pub struct LineSeries {
    /// What it shows.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// A plot of some lines over one axis.
#[derive(Debug, Clone, PartialEq)]
pub struct LinePlot {
    /// The caption.
    pub title: String,
    /// What the horizontal axis shows.
    pub x_label: String,
    /// What the vertical axis shows.
    pub y_label: String,
    /// The lines.
    pub lines: Vec<LineSeries>,
}

impl LinePlot {
    /// The plot as an SVG element.
    ///
    /// # Errors
    /// It can't be drawn.
    pub fn svg(&self) -> anyhow::Result<String> {
        let mut svg = String::new();
        self.draw(&mut svg)
            .map_err(|error| anyhow!("draw {:?}: {error}", self.title))?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let (x_range, y_range) = self.ranges();
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(x_range, y_range)?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            let drawn = plotters::series::LineSeries::new(line.points.iter().copied(), &colour);
            chart
                .draw_series(drawn)?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    fn ranges(&self) -> (std::ops::Range<f64>, std::ops::Range<f64>) {
        let points = || self.lines.iter().flat_map(|line| &line.points);
        let x_least = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
        let x_most = points().map(|point| point.0).fold(1.0, f64::max);
        let y_most = points().map(|point| point.1).fold(1e-3, f64::max);
        (x_least.min(x_most - 1e-3)..x_most, 0.0..y_most * 1.05)
    }
}
