//! The frame of a chart as SVG: caption, axes' space, legend. Drawn without a font library.

use std::error::Error;
use std::ops::Range;

use anyhow::anyhow;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// The inside of a frame, where the axes' descriptions and the series are drawn.
pub(crate) type Chart<'frame, 'svg> =
    ChartContext<'frame, SVGBackend<'svg>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// What drawing returns; the errors of the library have one type a backend.
pub(crate) type Drawn = Result<(), Box<dyn Error>>;

/// The frame of a chart.
pub(crate) struct ChartFrame<'a> {
    /// The caption.
    pub(crate) title: &'a str,
    /// The picture's width and height.
    pub(crate) size: (u32, u32),
    /// The height of the labels below the chart and the width of those beside it.
    pub(crate) label_space: (u32, u32),
    /// What the horizontal axis spans.
    pub(crate) x_range: Range<f64>,
    /// What the vertical axis spans.
    pub(crate) y_range: Range<f64>,
    /// The line around the legend.
    pub(crate) legend_border: RGBAColor,
}

impl ChartFrame<'_> {
    /// The chart as an SVG element; `draw` draws what is inside the frame.
    ///
    /// # Errors
    /// It can't be drawn.
    pub(crate) fn svg(&self, draw: impl FnOnce(&mut Chart) -> Drawn) -> anyhow::Result<String> {
        let mut svg = String::new();
        self.draw(&mut svg, draw)
            .map_err(|error| anyhow!("draw {:?}: {error}", self.title))?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String, draw: impl FnOnce(&mut Chart) -> Drawn) -> Drawn {
        let area = SVGBackend::with_string(svg, self.size).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(self.label_space.0)
            .y_label_area_size(self.label_space.1)
            .build_cartesian_2d(self.x_range.clone(), self.y_range.clone())?;
        draw(&mut chart)?;
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(self.legend_border)
            .draw()?;
        area.present()?;
        Ok(())
    }
}
