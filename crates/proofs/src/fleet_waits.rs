use {
    crate::{AddressAnswer, FleetHarness, TestCaller, wait_until},
    anyhow::Context,
    base::SheetVersion,
    std::{process::ExitStatus, time::Duration},
};

/// Entries that an ordinary customer is told to use.
const ADDRESS_COUNT: usize = 3;

/// Conditions that a test waits for.
impl FleetHarness {
    /// Waits until an entry answers with this sheet version, or a later one, in force.
    ///
    /// # Errors
    ///
    /// Fails if it does not within the limit.
    pub async fn wait_sheet(
        &self,
        host: &str,
        version: SheetVersion,
        limit: Duration,
    ) -> anyhow::Result<()> {
        let what = format!("{host} has sheet {version}");
        self.wait_address(host, &what, limit, |answer| answer.sheet_version >= version)
            .await
    }

    /// Waits until an entry names as many addresses as it should for an ordinary customer.
    ///
    /// # Errors
    ///
    /// Fails if it does not within the limit.
    pub async fn wait_hosts(&self, host: &str, limit: Duration) -> anyhow::Result<()> {
        let count = self.plan().entries.len().min(ADDRESS_COUNT);
        let what = format!("{host} knows {count} entries");
        self.wait_address(host, &what, limit, |answer| answer.addresses.len() >= count)
            .await
    }

    /// Waits until an entry's answer to the first customer fulfils a condition.
    ///
    /// # Errors
    ///
    /// Fails with the entry's log if it does not within the limit.
    pub async fn wait_address(
        &self,
        host: &str,
        what: &str,
        limit: Duration,
        condition: impl Fn(&AddressAnswer) -> bool,
    ) -> anyhow::Result<()> {
        let caller = TestCaller::new();
        let entry = self.callers(host);
        let customer = self.rows().customer.first();
        let customer = customer.map(|row| row.name.clone()).unwrap_or_default();
        let waited = wait_until(what, limit, async || {
            let answer = caller.addresses(&entry, &customer).await;
            answer.is_ok_and(|answer| condition(&answer))
        });
        let waited = waited.await;
        waited.with_context(|| format!("log of {host}: {}", self.log_text(host)))
    }

    /// Waits until a process has ended.
    ///
    /// # Errors
    ///
    /// Fails if it has not within the limit.
    pub async fn wait_exit(&mut self, name: &str, limit: Duration) -> anyhow::Result<ExitStatus> {
        let process = self.process_mut(name);
        let mut ended = None;
        wait_until(&format!("{name} ends"), limit, async || {
            ended = process.ended();
            ended.is_some()
        })
        .await?;
        ended.context("it has ended")
    }

    /// Waits until these entries give these targets no new work.
    ///
    /// # Errors
    ///
    /// Fails if they still do after the limit.
    pub async fn wait_leaving(
        &self,
        hosts: &[&str],
        targets: &[&str],
        limit: Duration,
    ) -> anyhow::Result<()> {
        for host in hosts {
            let url = format!("{}/status", self.operators(host));
            wait_until(&format!("{host} avoids {targets:?}"), limit, async || {
                let status: serde_json::Value = self.probe().get(&url).await.unwrap_or_default();
                let leaving = status["leaving_targets"]
                    .as_array()
                    .cloned()
                    .unwrap_or_default();
                targets
                    .iter()
                    .all(|target| leaving.iter().any(|name| name == target))
            })
            .await?;
        }
        Ok(())
    }
}
