use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::index};
use yare::parameterized;

use super::*;

/// Time for which these tests keep copies.
const KEEP: Millis = Millis(20_000);

const START: Millis = Millis(1);

/// Processor capacity of a small and of a large host, in thousandths of a core.
const CAPACITIES: [u32; 2] = [120, 500];

/// Routers that exchange messages without a network.
struct Fleet {
    routers: BTreeMap<Incarnation, OriginCopies>,
    members: Vec<MemberView>,
}

fn member(index: u64) -> MemberView {
    MemberView {
        incarnation: Incarnation(index + 1),
        host: format!("host-{index}"),
        failure_domain: format!("domain-{}", index % 4),
        region: String::new(),
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        capacity: CAPACITIES[usize::from(index.is_multiple_of(9))],
        bandwidth: 0,
        list_share: 8,
        state: MemberState::Alive,
        ended: false,
        outage: false,
    }
}

fn origin() -> StreamOrigin {
    StreamOrigin::new("model", Some("v1"))
}

impl Fleet {
    fn new(size: u64) -> Fleet {
        let members: Vec<MemberView> = (0..size).map(member).collect();
        let routers = members.iter();
        let routers = routers.map(|m| (m.incarnation, OriginCopies::default()));
        let mut fleet = Fleet {
            routers: routers.collect(),
            members,
        };
        fleet.spread_members();
        fleet
    }

    /// Sets each router's members to those of the fleet but itself.
    fn spread_members(&mut self) {
        for (&id, router) in &mut self.routers {
            let others = self.members.iter().filter(|m| m.incarnation != id);
            let others: Vec<MemberView> = others.cloned().collect();
            router.set_members(&others);
        }
    }

    /// Delivers all messages; those to routers that are lost vanish. Returns what they settled at `router`.
    fn deliver(&mut self, now: Millis, router: Incarnation) -> Vec<CopyEvent> {
        let mut events = Vec::new();
        loop {
            let sent: Vec<(Incarnation, AddressedMessage)> = self
                .routers
                .iter_mut()
                .flat_map(|(&from, r)| r.messages().into_iter().map(move |m| (from, m)))
                .collect();
            if sent.is_empty() {
                return events;
            }
            for (from, (to, message)) in sent {
                let receiver = self.routers.get_mut(&to);
                let event = receiver.and_then(|r| r.receive(now, from, message));
                events.extend(event.filter(|_| to == router));
            }
        }
    }

    /// Begins a stream at `router`. Returns whether another router acknowledged a copy.
    fn begin(&mut self, now: Millis, router: Incarnation, stream: StreamId) -> bool {
        let copies = self.routers.get_mut(&router).unwrap();
        let seq = copies.copy(stream, &origin(), KEEP).unwrap();
        self.deliver(now, router).contains(&CopyEvent::Copied(seq))
    }

    /// Returns what `router` finds by its own copies and by asking others.
    fn find(&mut self, now: Millis, router: Incarnation, stream: StreamId) -> Option<StreamOrigin> {
        let copies = self.routers.get_mut(&router).unwrap();
        if let Some(held) = copies.find_held(stream) {
            return Some(held);
        }
        copies.ask(stream)?;
        let events = self.deliver(now, router).into_iter();
        let mut found = events.filter_map(|e| match e {
            CopyEvent::Answered(_, origin) => origin,
            CopyEvent::Copied(_) => None,
        });
        found.next()
    }

    /// Returns the routers that hold a copy.
    fn holders(&self, stream: StreamId) -> BTreeSet<Incarnation> {
        let holders = self.routers.iter();
        let holders = holders.filter(|(_, r)| r.find_held(stream).is_some());
        holders.map(|(&id, _)| id).collect()
    }

    fn lose(&mut self, routers: &BTreeSet<Incarnation>) {
        self.routers.retain(|id, _| !routers.contains(id));
    }

    /// Removes lost routers from the members of all others.
    fn notice_losses(&mut self) {
        let routers = &self.routers;
        self.members
            .retain(|m| routers.contains_key(&m.incarnation));
        self.spread_members();
    }

    /// Starts the routers of these hosts again.
    fn restart(&mut self, lost: &BTreeSet<Incarnation>) {
        for &Incarnation(id) in lost {
            let again = Incarnation(id + 1_000_000);
            let incarnation = again;
            let view = member(id - 1);
            self.members.push(MemberView {
                incarnation,
                ..view
            });
            self.routers.insert(again, OriginCopies::default());
        }
        self.spread_members();
    }

    fn any_router(&self, rng: &mut SmallRng) -> Incarnation {
        let ids: Vec<Incarnation> = self.routers.keys().copied().collect();
        ids[rng.random_range(0..ids.len())]
    }
}

fn stream(i: u64) -> StreamId {
    StreamId::new("north", &i.to_be_bytes())
}

/// Guards against streams that nobody can take up after the loss of the router that began them, however
/// young they are (LOST).
#[parameterized(two = { 2 }, seven = { 7 }, seventy = { 70 }, target = { 420 })]
fn a_stream_is_found_after_the_loss_of_its_router(size: u64) {
    let mut rng = SmallRng::seed_from_u64(size);
    let mut fleet = Fleet::new(size);
    let lost = fleet.any_router(&mut rng);
    for i in 0..100 {
        assert!(fleet.begin(START, lost, stream(i)));
    }
    fleet.lose(&BTreeSet::from([lost]));
    for i in 0..100 {
        let asking = fleet.any_router(&mut rng);
        assert_eq!(fleet.find(START, asking, stream(i)), Some(origin()));
    }
}

