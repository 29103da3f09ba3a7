//! Figures computed from result files.

use std::path::Path;

use anyhow::{Context as _, ensure};
use loadgen::results::{Results, Series};

/// Names of the result files that the page uses.
const NAMES: [&str; 6] = ["agent", "bench", "control", "memory", "sweep", "tree"];

/// All result files.
#[derive(Clone, Debug)]
pub(super) struct ResultFiles {
    files: Vec<(&'static str, Results)>,
}

/// How a value is derived from a series.
#[derive(Clone, Copy, Debug)]
pub(super) enum Lookup {
    /// The fitted line at x.
    Line(f64),
    /// The fitted slope multiplied by x, without the intercept.
    Slope(f64),
    /// The measured point at x.
    Point(f64),
}

/// One summand of a figure.
#[derive(Clone, Copy, Debug)]
pub(super) enum Term {
    /// Measured.
    Measured {
        /// Result file.
        file: &'static str,
        /// Series in it.
        series: &'static str,
        /// How the value is derived from the series.
        lookup: Lookup,
        /// Factor of the value: occurrences per second, or one.
        per_second: f64,
    },
    /// Not measured, but counted or assumed.
    Computed {
        /// Value.
        value: f64,
        /// Derivation of the value, shown as its source.
        reason: &'static str,
    },
}

/// A sum of terms.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Figure {
    /// The sum.
    pub(super) value: f64,
    /// Source of each term.
    pub(super) sources: Vec<String>,
    /// Largest residual of the fitted lines used, in percent.
    pub(super) residual_percent: Option<f64>,
}

/// A term from a measured series, with the factor one.
pub(super) const fn measured(file: &'static str, series: &'static str, lookup: Lookup) -> Term {
    Term::Measured { file, series, lookup, per_second: 1.0 }
}

/// A term from a measured series, multiplied by its occurrences per second.
pub(super) const fn scaled(
    file: &'static str,
    series: &'static str,
    lookup: Lookup,
    per_second: f64,
) -> Term {
    Term::Measured { file, series, lookup, per_second }
}

/// A term that is not measured.
pub(super) const fn computed(value: f64, reason: &'static str) -> Term {
    Term::Computed { value, reason }
}

impl ResultFiles {
    /// Reads all result files.
    pub(super) fn read(folder: &Path) -> anyhow::Result<Self> {
        let read = |name: &'static str| {
            Results::read(&folder.join(format!("{name}.json"))).map(|results| (name, results))
        };
        Ok(Self { files: NAMES.into_iter().map(read).collect::<anyhow::Result<_>>()? })
    }

    /// Result files constructed by a test.
    #[cfg(test)]
    pub(super) fn from_results(files: Vec<(&'static str, Results)>) -> Self {
        Self { files }
    }

    /// Name of each file with the command that produced it.
    pub(super) fn commands(&self) -> impl Iterator<Item = (&'static str, &str)> {
        self.files.iter().map(|(name, results)| (*name, &*results.command))
    }

    /// Sums up terms.
    pub(super) fn figure(&self, terms: &[Term]) -> anyhow::Result<Figure> {
        let mut figure = Figure { value: 0.0, sources: Vec::new(), residual_percent: None };
        for term in terms {
            self.add(term, &mut figure)?;
        }
        Ok(figure)
    }

    /// Finds a series.
    pub(super) fn series(&self, file: &str, name: &str) -> anyhow::Result<&Series> {
        let results = self.files.iter().find(|(known, _)| *known == file);
        let series = results.and_then(|(_, results)| results.series(name));
        series.with_context(|| format!("no series `{name}` in {file}.json"))
    }

    fn add(&self, term: &Term, figure: &mut Figure) -> anyhow::Result<()> {
        match term {
            Term::Computed { value, reason } => {
                figure.value += value;
                figure.sources.push((*reason).into());
            }
            Term::Measured { file, series, lookup, per_second } => {
                let found = self.series(file, series)?;
                figure.value += value_of(found, *lookup)? * per_second;
                figure.sources.push(format!("{file}.json `{series}` {}", lookup.describe()));
                if !matches!(lookup, Lookup::Point(_)) {
                    let residual = found.fit.map_or(0.0, |fit| fit.residual_percent);
                    let largest = figure.residual_percent.unwrap_or(0.0).max(residual);
                    figure.residual_percent = Some(largest);
                }
            }
        }
        Ok(())
    }
}

impl Lookup {
    fn describe(self) -> String {
        match self {
            Self::Line(x) => format!("line at {x}"),
            Self::Slope(x) => format!("slope x {x}"),
            Self::Point(x) => format!("point at {x}"),
        }
    }
}

fn value_of(series: &Series, lookup: Lookup) -> anyhow::Result<f64> {
    let fit = || series.fit.with_context(|| format!("{} has no fitted line", series.name));
    match lookup {
        Lookup::Line(x) => Ok(fit()?.at(x)),
        Lookup::Slope(x) => Ok(fit()?.slope * x),
        Lookup::Point(x) => {
            let point = series.points.iter().find(|point| point.x == x);
            ensure!(point.is_some(), "{} was not measured at {x}", series.name);
            Ok(point.map_or(0.0, |point| point.y))
        }
    }
}
