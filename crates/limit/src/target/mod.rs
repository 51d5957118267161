mod brittle_services;
mod limit_desk;
mod limit_word;
mod room_desk;
mod target_limits;

pub use {
    brittle_services::BrittleServices,
    limit_desk::LimitDesk,
    limit_word::{LimitWord, TargetWord, call_interval},
    room_desk::RoomDesk,
    target_limits::{LimitNotice, TargetLimits},
};