/// What the members of a fleet know of routers that were lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Knowledge {
    /// They have not noticed the loss.
    Before,
    /// They have noticed it.
    Noticed,
    /// The routers have started again.
    Restarted,
}

/// Guards against streams that nobody can take up after the loss of six in ten routers (LOST).
#[parameterized(
    at_once = { Knowledge::Before },
    noticed = { Knowledge::Noticed },
    restarted = { Knowledge::Restarted },
)]
fn most_streams_are_found_after_the_loss_of_most_routers(knowledge: Knowledge) {
    const SIZE: usize = 70;
    const ROUNDS: u64 = 40;
    let (mut found, mut all) = (0, 0);
    for seed in 0..ROUNDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(SIZE as u64);
        let lost = index::sample(&mut rng, SIZE, SIZE * 6 / 10).into_iter();
        let lost: BTreeSet<Incarnation> = lost.map(|i| Incarnation(i as u64 + 1)).collect();
        for (i, &router) in (0..).zip(&lost) {
            assert!(fleet.begin(START, router, stream(i)));
        }
        fleet.lose(&lost);
        if knowledge != Knowledge::Before {
            fleet.notice_losses();
        }
        if knowledge == Knowledge::Restarted {
            fleet.restart(&lost);
        }
        for i in 0..lost.len() as u64 {
            let asking = fleet.any_router(&mut rng);
            all += 1;
            found += usize::from(fleet.find(START, asking, stream(i)).is_some());
        }
    }
    assert!(8 * found > 6 * all, "{found} of {all}");
}

/// Guards against a copy that is not found because the routers that were lost have started again (LOST).
#[test]
fn a_stream_is_found_while_one_holder_lives() {
    let mut rng = SmallRng::seed_from_u64(1);
    for i in 0..200 {
        let mut fleet = Fleet::new(70);
        let router = fleet.any_router(&mut rng);
        assert!(fleet.begin(START, router, stream(i)));
        let mut lost = fleet.holders(stream(i));
        let survivor = lost.iter().nth(rng.random_range(0..COPIES)).copied();
        lost.remove(&survivor.unwrap());
        lost.insert(router);
        fleet.lose(&lost);
        fleet.notice_losses();
        fleet.restart(&lost);
        let asking = fleet.any_router(&mut rng);
        assert_eq!(fleet.find(START, asking, stream(i)), Some(origin()));
    }
}

/// Guards against links of all routers with all.
#[test]
fn copies_of_a_router_go_to_few_others() {
    let mut fleet = Fleet::new(420);
    let router = fleet.routers.get_mut(&Incarnation(1)).unwrap();
    for i in 0..2_000 {
        router.copy(stream(i), &origin(), KEEP);
    }
    let holders: BTreeSet<Incarnation> = router.messages().iter().map(|(to, _)| *to).collect();
    assert!(holders.len() <= GROUPS * COPIES, "{}", holders.len());
}

/// Guards against copies that are sent to routers that leave or are not reached.
#[parameterized(
    leaving = { MemberState::Leaving, false },
    suspect = { MemberState::Suspect, false },
    ended = { MemberState::Alive, true },
)]
fn only_live_routers_hold_copies(state: MemberState, ended: bool) {
    let mut copies = OriginCopies::default();
    copies.set_members(&[MemberView {
        state,
        ended,
        ..member(1)
    }]);
    assert_eq!(copies.copy(stream(1), &origin(), KEEP), None);
    assert_eq!(copies.ask(stream(1)), None);
}

/// Guards against an event that waits for all copies.
#[test]
fn the_first_acknowledgement_settles_a_copy() {
    let mut fleet = Fleet::new(7);
    let router = Incarnation(1);
    let copies = fleet.routers.get_mut(&router).unwrap();
    let seq = copies.copy(stream(1), &origin(), KEEP).unwrap();
    assert_eq!(fleet.deliver(START, router), vec![CopyEvent::Copied(seq)]);
}

/// Guards against a caller that waits for routers that all answered.
#[test]
fn a_stream_that_no_router_knows_is_answered() {
    let mut fleet = Fleet::new(7);
    let router = Incarnation(1);
    let seq = fleet.routers.get_mut(&router).unwrap().ask(stream(1));
    let unknown = CopyEvent::Answered(seq.unwrap(), None);
    assert_eq!(fleet.deliver(START, router), vec![unknown]);
}

/// Guards against an answer that arrives after its request was given up, and settles another one.
#[test]
fn a_late_answer_settles_nothing() {
    let mut fleet = Fleet::new(7);
    let router = Incarnation(1);
    let copies = fleet.routers.get_mut(&router).unwrap();
    let asked = copies.ask(stream(1)).unwrap();
    let copied = copies.copy(stream(2), &origin(), KEEP).unwrap();
    copies.give_up(asked);
    copies.give_up(copied);
    assert_eq!(fleet.deliver(START, router), Vec::new());
}

/// Guards against memory that grows with each stream, and against the origin of an attempt that is used again.
#[test]
fn a_copy_is_forgotten_in_time() {
    let mut fleet = Fleet::new(2);
    fleet.begin(START, Incarnation(1), stream(1));
    let other = Incarnation(2);
    let asking = Incarnation(1);
    let end = START + KEEP;
    assert!(fleet.find(end - Millis(1), asking, stream(1)).is_some());
    assert!(fleet.find(end, asking, stream(1)).is_none());
    assert!(fleet.routers[&other].find_held(stream(1)).is_none());
}
