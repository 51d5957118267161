use {
    crate::{FleetHarness, fleet_harness::PLATFORM, process_table::ProcessTable},
    base::{HostState, ListedTarget},
    serde::Serialize,
    stand::{PlatformFault, ProxyDestination, ProxyFault},
};

/// Faults that a test injects.
impl FleetHarness {
    /// Publishes in the host list that a target is live or leaving.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the host list.
    pub async fn publish_target_state(
        &mut self,
        name: &str,
        state: HostState,
    ) -> anyhow::Result<()> {
        self.hosts_mut()
            .targets
            .retain(|status| status.target != name);
        self.hosts_mut().targets.push(ListedTarget {
            target: name.to_string(),
            state,
        });
        self.publish_hosts().await
    }

    /// Changes the behaviour of a target's stand-in; see [`stand::StandControl`] for the keys.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept the change.
    pub async fn control_target(&self, target: &str, patch: &impl Serialize) -> anyhow::Result<()> {
        let url = format!("http://{}/control", self.target_address(target));
        self.probe().post(&url, patch).await?;
        Ok(())
    }

    /// Replaces the fault that the platform stand-in simulates.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the fault.
    pub async fn set_platform_fault(&self, fault: &PlatformFault) -> anyhow::Result<()> {
        let operators = self.process(PLATFORM).address("operators");
        let url = format!("http://{operators}/fault");
        self.probe().post(&url, fault).await?;
        Ok(())
    }

    /// Replaces the fault of the proxy in front of a target or entry that is planned as proxied.
    ///
    /// # Errors
    ///
    /// Fails if the proxy does not accept the fault.
    pub async fn set_proxy_fault(&self, name: &str, fault: &ProxyFault) -> anyhow::Result<()> {
        let operators = self
            .process(&ProcessTable::proxy_name(name))
            .address("operators");
        let url = format!("http://{operators}/fault");
        self.probe().post(&url, fault).await?;
        Ok(())
    }

    /// Partitions a host from its peers: nothing reaches its peer address, and its datagrams reach
    /// no other host. Every entry must be planned as proxied.
    ///
    /// # Errors
    ///
    /// Fails if a proxy does not accept the fault.
    pub async fn isolate_host(&self, host: &str) -> anyhow::Result<()> {
        let address = self.process(host).address("peers").parse()?;
        for entry in &self.plan().entries {
            let fault = ProxyFault {
                cut: entry.host == host,
                cut_sources: vec![address],
                ..ProxyFault::default()
            };
            self.set_proxy_fault(&entry.host, &fault).await?;
        }
        Ok(())
    }

    /// Clears the faults of the proxies in front of all entries, which ends a partition.
    ///
    /// # Errors
    ///
    /// Fails if a proxy does not accept the fault.
    pub async fn clear_entry_faults(&self) -> anyhow::Result<()> {
        for entry in &self.plan().entries {
            let fault = ProxyFault::default();
            self.set_proxy_fault(&entry.host, &fault).await?;
        }
        Ok(())
    }

    /// Sets the address to which the proxy of a host or target forwards connections and datagrams.
    pub(crate) async fn set_proxy_destination(
        &self,
        name: &str,
        address: &str,
    ) -> anyhow::Result<()> {
        let operators = self
            .process(&ProcessTable::proxy_name(name))
            .address("operators");
        let address = Some(address.parse()?);
        let destination = ProxyDestination {
            tcp: address,
            udp: address,
        };
        let url = format!("http://{operators}/to");
        self.probe().post(&url, &destination).await?;
        Ok(())
    }
}
