use toucanchute_proto::streams::{SoftwareStreams, SoftwareVersion};

/// Software of the backend servers of one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: String,
    /// Version of the software; `None` if unknown, so that no other server may be taken to run it.
    pub software: Option<String>,
}

impl StreamOrigin {
    /// Creates an origin.
    #[must_use]
    pub fn new(service: &str, software: Option<&str>) -> StreamOrigin {
        StreamOrigin {
            service: service.to_owned(),
            software: software.map(str::to_owned),
        }
    }

    pub(super) fn of(software: &SoftwareStreams) -> StreamOrigin {
        StreamOrigin::new(&software.service, software.version.as_deref())
    }

    pub(super) fn of_version(version: &SoftwareVersion) -> StreamOrigin {
        StreamOrigin::new(&version.service, version.version.as_deref())
    }

    pub(super) fn to_version(&self) -> SoftwareVersion {
        SoftwareVersion {
            service: self.service.clone(),
            version: self.software.clone(),
        }
    }
}
