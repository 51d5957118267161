mod limit_desk;
mod limit_word;
mod target_limits;

pub use {
    limit_desk::LimitDesk,
    limit_word::{LimitWord, call_interval},
    target_limits::{LimitNotice, TargetLimits},
};
