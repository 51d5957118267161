use {
    crate::{SheetAction, SheetReport},
    base::SheetVersion,
    std::{collections::BTreeSet, mem},
};

/// Largest number of refused sheets, and of reports, that are remembered; beyond it the lowest
/// versions are forgotten first.
const MAX_REMEMBERED: usize = 256;

/// Remembers refused sheets and sent reports, so that no sheet is checked again after a refusal and
/// no report is repeated.
#[derive(Debug, Default)]
pub(crate) struct ReportHistory {
    /// Version and digest of each refused sheet.
    refused: BTreeSet<(SheetVersion, String)>,
    /// Version of each report, with its kind and subject in one text.
    reported: BTreeSet<(SheetVersion, String)>,
}

impl ReportHistory {
    /// Adds a report to the actions unless an equal one was made before. `subject` tells reports of
    /// the same kind and version apart.
    pub(crate) fn report_once(
        &mut self,
        report: SheetReport,
        subject: &str,
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
        let report_key = (version, format!("{kind:?} {subject}"));
        if insert_bounded(&mut self.reported, report_key) {
            actions.push(SheetAction::Report { report });
        }
    }

    /// Remembers that a sheet was refused.
    pub(crate) fn record_refusal(&mut self, version: SheetVersion, digest: String) {
        insert_bounded(&mut self.refused, (version, digest));
    }

    /// Returns true if the sheet was refused.
    pub(crate) fn is_refused(&self, version: SheetVersion, digest: &str) -> bool {
        let mut refused = self.refused.iter();
        refused.any(|(other, known)| *other == version && is_same_digest(known, digest))
    }

    /// Forgets everything about versions up to this one, which is now in force.
    pub(crate) fn forget_up_to(&mut self, version: SheetVersion) {
        self.refused.retain(|(refused, _)| *refused > version);
        self.reported.retain(|(reported, _)| *reported > version);
    }
}

/// Inserts the key and returns true unless the set has it already. Removes the lowest key if the
/// set grows too large.
fn insert_bounded(
    keys: &mut BTreeSet<(SheetVersion, String)>,
    key: (SheetVersion, String),
) -> bool {
    let is_new = keys.insert(key);
    if keys.len() > MAX_REMEMBERED {
        keys.pop_first();
    }
    is_new
}

/// Returns true if the digests are equal or one is a prefix of the other; heartbeats carry only a
/// prefix.
pub(crate) fn is_same_digest(left: &str, right: &str) -> bool {
    left.starts_with(right) || right.starts_with(left)
}
