//! Result files: the measured series, the command that measured them and the points behind each
//! fit.

use std::path::Path;
use std::sync::Arc;

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

use crate::fit::Fit;

/// One measured point: a value of the varied quantity and the measurement at it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Value of the varied quantity.
    pub x: f64,
    /// Median of the measurements.
    pub y: f64,
}

/// A measured quantity as a function of one varied quantity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Name, unique within its file.
    pub name: Arc<str>,
    /// Varied quantity with its unit.
    pub x: Arc<str>,
    /// Measured quantity with its unit.
    pub y: Arc<str>,
    /// Points in ascending order of x.
    pub points: Vec<Point>,
    /// Line fitted to the points; `None` unless at least two have different x.
    pub fit: Option<Fit>,
}

/// All series measured by one command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Command that produced the results.
    pub command: Arc<str>,
    /// Measured series, each with a unique name.
    pub series: Vec<Series>,
}

impl Series {
    /// Creates a series and fits a line to its points.
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

    /// Finds a series by name.
    ///
    /// ```
    /// let results = loadgen::results::Results { command: "true".into(), series: vec![] };
    /// assert!(results.series("bytes").is_none());
    /// ```
    pub fn series(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|series| &*series.name == name)
    }
}
