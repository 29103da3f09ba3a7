//! Least-squares fit of a straight line to measured points.

/// A least-squares line and its residual.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Fit {
    /// Change of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line, in percent of the largest absolute y.
    pub residual_percent: f64,
}

impl Fit {
    /// Fits a line to points (x, y). Returns `None` unless at least two points have different x.
    ///
    /// ```
    /// let fit = loadgen::fit::Fit::through(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]).unwrap();
    /// assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 3.0).abs() < 1e-9);
    /// ```
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let squares_x = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum::<f64>();
        if points.len() < 2 || squares_x == 0.0 {
            return None;
        }
        let products_xy = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y));
        let slope = products_xy.sum::<f64>() / squares_x;
        let intercept = mean_y - slope * mean_x;
        let mut fit = Self { slope, intercept, residual_percent: 0.0 };
        let largest = points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = points.iter().map(|point| (point.1 - fit.at(point.0)).abs());
        fit.residual_percent = distance.fold(0.0, f64::max) / largest * 100.0;
        Some(fit)
    }

    /// Value of the line at `x`.
    ///
    /// ```
    /// let fit = loadgen::fit::Fit { slope: 2.0, intercept: 1.0, residual_percent: 0.0 };
    /// assert_eq!(fit.at(10.0), 21.0);
    /// ```
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
