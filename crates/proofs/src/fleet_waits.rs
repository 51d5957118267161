use {
    crate::{AddressAnswer, FleetHarness, TestCaller, wait_until},
    anyhow::Context,
    base::SheetVersion,
    std::{process::ExitStatus, time::Duration},
};

/// Number of entries that an entry names to a customer, unless the sheet sets another number.
const ADDRESS_COUNT: usize = 3;

/// Conditions that a test waits for.
impl FleetHarness {
    /// Waits until this sheet version, or a later one, is in force on an entry.
    ///
    /// # Errors
    ///
    /// Fails if the timeout passes first.
    pub async fn wait_for_sheet(
        &self,
        host: &str,
        version: SheetVersion,
        timeout: Duration,
    ) -> anyhow::Result<()> {
        let description = format!("{host} has sheet {version} in force");
        self.wait_for_addresses(host, &description, timeout, |answer| {
            answer.sheet_version >= version
        })
        .await
    }

    /// Waits until an entry names as many addresses as a customer gets by default, or as many as
    /// the fleet has entries if that is fewer.
    ///
    /// # Errors
    ///
    /// Fails if the timeout passes first.
    pub async fn wait_for_hosts(&self, host: &str, timeout: Duration) -> anyhow::Result<()> {
        let count = self.plan().entries.len().min(ADDRESS_COUNT);
        let description = format!("{host} names {count} entries");
        self.wait_for_addresses(host, &description, timeout, |answer| {
            answer.addresses.len() >= count
        })
        .await
    }

    /// Waits until the address answer of an entry to the first customer of the sheet fulfils a
    /// condition.
    ///
    /// # Errors
    ///
    /// Fails with the log of the entry if the timeout passes first.
    pub async fn wait_for_addresses(
        &self,
        host: &str,
        description: &str,
        timeout: Duration,
        condition: impl Fn(&AddressAnswer) -> bool,
    ) -> anyhow::Result<()> {
        let caller = TestCaller::new();
        let entry = self.caller_address(host);
        let customer = self.published_rows().customer.first();
        let customer = customer.map(|row| row.name.clone()).unwrap_or_default();
        let result = wait_until(description, timeout, async || {
            let answer = caller.fetch_addresses(&entry, &customer).await;
            answer.is_ok_and(|answer| condition(&answer))
        });
        let result = result.await;
        result.with_context(|| format!("log of {host}: {}", self.log_text(host)))
    }

    /// Waits until a process has exited; returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails if the timeout passes first.
    pub async fn wait_for_exit(
        &mut self,
        name: &str,
        timeout: Duration,
    ) -> anyhow::Result<ExitStatus> {
        let process = self.process_mut(name);
        let mut exit_status = None;
        wait_until(&format!("{name} has exited"), timeout, async || {
            exit_status = process.ended();
            exit_status.is_some()
        })
        .await?;
        exit_status.context("it has ended")
    }

    /// Waits until each of these entries reports each of these targets as leaving in its status.
    ///
    /// # Errors
    ///
    /// Fails if the timeout passes first at an entry.
    pub async fn wait_for_leaving_targets(
        &self,
        hosts: &[&str],
        targets: &[&str],
        timeout: Duration,
    ) -> anyhow::Result<()> {
        for host in hosts {
            let url = format!("{}/status", self.operator_url(host));
            wait_until(
                &format!("{host} reports {targets:?} as leaving"),
                timeout,
                async || {
                    let status: serde_json::Value =
                        self.probe().get(&url).await.unwrap_or_default();
                    let leaving = status["leaving_targets"]
                        .as_array()
                        .cloned()
                        .unwrap_or_default();
                    targets
                        .iter()
                        .all(|target| leaving.iter().any(|name| name == target))
                },
            )
            .await?;
        }
        Ok(())
    }
}
