use {
    crate::{FleetHarness, fleet_harness::PLATFORM, process_table::ProcessTable},
    base::{HostState, TargetStatus},
    serde::Serialize,
    stand::{PlatformFault, ProxyDestination, ProxyFault},
};

/// Faults that a test causes.
impl FleetHarness {
    /// Publishes that a target is live or leaving, by the host list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not take it.
    pub async fn mark_target(&mut self, name: &str, state: HostState) -> anyhow::Result<()> {
        self.hosts_mut().targets.retain(|mark| mark.target != name);
        self.hosts_mut().targets.push(TargetStatus {
            target: name.to_string(),
            state,
        });
        self.publish_hosts().await
    }

    /// Changes the behaviour of a target; see [`stand::StandControl`] for the keys.
    ///
    /// # Errors
    ///
    /// Fails if the target does not take it.
    pub async fn control(&self, target: &str, patch: &impl Serialize) -> anyhow::Result<()> {
        let url = format!("http://{}/control", self.target_address(target));
        self.probe().post(&url, patch).await?;
        Ok(())
    }

    /// Sets the platform's fault.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not take it.
    pub async fn platform_fault(&self, fault: &PlatformFault) -> anyhow::Result<()> {
        let operators = self.process(PLATFORM).address("operators");
        let url = format!("http://{operators}/fault");
        self.probe().post(&url, fault).await?;
        Ok(())
    }

    /// Sets the whole fault of the proxy before a target or entry that is planned as proxied.
    ///
    /// # Errors
    ///
    /// Fails if the proxy does not take it.
    pub async fn proxy_fault(&self, name: &str, fault: &ProxyFault) -> anyhow::Result<()> {
        let operators = self
            .process(&ProcessTable::proxy_name(name))
            .address("operators");
        let url = format!("http://{operators}/fault");
        self.probe().post(&url, fault).await?;
        Ok(())
    }

    /// Cuts a host off from its peers: nothing reaches its peer address, and its datagrams reach
    /// no other. Every entry must be planned as proxied.
    ///
    /// # Errors
    ///
    /// Fails if a proxy does not take it.
    pub async fn isolate(&self, host: &str) -> anyhow::Result<()> {
        let address = self.process(host).address("peers").parse()?;
        for entry in &self.plan().entries {
            let fault = ProxyFault {
                cut: entry.host == host,
                cut_sources: vec![address],
                ..ProxyFault::default()
            };
            self.proxy_fault(&entry.host, &fault).await?;
        }
        Ok(())
    }

    /// Ends every fault between entries.
    ///
    /// # Errors
    ///
    /// Fails if a proxy does not take it.
    pub async fn rejoin(&self) -> anyhow::Result<()> {
        for entry in &self.plan().entries {
            let fault = ProxyFault::default();
            self.proxy_fault(&entry.host, &fault).await?;
        }
        Ok(())
    }

    /// Sets where the proxy of a host or target carries things.
    pub(crate) async fn aim_proxy(&self, name: &str, to: &str) -> anyhow::Result<()> {
        let operators = self
            .process(&ProcessTable::proxy_name(name))
            .address("operators");
        let address = Some(to.parse()?);
        let target = ProxyDestination {
            tcp: address,
            udp: address,
        };
        let url = format!("http://{operators}/to");
        self.probe().post(&url, &target).await?;
        Ok(())
    }
}
