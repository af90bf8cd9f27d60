//! Which software began the streams that callers may take up again.
//!
//! What two versions of a backend server's software write does not fit together. A caller that takes a
//! stream up names the attempt that brought its first event, and [`StreamOrigins`] tells which software
//! that was: from the streams of this router, from the records of all routers, or because one version
//! serves only. Other routers know by their [`OriginCopies`]. What none of these tells is unknown.

mod copies;
mod id;
mod origin;
mod table;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{
    Millis,
    streams::{SoftwareStreams, StreamRecord},
};

pub use copies::{AddressedMessage, CopyEvent, OriginCopies};
pub use id::StreamId;
pub use origin::StreamOrigin;
use table::StreamTable;

/// Time for which a stream of an earlier run of this router is remembered.
const ADOPTED_TIME: Millis = Millis(60_000);

/// Software that began the streams of one router lately.
///
/// ```
/// use toucanchute_core::origins::{StreamId, StreamOrigin, StreamOrigins};
/// use toucanchute_proto::Millis;
///
/// let mut origins = StreamOrigins::default();
/// let stream = StreamId::new("north", b"a1");
/// let origin = StreamOrigin::new("model", Some("v1"));
/// origins.record(Millis(0), stream, origin.clone(), Millis(20_000));
/// assert_eq!(origins.find(stream, "model", &[]), Some(origin));
/// ```
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// Streams of this router.
    begun: StreamTable,
    /// Software of the backend servers that are registered.
    registered: BTreeSet<StreamOrigin>,
}

impl StreamOrigins {
    /// Sets the software of the backend servers that are registered now. Returns whether it changed.
    pub fn set_registered(&mut self, registered: BTreeSet<StreamOrigin>) -> bool {
        let changed = self.registered != registered;
        self.registered = registered;
        changed
    }

    /// Records that a stream began, or goes on, at `origin`. It is remembered until `until`.
    pub fn record(&mut self, now: Millis, stream: StreamId, origin: StreamOrigin, until: Millis) {
        self.begun.insert(now, stream, origin, until);
    }

    /// Takes over the streams of an earlier run of this router.
    pub fn adopt(&mut self, now: Millis, record: &StreamRecord) {
        for software in &record.software {
            let origin = StreamOrigin::of(software);
            for &stream in &software.streams {
                let until = now + ADOPTED_TIME;
                self.begun
                    .insert_missing(now, StreamId(stream), &origin, until);
            }
        }
    }

    /// Returns what began a stream, if it is known. `service` is the service that would go on with it
    /// and `records` are those of all routers, of which the one of this router may be older.
    #[must_use]
    pub fn find(
        &self,
        stream: StreamId,
        service: &str,
        records: &[StreamRecord],
    ) -> Option<StreamOrigin> {
        self.find_own(stream)
            .or_else(|| find_recorded(stream, records))
            .or_else(|| self.sole_software(service, records))
    }

    /// Returns what began a stream of this router.
    #[must_use]
    pub fn find_own(&self, stream: StreamId) -> Option<StreamOrigin> {
        self.begun.get(stream).cloned()
    }

    /// Returns the record of this router's streams. It names streams only of services with several
    /// versions, since one version answers for all others.
    pub fn to_record(&mut self, now: Millis) -> StreamRecord {
        self.begun.forget_old(now);
        let used = self.begun.origins();
        let mut streams: BTreeMap<&StreamOrigin, Vec<u64>> = self
            .registered
            .iter()
            .chain(used)
            .map(|o| (o, Vec::new()))
            .collect();
        let services: Vec<&str> = streams.keys().map(|o| o.service.as_str()).collect();
        let has_several = |service: &str| services.iter().filter(|s| **s == service).count() > 1;
        let several: BTreeSet<&str> = services
            .iter()
            .copied()
            .filter(|s| has_several(s))
            .collect();
        for (stream, origin) in self.begun.iter() {
            if several.contains(origin.service.as_str())
                && let Some(streams) = streams.get_mut(origin)
            {
                streams.push(stream.0);
            }
        }
        let software = streams
            .into_iter()
            .map(|(origin, streams)| SoftwareStreams {
                service: origin.service.clone(),
                version: origin.software.clone(),
                streams,
            });
        StreamRecord {
            software: software.collect(),
        }
    }

    /// Whether several versions serve in `service`, or began streams that may be taken up.
    #[must_use]
    pub fn has_several_versions(&self, service: &str) -> bool {
        let mut known = self.registered.iter().chain(self.begun.origins());
        let first = known.find(|o| o.service == service);
        known.any(|o| o.service == service && Some(o) != first)
    }

    /// Returns the software of a service if all routers know one version only.
    fn sole_software(&self, service: &str, records: &[StreamRecord]) -> Option<StreamOrigin> {
        let recorded = records.iter().flat_map(|r| &r.software);
        let recorded = recorded.map(StreamOrigin::of);
        let begun = self.begun.origins().cloned();
        let all = self.registered.iter().cloned().chain(begun).chain(recorded);
        let versions: BTreeSet<StreamOrigin> = all.filter(|o| o.service == service).collect();
        let mut versions = versions.into_iter();
        versions.next().filter(|_| versions.next().is_none())
    }
}

/// Returns what began a stream by the records of all routers, unless they contradict each other.
fn find_recorded(stream: StreamId, records: &[StreamRecord]) -> Option<StreamOrigin> {
    let software = records.iter().flat_map(|r| &r.software);
    let mut found = software.filter(|s| s.streams.contains(&stream.0));
    let first = StreamOrigin::of(found.next()?);
    let agrees = |s: &SoftwareStreams| StreamOrigin::of(s) == first;
    found.all(agrees).then_some(first)
}
