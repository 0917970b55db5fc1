//! Where the worth of each day goes, from an entry of the journal that the operator's bench wrote.
//!
//! A day's worth is the sum of its parts, each against its weight, less its prices. What a part falls short of
//! its weight and what a price takes are the losses; worth and losses of a day sum to 1.

use std::fs;
use std::path::Path;

use anyhow::Context;
use plotters::prelude::*;
use serde::Deserialize;

use crate::flags::Worth;
use crate::report::Table;
use crate::report::chart::{Chart, ChartFrame, Drawn};

/// Losses that are listed one by one; the smaller ones are summed up.
const MOST_LOSSES: usize = 8;

/// The picture's size.
const SIZE: (u32, u32) = (900, 420);

/// One colour for the worth, each loss, and the sum of the smaller ones.
const COLOURS: [RGBColor; MOST_LOSSES + 2] = [
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(31, 119, 180),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(188, 189, 34),
    RGBColor(23, 190, 207),
    RGBColor(150, 150, 150),
];

/// An entry of the journal, as far as it is read here.
#[derive(Debug, Deserialize)]
struct Entry {
    site: String,
    days: Vec<Day>,
}

/// One day of an entry.
#[derive(Debug, Deserialize)]
struct Day {
    name: String,
    /// The uncut worth.
    #[serde(rename = "G")]
    worth: f64,
    /// Name, weight and value of each part.
    parts: Vec<(String, f64, f64)>,
    /// Name, amount and cost of each price.
    prices: Vec<(String, f64, f64)>,
}

/// What one cause takes of each day.
#[derive(Debug, Clone, PartialEq)]
pub struct Loss {
    /// The part that fell short, or the price.
    pub cause: String,
    /// Of each day, in the order of [`Losses::days`].
    pub of_days: Vec<f64>,
}

/// The worth of each day of an entry and its losses, the largest first.
#[derive(Debug, Clone, PartialEq)]
pub struct Losses {
    /// The site.
    pub site: String,
    /// The days' names.
    pub days: Vec<String>,
    /// The days' worth.
    pub worth: Vec<f64>,
    /// The losses of the days.
    pub losses: Vec<Loss>,
}

impl Losses {
    /// Reads an entry.
    ///
    /// # Errors
    /// It is not an entry with days.
    pub fn read(json: &str) -> anyhow::Result<Self> {
        let entry: Entry = serde_json::from_str(json).context("reading the entry")?;
        let mut losses: Vec<Loss> = Vec::new();
        for (index, day) in entry.days.iter().enumerate() {
            let short =
                |(name, weight, value): &(String, f64, f64)| (name.clone(), weight * (1.0 - value));
            let price = |(name, _, cost): &(String, f64, f64)| (name.clone(), *cost);
            let of_day = day.parts.iter().map(short);
            for (cause, amount) in of_day.chain(day.prices.iter().map(price)) {
                add(&mut losses, cause, index, entry.days.len(), amount);
            }
        }
        losses.sort_by(|one, other| total(other).total_cmp(&total(one)));
        if losses.len() > MOST_LOSSES {
            let smaller = losses.split_off(MOST_LOSSES);
            for loss in smaller {
                for (index, amount) in loss.of_days.into_iter().enumerate() {
                    let cause = "all other prices".to_owned();
                    add(&mut losses, cause, index, entry.days.len(), amount);
                }
            }
        }
        Ok(Self {
            site: entry.site,
            worth: entry.days.iter().map(|day| day.worth).collect(),
            days: entry.days.into_iter().map(|day| day.name).collect(),
            losses,
        })
    }

    /// A row a cause, a column a day.
    pub fn table(&self) -> Table {
        let mut headers = vec![self.site.as_str()];
        headers.extend(self.days.iter().map(String::as_str));
        let mut table = Table::new(&headers);
        let figures = |name: &str, of_days: &[f64]| {
            let figures = of_days.iter().map(|amount| format!("{amount:.3}"));
            std::iter::once(name.to_owned())
                .chain(figures)
                .collect::<Vec<String>>()
        };
        table.row(figures("worth", &self.worth));
        for loss in &self.losses {
            table.row(figures(&loss.cause, &loss.of_days));
        }
        table
    }

    /// A bar a day: its worth below, its losses above.
    ///
    /// # Errors
    /// It can't be drawn.
    pub fn svg(&self) -> anyhow::Result<String> {
        let title = format!("Worth and losses, {}", self.site);
        let frame = ChartFrame {
            title: &title,
            size: SIZE,
            label_space: (30, 50),
            // The legend stands at the right of the bars.
            x_range: 0.0..self.days.len() as f64 * 1.6,
            y_range: 0.0..1.0,
            legend_border: TRANSPARENT,
        };
        frame.svg(|chart| self.draw(chart))
    }

    fn draw(&self, chart: &mut Chart) -> Drawn {
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(self.days.len() * 4)
            .x_label_formatter(&|x| label(&self.days, *x))
            .draw()?;
        let mut bottoms = vec![0.0; self.days.len()];
        let worth = Loss {
            cause: "worth".to_owned(),
            of_days: self.worth.clone(),
        };
        let layers = std::iter::once(&worth).chain(&self.losses);
        for (layer, colour) in layers.zip(COLOURS) {
            let bars: Vec<[(f64, f64); 2]> = bottoms
                .iter_mut()
                .zip(&layer.of_days)
                .enumerate()
                .map(|(index, (bottom, amount))| {
                    let from = *bottom;
                    *bottom += amount;
                    [(index as f64 + 0.1, from), (index as f64 + 0.9, *bottom)]
                })
                .collect();
            let drawn = bars
                .into_iter()
                .map(|corners| Rectangle::new(corners, colour.filled()));
            chart
                .draw_series(drawn)?
                .label(&layer.cause)
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled())
                });
        }
        Ok(())
    }
}

/// The day whose bar is about `x`, where that is the middle of one.
fn label(days: &[String], x: f64) -> String {
    let is_middle = (x.fract() - 0.5).abs() < 0.01;
    let day = days.get(x as usize).filter(|_| is_middle);
    day.cloned().unwrap_or_default()
}

fn add(losses: &mut Vec<Loss>, cause: String, day: usize, days: usize, amount: f64) {
    let known = losses.iter().position(|loss| loss.cause == cause);
    let position = known.unwrap_or_else(|| {
        losses.push(Loss {
            cause,
            of_days: vec![0.0; days],
        });
        losses.len() - 1
    });
    losses[position].of_days[day] += amount;
}

fn total(loss: &Loss) -> f64 {
    loss.of_days.iter().sum()
}

/// Reads an entry, prints its table and draws its picture.
///
/// # Errors
/// The entry can't be read, or the picture can't be written.
pub fn run(options: &Worth) -> anyhow::Result<()> {
    let json = read(&options.entry)?;
    let losses = Losses::read(&json)?;
    println!("{}", losses.table());
    if let Some(svg) = &options.svg {
        fs::write(svg, losses.svg()?).with_context(|| format!("writing {}", svg.display()))?;
    }
    Ok(())
}

fn read(entry: &Path) -> anyhow::Result<String> {
    fs::read_to_string(entry).with_context(|| format!("reading {}", entry.display()))
}
