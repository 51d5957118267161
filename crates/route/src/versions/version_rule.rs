use {
    plan::SoftwareVersion,
    serde::{Deserialize, Serialize},
};

/// The software versions at which a request may run.
///
/// What targets of two versions write does not fit together, so a stream goes on only at the version
/// that began it. A version that is not known is equal to none.
///
/// ```
/// use route::VersionRule;
///
/// let begun = VersionRule::begun_at(Some(String::from("v1")));
/// assert!(begun.accepts(Some("v1")));
/// assert!(!begun.accepts(Some("v2")) && !begun.accepts(None));
/// assert!(!VersionRule::begun_at(None).accepts(None));
/// assert!(VersionRule::Any.accepts(None));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionRule {
    /// Any version: the caller has nothing of the answer yet.
    #[default]
    Any,
    /// The version that began the stream.
    Only(SoftwareVersion),
    /// None: the version that began the stream is not known.
    Nowhere,
}

impl VersionRule {
    /// Returns the rule for a stream whose first event came from a target of this version.
    pub fn begun_at(version: Option<SoftwareVersion>) -> Self {
        version.map_or(Self::Nowhere, Self::Only)
    }

    /// Returns true if a target of this version may run the request; `None` if its version is not
    /// known.
    pub fn accepts(&self, version: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(begun) => version == Some(begun),
            Self::Nowhere => false,
        }
    }
}
