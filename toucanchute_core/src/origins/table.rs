use std::collections::BTreeMap;

use toucanchute_proto::Millis;

use super::{StreamId, StreamOrigin};

/// Most streams in a table; of more, those that are forgotten next go first.
pub(super) const MAX_STREAMS: usize = 16_384;

/// What began streams, each remembered until a time of its own.
#[derive(Debug, Default)]
pub(super) struct StreamTable {
    /// Streams with the time at which they are forgotten.
    streams: BTreeMap<StreamId, (StreamOrigin, Millis)>,
}

impl StreamTable {
    /// Adds a stream, which is remembered until `until`.
    pub(super) fn insert(
        &mut self,
        now: Millis,
        stream: StreamId,
        origin: StreamOrigin,
        until: Millis,
    ) {
        if self.streams.len() >= MAX_STREAMS {
            self.make_room(now);
        }
        self.streams.insert(stream, (origin, until));
    }

    /// Adds a stream unless it is in the table.
    pub(super) fn insert_missing(
        &mut self,
        now: Millis,
        stream: StreamId,
        origin: &StreamOrigin,
        until: Millis,
    ) {
        if !self.streams.contains_key(&stream) {
            self.insert(now, stream, origin.clone(), until);
        }
    }

    /// Forgets the streams whose time has come.
    pub(super) fn forget_old(&mut self, now: Millis) {
        self.streams.retain(|_, (_, until)| *until > now);
    }

    /// Returns what began a stream.
    pub(super) fn get(&self, stream: StreamId) -> Option<&StreamOrigin> {
        self.streams.get(&stream).map(|(origin, _)| origin)
    }

    /// Returns the streams and what began them.
    pub(super) fn iter(&self) -> impl Iterator<Item = (StreamId, &StreamOrigin)> {
        self.streams.iter().map(|(&s, (origin, _))| (s, origin))
    }

    /// Returns what began the streams, one entry a stream.
    pub(super) fn origins(&self) -> impl Iterator<Item = &StreamOrigin> {
        self.iter().map(|(_, origin)| origin)
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.streams.len()
    }

    /// Forgets streams until there is room for another one.
    fn make_room(&mut self, now: Millis) {
        self.forget_old(now);
        while self.streams.len() >= MAX_STREAMS {
            let next = self.streams.iter().min_by_key(|(_, (_, until))| *until);
            let Some(stream) = next.map(|(&stream, _)| stream) else {
                return;
            };
            self.streams.remove(&stream);
        }
    }
}
