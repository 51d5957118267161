use {
    crate::{SheetAction, SheetReport},
    base::SheetVersion,
    std::{collections::BTreeSet, mem},
};

/// Matters that are remembered; beyond this the lowest versions are forgotten first.
const MATTER_LIMIT: usize = 256;

/// Remembers what was refused and what was reported, so that neither is done twice.
#[derive(Debug, Default)]
pub(crate) struct ReportBook {
    refused: BTreeSet<(SheetVersion, String)>,
    reported: BTreeSet<(SheetVersion, String)>,
}

impl ReportBook {
    /// Reports a matter unless the same one was reported before; `about` tells apart matters of
    /// one kind and version.
    pub(crate) fn push(
        &mut self,
        report: SheetReport,
        about: &str,
        actions: &mut Vec<SheetAction>,
    ) {
        let version = match &report {
            SheetReport::Refused { version, .. }
            | SheetReport::PartsMismatch { version, .. }
            | SheetReport::Conflict { version, .. } => *version,
            SheetReport::StaleService { in_force, .. } => *in_force,
            SheetReport::LatestUnavailable { latest_version } => *latest_version,
        };
        let kind = mem::discriminant(&report);
        let matter = (version, format!("{kind:?} {about}"));
        if insert_bounded(&mut self.reported, matter) {
            actions.push(SheetAction::Report { report });
        }
    }

    /// Remembers a sheet that was refused.
    pub(crate) fn refuse(&mut self, version: SheetVersion, digest: String) {
        insert_bounded(&mut self.refused, (version, digest));
    }

    /// True if the sheet was refused.
    pub(crate) fn is_refused(&self, version: SheetVersion, digest: &str) -> bool {
        let mut refused = self.refused.iter();
        refused.any(|(other, known)| *other == version && is_same_digest(known, digest))
    }

    /// Forgets all that a sheet in force of this version has settled.
    pub(crate) fn forget_up_to(&mut self, version: SheetVersion) {
        self.refused.retain(|(refused, _)| *refused > version);
        self.reported.retain(|(reported, _)| *reported > version);
    }
}

/// `false` if the set holds the matter already.
fn insert_bounded(
    matters: &mut BTreeSet<(SheetVersion, String)>,
    matter: (SheetVersion, String),
) -> bool {
    let is_new = matters.insert(matter);
    if matters.len() > MATTER_LIMIT {
        matters.pop_first();
    }
    is_new
}

/// True if two digests are equal, or one is the head of the other, as in heartbeats.
pub(crate) fn is_same_digest(left: &str, right: &str) -> bool {
    left.starts_with(right) || right.starts_with(left)
}
