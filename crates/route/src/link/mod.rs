mod check_choice;
mod target_link;

pub use {
    check_choice::pick_checks,
    target_link::{LinkChange, TargetLink},
};
