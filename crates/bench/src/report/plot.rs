//! Line plots as SVG.

use plotters::prelude::*;

use super::chart::{Chart, ChartFrame, Drawn};

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
        let (x_range, y_range) = self.ranges();
        let frame = ChartFrame {
            title: &self.title,
            size: SIZE,
            label_space: (40, 60),
            x_range,
            y_range,
            legend_border: BLACK.into(),
        };
        frame.svg(|chart| self.draw(chart))
    }

    fn draw(&self, chart: &mut Chart) -> Drawn {
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
