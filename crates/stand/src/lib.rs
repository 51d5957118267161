//! Stand-ins of the systems around camphorramp.
