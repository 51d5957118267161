//! Guards against rates of cold targets that no clock can express, or that bound nothing because they
//! are too small.

use {
    plan::ColdRate,
    proptest::prelude::*,
    std::time::{Duration, Instant},
};

/// Share of a rate that is used.
const USED_SHARE: f64 = 0.75;
/// Shortest interval that is not rounded to none: half of a nanosecond.
const LEAST_SECONDS: f64 = 0.5e-9;

proptest! {
    #[test]
    fn any_rate_has_an_interval_that_a_clock_can_express(per_second in any::<f64>()) {
        let interval = ColdRate { per_second }.call_interval();
        prop_assert!(interval.is_none_or(|interval| Instant::now().checked_add(interval).is_some()));
        let seconds = 1.0 / (USED_SHARE * per_second);
        prop_assert_eq!(interval.is_some(), per_second > 0.0 && seconds >= LEAST_SECONDS);
    }
}

#[test]
fn a_tiny_rate_is_a_bound_all_the_same() {
    for per_second in [1e-10, 1e-19, 1e-20, 1e-300, f64::MIN_POSITIVE] {
        let interval = ColdRate { per_second }.call_interval();
        assert_eq!(interval, Some(Duration::from_secs(60)), "{per_second}");
    }
}
