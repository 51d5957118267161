//! When faulty replicas spoil answers: inside the largest dose of the site.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

/// One answer in this many is spoiled, 0.029 of them; the dose is 0.03.
const ANSWERS_PER_FAULT: u32 = 34;
/// Length of a disruption, and the time from its start to that of the next one.
const FAULT_TIME: Duration = Duration::from_secs(5);
const FAULT_INTERVAL: Duration = Duration::from_secs(10);

/// Counts the answers of all faulty replicas while the disruption lasts.
#[derive(Default)]
pub struct GarbleDose {
    started: OnceLock<Instant>,
    answer_count: AtomicU32,
}

impl GarbleDose {
    /// Begins the first disruption.
    pub fn start(&self) {
        // The first start counts.
        let _ = self.started.set(Instant::now());
    }

    /// Counts an answer of a faulty replica; returns true if it is one to spoil.
    pub fn take_answer(&self) -> bool {
        let Some(started) = self.started.get() else {
            return false;
        };
        let phase = started.elapsed().as_millis() % FAULT_INTERVAL.as_millis();
        if phase >= FAULT_TIME.as_millis() {
            return false;
        }
        let count = self.answer_count.fetch_add(1, Ordering::Relaxed) + 1;
        count.is_multiple_of(ANSWERS_PER_FAULT)
    }
}
