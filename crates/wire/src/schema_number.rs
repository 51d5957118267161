/// Number of a schema: of the set of messages that a daemon can read; a larger one has more.
///
/// A message that is part of a schema never changes its encoding. A later schema adds variants at
/// the end of an enum, and each message is sealed with the lowest schema that has all its parts, so
/// that an older daemon reads all it knows. Variants of a later schema are sent only to daemons that
/// are known to read it.
pub type SchemaNumber = u8;

/// The oldest schema that is still read.
pub const OLDEST_SCHEMA: SchemaNumber = 1;
/// The schema of this build.
pub const NEWEST_SCHEMA: SchemaNumber = 3;
/// The newest schema that adds messages; none is sealed with a later one.
pub(crate) const NEWEST_MESSAGE_SCHEMA: SchemaNumber = 2;
