//! Orders to engines: ownership of targets, wanted state, fencing numbers.
