/// Line that fits points by least squares.
pub struct LineFit {
    pub slope: f64,
    pub intercept: f64,
    /// Root mean square of the vertical distances of the points from the line.
    pub residual: f64,
}

impl LineFit {
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let covariance = |(x, y): &(f64, f64)| (x - mean_x) * (y - mean_y);
        let variance = |(x, _): &(f64, f64)| (x - mean_x).powi(2);
        let slope =
            points.iter().map(covariance).sum::<f64>() / points.iter().map(variance).sum::<f64>();
        let intercept = mean_y - slope * mean_x;
        let squared_distance = |(x, y): &(f64, f64)| (y - slope * x - intercept).powi(2);
        let residual = (points.iter().map(squared_distance).sum::<f64>() / count).sqrt();
        Self {
            slope,
            intercept,
            residual,
        }
    }
}
