//! Membership: which entries and targets live, leave or are gone.
