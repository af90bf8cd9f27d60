//! Calls to the store, which may fail, take effect late, or be answered by an older copy.

use rand::Rng;
use toucanchute_core::{
    ledger::{StoreOp, StoreResult},
    prepaid::Event,
};
use toucanchute_proto::Incarnation;

use super::{Delivery, Simulation};

/// Time between two copies of the store, and the age of the oldest one that may come back, in
/// milliseconds.
const COPY_INTERVAL: u64 = 500;
const OLDEST_COPY: u64 = 20_000;

impl Simulation {
    /// Delivers the result of a call. A router that knows of a later era drops it.
    pub(super) fn deliver_result(
        &mut self,
        to: Incarnation,
        op: u64,
        era: u64,
        result: StoreResult,
    ) {
        let Some(i) = self.index(to) else {
            return;
        };
        let frozen_until = self.routers[i].frozen_until;
        if frozen_until > self.now {
            let wait = frozen_until - self.now;
            let delivery = Delivery::Result {
                to,
                op,
                era,
                result,
            };
            return self.schedule(wait, wait, delivery);
        }
        let known = self.routers[i].store_era;
        let result = match era < known {
            true => StoreResult::Unknown,
            false => result,
        };
        self.routers[i].store_era = known.max(era);
        self.feed(i, Event::StoreEra(known.max(era)));
        self.feed(i, Event::Store { op, result });
    }

    /// Copies the store from time to time, and brings an older copy back at random.
    pub(super) fn restore_store(&mut self) {
        if self.conditions.restore_chance == 0.0 {
            return;
        }
        if self.now.is_multiple_of(COPY_INTERVAL) {
            self.copies.push_back((self.now, self.store.clone()));
        }
        self.copies.retain(|(at, _)| self.now - at <= OLDEST_COPY);
        let restores = self.restore_rng.random_bool(self.conditions.restore_chance);
        if restores && !self.copies.is_empty() {
            let at = self.restore_rng.random_range(0..self.copies.len());
            let (_, copy) = self.copies[at].clone();
            self.store.restore(copy);
        }
    }

    pub(super) fn call_store(&mut self, i: usize, op: StoreOp) {
        self.counts.store_calls += 1;
        let to = self.routers[i].id;
        let StoreOp { op, request } = op;
        let era = self.store.era();
        if self.routers[i].store_cut_until > self.now {
            let silent = self.rng.random_bool(0.5);
            let result = match silent {
                true => StoreResult::Unknown,
                false => StoreResult::Unavailable,
            };
            let wait = if silent { 1_000 } else { 5 };
            let era = 0;
            return self.schedule(
                wait,
                wait,
                Delivery::Result {
                    to,
                    op,
                    era,
                    result,
                },
            );
        }
        match self.rng.random_range(0..40) {
            0 if self.conditions.lost_answers => {
                self.store.apply(&request);
                let result = StoreResult::Unknown;
                self.schedule(
                    500,
                    1_000,
                    Delivery::Result {
                        to,
                        op,
                        era,
                        result,
                    },
                );
            }
            1 if self.conditions.lost_answers => {
                let late = self.rng.random_range(1_000..6_000);
                self.schedule(late, late, Delivery::LateWrite(request));
                let result = StoreResult::Unknown;
                self.schedule(
                    500,
                    1_000,
                    Delivery::Result {
                        to,
                        op,
                        era,
                        result,
                    },
                );
            }
            _ => {
                let result = self.store.apply(&request);
                self.schedule(
                    2,
                    10,
                    Delivery::Result {
                        to,
                        op,
                        era,
                        result,
                    },
                );
            }
        }
    }
}
