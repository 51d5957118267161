/// Line through points by least squares.
pub struct LineFit {
    pub slope: f64,
    pub intercept: f64,
    /// Root of the mean square of the distances.
    pub residual: f64,
}

impl LineFit {
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread = |(x, y): &(f64, f64)| (x - mean_x) * (y - mean_y);
        let width = |(x, _): &(f64, f64)| (x - mean_x).powi(2);
        let slope = points.iter().map(spread).sum::<f64>() / points.iter().map(width).sum::<f64>();
        let intercept = mean_y - slope * mean_x;
        let square = |(x, y): &(f64, f64)| (y - slope * x - intercept).powi(2);
        let residual = (points.iter().map(square).sum::<f64>() / count).sqrt();
        Self {
            slope,
            intercept,
            residual,
        }
    }
}
