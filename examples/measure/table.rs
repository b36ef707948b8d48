//! Small tables and distributions.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// A table of results.
#[derive(Debug, Serialize)]
pub struct Table {
    /// What was measured.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<&'static str>,
    /// Cells as text.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    pub fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    pub fn print(&self) {
        println!("\n{}", self.title);
        let mut widths: Vec<_> = self.columns.iter().map(|name| name.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let head: Vec<_> = self.columns.iter().map(|name| (*name).to_owned()).collect();
        for row in std::iter::once(&head).chain(&self.rows) {
            let cells = row.iter().zip(&widths);
            let line: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:>width$}"))
                .collect();
            println!("  {}", line.join("  "));
        }
    }
}

/// Durations, kept in microseconds.
#[derive(Debug)]
pub struct Spread(Histogram<u64>);

impl Spread {
    pub fn new() -> Self {
        Self(Histogram::new_with_max(LONGEST_US, 3).expect("the bounds are allowed"))
    }

    pub fn add(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Count, median, 95th percentile and worst, in milliseconds.
    pub fn cells(&self) -> [String; 4] {
        [
            self.0.len().to_string(),
            ms(self.0.value_at_quantile(0.5)),
            ms(self.0.value_at_quantile(0.95)),
            ms(self.0.max()),
        ]
    }

    /// A quantile in milliseconds.
    pub fn at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }

    /// A quantile in milliseconds, as text.
    pub fn quantile(&self, quantile: f64) -> String {
        ms(self.0.value_at_quantile(quantile))
    }
}

fn ms(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1e3)
}
