//! A published sheet is in force on every entry within seconds, and no entry reverts to an older
//! one, even if the configuration service serves old or conflicting sheets and entries restart.

mod conflicts;
mod spread;
mod watched_fleet;
