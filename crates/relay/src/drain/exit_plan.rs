use {crate::drain::ExitTimes, tokio::sync::watch};

/// Whether the process is shutting down, and when its parts end.
#[derive(Debug, Default)]
pub struct ExitPlan {
    times: watch::Sender<Option<ExitTimes>>,
}

impl ExitPlan {
    /// Begins the shutdown.
    pub fn begin(&self, times: ExitTimes) {
        self.times.send_replace(Some(times));
    }

    /// Returns the times of the shutdown; `None` if it has not begun.
    pub fn times(&self) -> Option<ExitTimes> {
        *self.times.borrow()
    }

    /// Waits until the shutdown begins, and returns its times.
    pub async fn until_begun(&self) -> ExitTimes {
        let mut times = self.times.subscribe();
        let begun = times.wait_for(Option::is_some).await;
        match begun.ok().and_then(|times| *times) {
            Some(times) => times,
            // The sender lives as long as this plan.
            None => std::future::pending().await,
        }
    }

    /// Waits until streams must be cut.
    pub async fn until_cut(&self) {
        let times = self.until_begun().await;
        actix_rt::time::sleep_until(times.cut_at.into()).await;
    }
}
