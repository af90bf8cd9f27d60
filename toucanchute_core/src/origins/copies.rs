//! Copies of what began streams, which a few other routers hold.
//!
//! The first event of a stream waits until another router has acknowledged a copy, so that the stream can be
//! taken up after the loss of the router that relays it. The holders follow from the stream and the members of
//! the fleet alone, so that any router finds them.

use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{
    Incarnation, Millis,
    fleet::MemberState,
    streams::{OriginCopied, OriginCopy, OriginQuery, OriginReply, StreamMessage},
};

use super::{StreamId, StreamOrigin, table::StreamTable};
use crate::{fleet::MemberView, hash};

/// Number of routers that hold a copy. If six in ten routers are lost at once, seven in eight streams have a
/// copy left.
const COPIES: usize = 4;

/// Number of routers that are asked. It is one more than hold a copy, since the router that began the
/// stream holds none, and may be one of the first hosts itself.
const ASKED: usize = COPIES + 1;

/// Number of groups of streams; the streams of one have the same holders. It bounds the links that a router
/// needs for its copies in a large fleet.
const GROUPS: usize = 8;

/// A message to another router.
pub type AddressedMessage = (Incarnation, StreamMessage);

/// What another router's message settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyEvent {
    /// Another router holds the copy of this request.
    Copied(u64),
    /// The routers that were asked by this request answered; absent if none of them knows the stream.
    Answered(u64, Option<StreamOrigin>),
}

/// Decides which routers hold copies of what began streams, and holds those of others.
///
/// ```
/// use toucanchute_core::origins::OriginCopies;
///
/// // Without other routers there is nobody to hold a copy.
/// let mut copies = OriginCopies::default();
/// assert!(copies.messages().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct OriginCopies {
    /// The first other routers of each group of streams, in order.
    first: [Vec<Incarnation>; GROUPS],
    /// Copies of other routers' streams.
    held: StreamTable,
    next_seq: u64,
    /// Copies that no router has acknowledged.
    unacknowledged: BTreeSet<u64>,
    /// Routers that have not answered each question.
    unanswered: BTreeMap<u64, Vec<Incarnation>>,
    messages: Vec<AddressedMessage>,
}

impl OriginCopies {
    /// Sets the other members of the fleet.
    ///
    /// Hosts are ranked by name, so that a router that starts again takes the place of its earlier run and
    /// moves no copies of others.
    pub fn set_members(&mut self, members: &[MemberView]) {
        let alive = members.iter();
        let alive: Vec<&MemberView> = alive
            .filter(|m| m.state == MemberState::Alive && !m.ended)
            .collect();
        for (group, first) in self.first.iter_mut().enumerate() {
            let mut ranked: Vec<(f64, Incarnation)> = alive
                .iter()
                .map(|m| (rank(group, m), m.incarnation))
                .collect();
            ranked.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
            let ids = ranked.into_iter().map(|(_, id)| id);
            *first = ids.take(ASKED).collect();
        }
    }

    /// Sends copies of what began a stream to other routers, which keep them for `keep`. Returns the number of
    /// the request, or `None` if there are no other routers.
    pub fn copy(&mut self, stream: StreamId, origin: &StreamOrigin, keep: Millis) -> Option<u64> {
        let holders: Vec<_> = self.first(stream).iter().copied().take(COPIES).collect();
        if holders.is_empty() {
            return None;
        }
        let seq = self.next_seq();
        self.unacknowledged.insert(seq);
        let copy = OriginCopy {
            seq,
            stream: stream.0,
            origin: origin.to_version(),
            keep,
        };
        self.send_to_all(&holders, &StreamMessage::Copy(copy));
        Some(seq)
    }

    /// Asks other routers what began a stream. Returns the number of the request, or `None` if there are no
    /// other routers.
    pub fn ask(&mut self, stream: StreamId) -> Option<u64> {
        let asked = self.first(stream).to_vec();
        if asked.is_empty() {
            return None;
        }
        let seq = self.next_seq();
        let stream = stream.0;
        self.send_to_all(&asked, &StreamMessage::Find(OriginQuery { seq, stream }));
        self.unanswered.insert(seq, asked);
        Some(seq)
    }

    /// Stops waiting for answers to a request.
    pub fn give_up(&mut self, seq: u64) {
        self.unacknowledged.remove(&seq);
        self.unanswered.remove(&seq);
    }

    /// Returns what began another router's stream, if this router holds a copy.
    #[must_use]
    pub fn find_held(&self, stream: StreamId) -> Option<StreamOrigin> {
        self.held.get(stream).cloned()
    }

    /// Handles a message of another router. Returns what it settled.
    pub fn receive(
        &mut self,
        now: Millis,
        from: Incarnation,
        message: StreamMessage,
    ) -> Option<CopyEvent> {
        match message {
            StreamMessage::Copy(copy) => {
                let origin = StreamOrigin::of_version(&copy.origin);
                let until = now + copy.keep;
                self.held.insert(now, StreamId(copy.stream), origin, until);
                let copied = OriginCopied { seq: copy.seq };
                self.messages.push((from, StreamMessage::Copied(copied)));
                None
            }
            StreamMessage::Find(query) => {
                self.held.forget_old(now);
                let origin = self.held.get(StreamId(query.stream));
                let reply = OriginReply {
                    seq: query.seq,
                    origin: origin.map(StreamOrigin::to_version),
                };
                self.messages.push((from, StreamMessage::Found(reply)));
                None
            }
            StreamMessage::Copied(OriginCopied { seq }) => {
                let is_first = self.unacknowledged.remove(&seq);
                is_first.then_some(CopyEvent::Copied(seq))
            }
            StreamMessage::Found(reply) => self.receive_reply(from, &reply),
        }
    }

    /// Removes and returns the messages to other routers.
    pub fn messages(&mut self) -> Vec<AddressedMessage> {
        std::mem::take(&mut self.messages)
    }

    fn receive_reply(&mut self, from: Incarnation, reply: &OriginReply) -> Option<CopyEvent> {
        let seq = reply.seq;
        let unanswered = self.unanswered.get_mut(&seq)?;
        unanswered.retain(|&id| id != from);
        let origin = reply.origin.as_ref().map(StreamOrigin::of_version);
        if origin.is_none() && !unanswered.is_empty() {
            return None;
        }
        self.unanswered.remove(&seq);
        Some(CopyEvent::Answered(seq, origin))
    }

    fn first(&self, stream: StreamId) -> &[Incarnation] {
        let group = usize::try_from(stream.0 % GROUPS as u64).unwrap_or(0);
        &self.first[group]
    }

    fn send_to_all(&mut self, routers: &[Incarnation], message: &StreamMessage) {
        let to_each = routers.iter().map(|&to| (to, message.clone()));
        self.messages.extend(to_each);
    }

    fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }
}

/// Returns the rank of a member among the holders of a group of streams.
fn rank(group: usize, member: &MemberView) -> f64 {
    let hash = hash::mix(&[group as u64, hash::text(&member.host)]);
    hash::weighted_rank(hash, hash::host_weight(member.capacity))
}

#[cfg(test)]
mod tests;
