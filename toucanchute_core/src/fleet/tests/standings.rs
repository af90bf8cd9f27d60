//! What routers know of requests under which backend servers ended, when words are lost.

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{FleetMessage, Standing, Verdict},
};

use super::peers::linked;
use crate::fleet::{Action, Event, Fleet};

/// Age of a view from which on a router reads the store itself.
const VIEW_AGE: Millis = Millis(1_400);

/// Time after which no word is told any more by itself.
const TOLD: u64 = 10_000;

/// Time in which a router has to learn what its peers know, in milliseconds.
const LEARN_TIME: u64 = 2_000;

const POISON: Digest = Digest(7);

fn quarantine(until: u64) -> Verdict {
    Verdict {
        digest: POISON,
        standing: Standing::Quarantined,
        router: Incarnation(1),
        crash: None,
        claim: None,
        until: Millis(until),
    }
}

fn sent(out: Vec<Action>, to: u64) -> Vec<FleetMessage> {
    let message = |a| match a {
        Action::Send { to: peer, message } if peer == Incarnation(to) => Some(*message),
        _ => None,
    };
    out.into_iter().filter_map(message).collect()
}

/// Two routers with a link, which loses what `lossy` says.
struct Pair {
    routers: [Fleet; 2],
    /// Words that the second router's dispatcher heard.
    heard: Vec<Verdict>,
    /// Messages that arrived, and words in them.
    messages: usize,
    words: usize,
    now: u64,
}

impl Pair {
    fn new() -> Pair {
        Pair {
            routers: [linked(1, [2], VIEW_AGE), linked(2, [1], VIEW_AGE)],
            heard: Vec::new(),
            messages: 0,
            words: 0,
            now: 0,
        }
    }

    /// Lets time pass; what the first router sends is lost if `lossy`.
    fn run(&mut self, span: u64, lossy: bool) {
        for _ in 0..span / Fleet::TICK.0 {
            self.now += Fleet::TICK.0;
            let mut outs = [Vec::new(), Vec::new()];
            for (router, out) in self.routers.iter_mut().zip(&mut outs) {
                router.handle(Millis(self.now), Event::Tick, out);
            }
            let [first, second] = outs;
            self.deliver(first, second, lossy);
        }
    }

    fn deliver(&mut self, mut first: Vec<Action>, mut second: Vec<Action>, lossy: bool) {
        while !first.is_empty() || !second.is_empty() {
            let to_second = sent(std::mem::take(&mut first), 2);
            let to_first = sent(std::mem::take(&mut second), 1);
            for message in to_second.into_iter().filter(|_| !lossy) {
                self.tell(1, message, &mut second);
            }
            for message in to_first {
                self.tell(0, message, &mut first);
            }
        }
    }

    fn tell(&mut self, to: usize, message: FleetMessage, out: &mut Vec<Action>) {
        let from = Incarnation(2 - to as u64);
        self.messages += 1;
        self.words += message.gossip.verdicts.len();
        let message = Box::new(message);
        let event = Event::Message { from, message };
        self.routers[to].handle(Millis(self.now), event, out);
        let heard = out.iter().filter_map(|a| match a {
            Action::Verdict(v) if to == 1 => Some(v.clone()),
            _ => None,
        });
        self.heard.extend(heard);
    }

    /// Lets the first router's dispatcher say something.
    fn say(&mut self, v: Verdict, lossy: bool) {
        let mut out = Vec::new();
        self.routers[0].handle(Millis(self.now), Event::Verdict(v), &mut out);
        self.deliver(out, Vec::new(), lossy);
    }
}

// Guards against a router that missed the word of a quarantine and sends the request on for good.
#[test]
fn a_router_that_missed_a_quarantine_learns_it_later() {
    let mut pair = Pair::new();
    pair.run(1_000, false);
    pair.say(quarantine(600_000), true);
    pair.run(TOLD, true);
    assert!(pair.heard.is_empty());
    pair.run(LEARN_TIME, false);
    assert!(
        pair.heard
            .iter()
            .any(|v| v.standing == Standing::Quarantined)
    );
}

// Guards against tables of quarantines that are sent to and fro although they are the same.
#[test]
fn a_quarantine_that_both_know_is_not_told_again() {
    let mut pair = Pair::new();
    pair.run(1_000, false);
    pair.say(quarantine(600_000), false);
    pair.run(TOLD, false);
    let (words, messages) = (pair.words, pair.messages);
    pair.run(LEARN_TIME, false);
    assert!(pair.messages > messages);
    assert_eq!(pair.words, words);
}

// Guards against a quarantine that is forgotten when all routers are killed at once: the first ones
// by rendezvous hashing, and no others, see to it that it is written where it lasts.
#[test]
fn few_routers_see_to_it_that_a_quarantine_lasts() {
    let routers = 1..=30;
    let keeps = |i: u64| {
        let peers = (1..=30).filter(|&p| p != i);
        let mut router = linked(i, peers, VIEW_AGE);
        let mut out = Vec::new();
        router.handle(Millis(100), Event::Verdict(quarantine(600_000)), &mut out);
        out.iter().any(|a| matches!(a, Action::StoreQuarantine(_)))
    };
    let keepers = routers.filter(|&i| keeps(i)).count();
    assert!((1..=2).contains(&keepers), "{keepers}");
}

// Guards against a restarted fleet that knows of no quarantine: what was kept is told to all.
#[test]
fn a_kept_quarantine_is_told_to_dispatcher_and_peers() {
    let mut router = linked(1, [2], VIEW_AGE);
    let mut out = Vec::new();
    let over = Verdict {
        digest: Digest(8),
        ..quarantine(50)
    };
    let kept = Event::StoredQuarantines(vec![quarantine(600_000), over]);
    router.handle(Millis(100), kept, &mut out);
    let told = out.iter().filter_map(|a| match a {
        Action::Verdict(v) => Some(v.until),
        _ => None,
    });
    assert_eq!(told.collect::<Vec<_>>(), [Millis(600_000)]);
    let sent = sent(out, 2);
    assert!(sent.iter().any(|m| !m.gossip.verdicts.is_empty()));
}
