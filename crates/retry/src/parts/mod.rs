mod part_blame;
mod part_change;
mod part_evidence;
mod part_proofs;
mod part_tracker;
mod part_verdict;
mod trial_desk;

pub use {
    part_change::PartChange,
    part_evidence::{
        CrashKey, PartCrash, PartKey, PartNews, PartProof, crash_key, part_keys, request_key,
    },
    part_tracker::{CRASH_LIFETIME, PartTracker},
    part_verdict::PartVerdict,
    trial_desk::TrialDesk,
};
