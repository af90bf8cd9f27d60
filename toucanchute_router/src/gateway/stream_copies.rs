//! Exchanges copies of what began streams with other routers.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};
use toucanchute_core::{
    fleet::MemberView,
    origins::{AddressedMessage, CopyEvent, OriginCopies, StreamId, StreamOrigin},
};
use toucanchute_proto::{Incarnation, Millis, peer::FrameKind, streams::StreamMessage};

use crate::{clock, link::Mesh};

/// Longest time for which the first event of a stream waits until another router holds a copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time for which a caller that takes a stream up waits for other routers' answers. Those that have
/// just been lost do not answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether another router holds a copy of what began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyResult {
    /// One version serves, which answers for all streams.
    NotNeeded,
    /// Another router has acknowledged a copy.
    Copied,
    /// No other router has acknowledged one in time.
    Late,
    /// No other router is known.
    Alone,
}

impl CopyResult {
    /// Returns the name in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            CopyResult::NotNeeded => "not-needed",
            CopyResult::Copied => "copied",
            CopyResult::Late => "late",
            CopyResult::Alone => "alone",
        }
    }
}

/// Sends copies to other routers, asks them, and holds theirs.
#[derive(Debug)]
pub(crate) struct StreamCopies {
    state: Mutex<State>,
    outbox: mpsc::UnboundedSender<AddressedMessage>,
}

#[derive(Debug, Default)]
struct State {
    machine: OriginCopies,
    /// Receivers of what settles each request, by its number.
    waiting: HashMap<u64, oneshot::Sender<CopyEvent>>,
}

/// A request to other routers; it is given up when dropped.
struct Pending<'a> {
    copies: &'a StreamCopies,
    seq: u64,
    settled: oneshot::Receiver<CopyEvent>,
}

impl StreamCopies {
    /// Creates copies whose messages go to `outbox`.
    pub(super) fn new(outbox: mpsc::UnboundedSender<AddressedMessage>) -> StreamCopies {
        StreamCopies {
            state: Mutex::default(),
            outbox,
        }
    }

    /// Creates copies whose messages go over `mesh`.
    pub(super) fn over(mesh: Mesh) -> StreamCopies {
        let (outbox, mut messages) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some((to, message)) = messages.recv().await {
                mesh.send::<StreamMessage>(to, FrameKind::Streams, &message);
            }
        });
        StreamCopies::new(outbox)
    }

    /// Sets the other members of the fleet.
    pub(super) fn set_members(&self, members: &[MemberView]) {
        self.lock().machine.set_members(members);
    }

    /// Sends copies of what began a stream to other routers, and waits until one of them has it.
    pub(super) async fn copy(
        &self,
        stream: StreamId,
        origin: &StreamOrigin,
        keep: Millis,
    ) -> CopyResult {
        let pending = self.request(|machine| machine.copy(stream, origin, keep));
        let Some(pending) = pending else {
            return CopyResult::Alone;
        };
        match pending.settled(COPY_TIMEOUT).await {
            Some(_) => CopyResult::Copied,
            None => CopyResult::Late,
        }
    }

    /// Returns what began a stream, by the copies of this router and of others.
    pub(super) async fn find(&self, stream: StreamId) -> Option<StreamOrigin> {
        let held = self.lock().machine.find_held(stream);
        if held.is_some() {
            return held;
        }
        let pending = self.request(|machine| machine.ask(stream))?;
        match pending.settled(ASK_TIMEOUT).await? {
            CopyEvent::Answered(_, origin) => origin,
            CopyEvent::Copied(_) => None,
        }
    }

    /// Handles a message of another router.
    pub(crate) fn receive(&self, from: Incarnation, message: StreamMessage) {
        let mut state = self.lock();
        let event = state.machine.receive(clock::now(), from, message);
        self.send(state.machine.messages());
        let Some(event) = event else { return };
        let (CopyEvent::Copied(seq) | CopyEvent::Answered(seq, _)) = event;
        if let Some(waiting) = state.waiting.remove(&seq) {
            // The request may have been given up in this moment.
            _ = waiting.send(event);
        }
    }

    /// Makes a request, if there are other routers.
    fn request(&self, make: impl FnOnce(&mut OriginCopies) -> Option<u64>) -> Option<Pending<'_>> {
        let mut state = self.lock();
        let seq = make(&mut state.machine)?;
        let (tx, settled) = oneshot::channel();
        state.waiting.insert(seq, tx);
        self.send(state.machine.messages());
        Some(Pending {
            copies: self,
            seq,
            settled,
        })
    }

    fn send(&self, messages: Vec<AddressedMessage>) {
        for message in messages {
            // The receiver ends with the process.
            _ = self.outbox.send(message);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pending<'_> {
    /// Waits until the request is settled; `None` if it is not in time.
    async fn settled(mut self, limit: Duration) -> Option<CopyEvent> {
        timeout(limit, &mut self.settled).await.ok()?.ok()
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let mut state = self.copies.lock();
        state.machine.give_up(self.seq);
        state.waiting.remove(&self.seq);
    }
}
