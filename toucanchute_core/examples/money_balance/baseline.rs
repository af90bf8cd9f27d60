//! Two simple policies as baselines for the comparison.

use toucanchute_proto::Millis;

use super::load::{Load, Tally, WORST_CASE};

#[derive(Clone, Copy, Debug)]
pub(crate) enum Baseline {
    /// Each router gets an equal part of the balance at the start.
    EqualSlices,
    /// Each request takes tokens from a single balance in the platform's service.
    CentralDraw,
}

impl Baseline {
    pub(crate) fn run(self, load: &Load) -> Tally {
        let accounts = match self {
            Baseline::EqualSlices => load.routers,
            Baseline::CentralDraw => 1,
        };
        let mut free = vec![load.balance / accounts as u64; accounts];
        let mut running: Vec<(Millis, usize, u64)> = Vec::new();
        let mut tally = Tally::default();
        for req in &load.requests {
            running.retain(|&(done, account, unused)| {
                if done <= req.at {
                    free[account] += unused;
                }
                done > req.at
            });
            let total = free.iter().sum();
            tally.record_request(load.balance, total);
            let account = req.router.min(accounts - 1);
            let reached = match self {
                Baseline::EqualSlices => true,
                Baseline::CentralDraw => load.scenario.reaches_platform(req.router, req.at),
            };
            if !reached || free[account] < WORST_CASE {
                tally.record_refusal(load.balance, total);
                continue;
            }
            free[account] -= WORST_CASE;
            running.push((req.at + req.runs, account, WORST_CASE - req.tokens));
        }
        tally
    }
}
