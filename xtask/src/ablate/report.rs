//! The report: every run as JSON, and a plot of the loss of worth without each mechanism.

use std::fmt;
use std::fmt::Write as _;
use std::path::Path;

use serde::Serialize;

use crate::days::{Day, mean};

/// Height of a bar with its label.
const ROW_HEIGHT_PX: usize = 22;
/// Width of a bar for each hundredth of worth.
const PX_PER_HUNDREDTH: f64 = 60.0;
/// Horizontal position of a loss of zero, where the bars begin.
const ZERO_X_PX: f64 = 420.0;
const WIDTH_PX: f64 = 900.0;

/// One run of a site's standard days.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    /// Name of the site.
    pub(super) site: String,
    /// The disabled mechanism, or none for the complete policy.
    pub(super) without: Option<String>,
    /// Number of the run, from 1.
    pub(super) play: u32,
    /// Scores of the days.
    pub(super) days: Vec<Day>,
}

impl Row {
    /// Mean worth of the days with a disturbance.
    fn mean(&self) -> f64 {
        mean(self.days.iter().filter(|day| day.has_disturbance()).map(|day| day.worth))
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let without = self.without.as_deref().unwrap_or("nothing");
        let broken = self.days.iter().filter(|day| day.broken).count();
        let (site, play, mean) = (&self.site, self.play, self.mean());
        write!(f, "{site}, without {without}, play {play}: {mean:.4}, {broken} broken")?;
        self.days.iter().try_for_each(|day| write!(f, " {:.3}", day.worth))
    }
}

/// All runs.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    /// The runs in the order in which they took place.
    pub(super) rows: Vec<Row>,
}

impl Report {
    /// Writes `ablation.json` and `ablation.svg`.
    pub(super) fn write(&self, folder: &Path) -> anyhow::Result<()> {
        std::fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)? + "\n";
        std::fs::write(folder.join("ablation.json"), json)?;
        std::fs::write(folder.join("ablation.svg"), self.svg())?;
        Ok(())
    }

    /// Label and loss of mean worth for each site and disabled mechanism, in the order of the rows.
    fn losses(&self) -> Vec<(String, f64)> {
        let means = |site: &str, without: Option<&str>| {
            let rows =
                self.rows.iter().filter(|r| r.site == site && r.without.as_deref() == without);
            mean(rows.map(Row::mean))
        };
        let first_runs = self.rows.iter().filter(|row| row.play == 1);
        first_runs
            .filter_map(|row| {
                let name = row.without.as_deref()?;
                let loss = means(&row.site, None) - means(&row.site, Some(name));
                Some((format!("{}, without {name}", row.site), loss))
            })
            .collect()
    }

    fn svg(&self) -> String {
        let losses = self.losses();
        let height = ROW_HEIGHT_PX * (losses.len() + 2);
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH_PX}\" height=\"{height}\" \
             font-family=\"sans-serif\" font-size=\"13\">\n\
             <text x=\"10\" y=\"16\">Loss of mean worth on the days with trouble</text>\n"
        );
        for (index, (label, loss)) in losses.iter().enumerate() {
            let top = ROW_HEIGHT_PX * (index + 1);
            let length = loss.abs() * 100.0 * PX_PER_HUNDREDTH;
            let left = if *loss < 0.0 { ZERO_X_PX - length } else { ZERO_X_PX };
            let colour = if *loss < 0.0 { "#c44" } else { "#48a" };
            let _ = writeln!(
                svg,
                "<text x=\"10\" y=\"{}\">{label}</text><rect x=\"{left:.1}\" y=\"{top}\" \
                 width=\"{length:.1}\" height=\"16\" fill=\"{colour}\"/>\
                 <text x=\"{}\" y=\"{}\">{loss:.4}</text>",
                top + 13,
                WIDTH_PX - 70.0,
                top + 13,
            );
        }
        svg + "</svg>\n"
    }
}
