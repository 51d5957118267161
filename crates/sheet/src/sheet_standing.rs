use base::SheetVersion;

/// How far the sheet in force may be trusted to be the latest that was in force anywhere.
#[derive(Debug, Default)]
pub(crate) struct SheetStanding {
    /// A peer has the same sheet; it may have started from the same stale service.
    agreed: bool,
    /// A peer that is vouched for has the same sheet, or the service moved on while this daemon
    /// ran.
    vouched: bool,
    latest_version: SheetVersion,
    proved: SheetVersion,
}

impl SheetStanding {
    /// Takes in that a peer has this version in force, or that this daemon has.
    pub(crate) fn hear(&mut self, version: SheetVersion) {
        self.latest_version = self.latest_version.max(version);
    }

    /// Takes in that a caller or an engine proved a version.
    pub(crate) fn prove(&mut self, version: SheetVersion) {
        self.hear(version);
        self.proved = self.proved.max(version);
    }

    /// Takes in that a peer has the version that is in force here.
    pub(crate) fn agree(&mut self, version: SheetVersion) {
        self.agreed |= version == self.latest_version;
    }

    /// Takes in that a vouched peer has the version that is in force here.
    pub(crate) fn vouch(&mut self, version: SheetVersion) {
        self.vouched |= version == self.latest_version;
    }

    /// Takes in that another sheet was put in force.
    pub(crate) fn replace(&mut self, version: SheetVersion, agreed: bool, vouched: bool) {
        self.hear(version);
        (self.agreed, self.vouched) = (agreed, vouched);
    }

    /// Latest version that was in force anywhere, as far as is known.
    pub(crate) fn latest_version(&self) -> SheetVersion {
        self.latest_version
    }

    /// True if a peer that starts may rely on the sheet in force here.
    pub(crate) fn is_vouched(&self) -> bool {
        self.vouched
    }

    /// True if requests may run under this version. Peers that only agree are no match for a
    /// proof of a later one.
    pub(crate) fn is_trusted(&self, version: SheetVersion) -> bool {
        let agreed = self.agreed && version >= self.proved;
        self.vouched || agreed || version >= self.latest_version
    }
}
