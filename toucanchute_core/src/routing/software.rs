/// Which version of its software a backend server needs to run a request.
///
/// What two versions write does not fit together, so a stream may go on only at the version that began
/// it.
///
/// ```
/// use toucanchute_core::routing::SoftwareNeed;
///
/// let begun = SoftwareNeed::of_stream(Some("v1"));
/// assert!(begun.admits(Some("v1")));
/// assert!(!begun.admits(Some("v2")));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoftwareNeed {
    /// Any version: the caller has nothing of the response yet.
    #[default]
    Any,
    /// The version that began the response.
    Version(String),
    /// The version that began the response is not known, so that no backend server may go on with it.
    Unknown,
}

impl SoftwareNeed {
    /// Returns the need of a stream that a backend server with `software` has begun.
    #[must_use]
    pub fn of_stream(software: Option<&str>) -> SoftwareNeed {
        match software {
            Some(version) => SoftwareNeed::Version(version.to_owned()),
            None => SoftwareNeed::Unknown,
        }
    }

    /// Whether a backend server with `software` may run the request.
    #[must_use]
    pub fn admits(&self, software: Option<&str>) -> bool {
        match self {
            SoftwareNeed::Any => true,
            SoftwareNeed::Version(version) => software == Some(version),
            SoftwareNeed::Unknown => false,
        }
    }
}
