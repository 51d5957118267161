use base::SheetVersion;

/// Evidence that the sheet in force is the latest one that was in force anywhere. Without it a
/// daemon may have started from a stale configuration service.
#[derive(Debug, Default)]
pub(crate) struct SheetTrust {
    /// True if a peer has the same version in force. It may have started from the same stale
    /// service.
    agreed: bool,
    /// True if a peer that is itself vouched for has the same version in force, or if this daemon has
    /// moved to a later sheet while it ran.
    vouched: bool,
    /// Latest version known to have been in force anywhere.
    latest_version: SheetVersion,
    /// Latest version that a caller or an engine proved.
    proved_version: SheetVersion,
}

impl SheetTrust {
    /// Records that a peer or this daemon has a version in force.
    pub(crate) fn record_version(&mut self, version: SheetVersion) {
        self.latest_version = self.latest_version.max(version);
    }

    /// Records that a caller or an engine proved that a version was in force.
    pub(crate) fn record_proof(&mut self, version: SheetVersion) {
        self.record_version(version);
        self.proved_version = self.proved_version.max(version);
    }

    /// Records that a peer has the version that is in force here. Ignored unless that is the latest
    /// known version.
    pub(crate) fn record_agreement(&mut self, version: SheetVersion) {
        self.agreed |= version == self.latest_version;
    }

    /// Records that a vouched peer has the version that is in force here. Ignored unless that is the
    /// latest known version.
    pub(crate) fn record_vouch(&mut self, version: SheetVersion) {
        self.vouched |= version == self.latest_version;
    }

    /// Replaces the evidence when another sheet is put in force.
    pub(crate) fn reset(&mut self, version: SheetVersion, agreed: bool, vouched: bool) {
        self.record_version(version);
        (self.agreed, self.vouched) = (agreed, vouched);
    }

    /// Returns the latest version known to have been in force anywhere.
    pub(crate) fn latest_version(&self) -> SheetVersion {
        self.latest_version
    }

    /// Returns true if a starting peer may rely on the sheet in force here.
    pub(crate) fn is_vouched(&self) -> bool {
        self.vouched
    }

    /// Returns true if requests may run under this version. A proof of a later version outweighs
    /// the agreement of peers that are not vouched for.
    pub(crate) fn is_trusted(&self, version: SheetVersion) -> bool {
        let is_agreed = self.agreed && version >= self.proved_version;
        self.vouched || is_agreed || version >= self.latest_version
    }
}
