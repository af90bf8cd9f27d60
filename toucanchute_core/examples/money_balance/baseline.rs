//! Two plain policies to compare with.

use toucanchute_proto::Millis;

use super::load::{Load, Tally, WORST_CASE};

#[derive(Clone, Copy, Debug)]
pub(crate) enum Baseline {
    /// Each router has an equal part of the balance from the start.
    EqualSlices,
    /// Each request draws on one balance in the platform's service.
    CentralDraw,
}

impl Baseline {
    pub(crate) fn run(self, load: &Load) -> Tally {
        let purses = match self {
            Baseline::EqualSlices => load.routers,
            Baseline::CentralDraw => 1,
        };
        let mut free = vec![load.balance / purses as u64; purses];
        let mut running: Vec<(Millis, usize, u64)> = Vec::new();
        let mut tally = Tally::default();
        for req in &load.requests {
            running.retain(|&(done, purse, unused)| {
                if done <= req.at {
                    free[purse] += unused;
                }
                done > req.at
            });
            let total = free.iter().sum();
            tally.note(load.balance, total);
            let purse = req.router.min(purses - 1);
            let reached = match self {
                Baseline::EqualSlices => true,
                Baseline::CentralDraw => load.scenario.reaches_platform(req.router, req.at),
            };
            if !reached || free[purse] < WORST_CASE {
                tally.refuse(load.balance, total);
                continue;
            }
            free[purse] -= WORST_CASE;
            running.push((req.at + req.runs, purse, WORST_CASE - req.tokens));
        }
        tally
    }
}
