//! Result files: what was measured, by which command, with the points behind each slope.

use std::path::Path;
use std::sync::Arc;

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

use crate::fit::Fit;

/// One measured point: the varied quantity and what was measured at it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Value of the varied quantity.
    pub x: f64,
    /// Median of the measured quantity.
    pub y: f64,
}

/// A measured quantity over one varied quantity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Name, unique within its file.
    pub name: Arc<str>,
    /// What was varied, with its unit.
    pub x: Arc<str>,
    /// What was measured, with its unit.
    pub y: Arc<str>,
    /// Points by growing x.
    pub points: Vec<Point>,
    /// Line through the points; none for fewer than two.
    pub fit: Option<Fit>,
}

/// All series of one command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Command that measured.
    pub command: Arc<str>,
    /// Series by name.
    pub series: Vec<Series>,
}

impl Series {
    /// A series with the line through its points.
    ///
    /// ```
    /// let points = [(1.0, 2.0), (2.0, 4.0)];
    /// let series = loadgen::results::Series::new("bytes", "nodes", "B", &points);
    /// assert_eq!(series.fit.unwrap().slope, 2.0);
    /// ```
    pub fn new(name: &str, x: &str, y: &str, points: &[(f64, f64)]) -> Self {
        let fit = Fit::through(points);
        let points = points.iter().map(|&(x, y)| Point { x, y }).collect();
        Self { name: name.into(), x: x.into(), y: y.into(), points, fit }
    }
}

impl Results {
    /// Reads a result file.
    ///
    /// ```
    /// assert!(loadgen::results::Results::read("/nonexistent".as_ref()).is_err());
    /// ```
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        serde_json::from_str(&text).with_context(|| path.display().to_string())
    }

    /// Writes a result file.
    ///
    /// ```
    /// let results = loadgen::results::Results { command: "true".into(), series: vec![] };
    /// assert!(results.write("/nonexistent/file".as_ref()).is_err());
    /// ```
    pub fn write(&self, path: &Path) -> anyhow::Result<()> {
        let text = serde_json::to_string_pretty(self)? + "\n";
        std::fs::write(path, text).with_context(|| path.display().to_string())
    }

    /// Finds a series.
    ///
    /// ```
    /// let results = loadgen::results::Results { command: "true".into(), series: vec![] };
    /// assert!(results.series("bytes").is_none());
    /// ```
    pub fn series(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|series| &*series.name == name)
    }
}
