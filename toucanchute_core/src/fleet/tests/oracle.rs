//! Guarantees of the fleet, checked without access to its internal state.

use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{Incarnation, Millis};

use super::{
    steps::Listed,
    world::{BACKENDS, ROUTERS, Router, World, backend},
};
use crate::fleet::NotReady;

/// Time by which a withdrawal is in force on every router that takes work.
const WITHDRAWAL: Millis = Millis(3_000);

/// Time by which a configuration is in force on every router that takes work.
const CONFIG: Millis = Millis(4_000);

/// Time after an outage within which changes reach a router that took work during it.
const RECOVERY: Millis = Millis(1_500);

/// Greatest age of address lists in the tests' configuration.
const MAX_AGE: Millis = Millis(2_000);

/// The guarantee that was broken.
pub(super) type Violation = String;

#[derive(Default)]
pub(super) struct Oracle {
    /// Since when each backend server has been withdrawn.
    withdrawn: [Option<Millis>; BACKENDS],
    /// Version of the newest configuration and when the first router read it.
    accepted: (u64, Millis),
    /// When each leaving router was requested to shut down.
    drains: BTreeMap<Incarnation, Millis>,
    /// Routers that have been in an address list that they published themselves.
    listed_once: BTreeSet<Incarnation>,
    /// Leaving routers that have received the request to shut down.
    received_drain: BTreeSet<Incarnation>,
}

fn check(holds: bool, guarantee: &str) -> Result<(), Violation> {
    if holds {
        Ok(())
    } else {
        Err(guarantee.to_owned())
    }
}

impl Oracle {
    /// Records the head when a router reads it. Before that no router can know it.
    pub(super) fn read_head(&mut self, now: Millis, version: u64) {
        if version > self.accepted.0 {
            self.accepted = (version, now);
        }
    }

    /// Records the host list when a router reads it. Before that no router can know it.
    pub(super) fn read_hosts(&mut self, now: Millis, listed: &[Listed]) {
        // A list without any backend server withdraws none for a router that never read one with
        // any.
        let lists_none = listed.iter().all(|l| *l == Listed::Absent);
        for (since, state) in self.withdrawn.iter_mut().zip(listed) {
            match state {
                Listed::Live => *since = None,
                _ if lists_none => *since = None,
                Listed::Leaving | Listed::Absent => *since = since.or(Some(now)),
            }
        }
    }

    pub(super) fn leaves(&self, id: Incarnation) -> bool {
        self.drains.contains_key(&id)
    }

    pub(super) fn draining(&mut self, now: Millis, id: Incarnation) {
        self.drains.entry(id).or_insert(now);
    }

    pub(super) fn in_force(&self, old: u64, new: u64, accepted: u64) -> Result<(), Violation> {
        check(new > old, "versions in force rise")?;
        check(new <= accepted, "only accepted configurations are in force")
    }

    pub(super) fn ready(
        &self,
        now: Millis,
        id: Incarnation,
        ready: Result<(), NotReady>,
    ) -> Result<(), Violation> {
        let Some(&since) = self.drains.get(&id) else {
            return Ok(());
        };
        let refuses = matches!(ready, Err(NotReady::Draining { .. }));
        let early = refuses && now < since + MAX_AGE;
        let listed = self.listed_once.contains(&id);
        check(
            !early || !listed,
            "a leaving router accepts until lists expire",
        )
    }

    /// Records that a router is about to receive the request to shut down.
    pub(super) fn receives_drain(&mut self, id: Incarnation) {
        self.received_drain.insert(id);
    }

    pub(super) fn listed(&mut self, id: Incarnation, listed: bool) -> Result<(), Violation> {
        if listed {
            self.listed_once.insert(id);
        }
        check(
            !listed || !self.received_drain.contains(&id),
            "a leaving router lists itself no more",
        )
    }

    pub(super) fn returning(&self, busy: u64) -> Result<(), Violation> {
        check(busy == 0, "a leaving router finishes its requests")
    }

    /// Checks all routers that take work.
    pub(super) fn check(&self, world: &World) -> Result<(), Violation> {
        for i in 0..ROUTERS {
            let r = &world.routers[i];
            let takes_work = r.ready.is_ok() && r.frozen <= world.now && !r.exited;
            let excused = world.now.since(r.cut_off) < RECOVERY;
            if takes_work && !excused {
                self.check_view(world.now, r)?;
            }
        }
        Ok(())
    }

    fn check_view(&self, now: Millis, r: &Router) -> Result<(), Violation> {
        for (i, since) in self.withdrawn.iter().enumerate() {
            let late = since.is_some_and(|at| now.since(at) > WITHDRAWAL);
            let known = r.withdrawn.contains(&backend(i));
            check(!late || known, "a withdrawal is in force within 3 s")?;
        }
        let (version, at) = self.accepted;
        let late = now.since(at) > CONFIG;
        check(
            !late || r.version >= version,
            "a configuration is in force within 4 s",
        )
    }

    /// Checks a world without faults after it has had time to converge.
    pub(super) fn check_settled(world: &World) -> Result<(), Violation> {
        for r in &world.routers {
            check(r.ready.is_ok(), "without faults every router takes work")?;
            check(
                r.version == world.version,
                "a configuration is in force within 4 s",
            )?;
            let all = r.addresses.len() == ROUTERS;
            check(all, "without faults every router is listed")?;
            for (i, listed) in world.listed.iter().enumerate() {
                let withdrawn = r.withdrawn.contains(&backend(i));
                check(
                    withdrawn || *listed == Listed::Live,
                    "a withdrawal is in force within 3 s",
                )?;
                let usable = !withdrawn || *listed != Listed::Live;
                check(usable, "a listed backend server is used")?;
            }
        }
        Ok(())
    }
}
