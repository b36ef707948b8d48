//! A straight line through points by least squares.

/// `y = base + slope * x`.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    /// Root of the mean squared residual.
    pub error: f64,
}

impl Line {
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let shared: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        let base = y - slope * x;
        let residuals = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2));
        Self {
            base,
            slope,
            error: (residuals.sum::<f64>() / n).sqrt(),
        }
    }
}
