//! Runs of the [`Money`](toucanchute_core::money::Money) state machines under the load.

use std::{collections::BTreeMap, fmt};

use toucanchute_core::money::{Action, CallId, Event, Settings};
use toucanchute_proto::{BudgetId, Digest, Millis, RequestKey};

use super::{
    load::{Load, Request, Tally, WORST_CASE},
    sim::{Sim, domain},
};

/// Time after which the end of an answer counts as held back.
const STALL_BOUND: Millis = Millis(5_000);

/// Ledger settings that are compared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Policy {
    horizon_s: u64,
    witnesses: u8,
    acks: u8,
}

impl Policy {
    pub(crate) const DEFAULT: Policy = Policy {
        horizon_s: 600,
        witnesses: 3,
        acks: 2,
    };
    pub(crate) const ALL: [Policy; 4] = [
        Policy {
            horizon_s: 10,
            ..Policy::DEFAULT
        },
        Policy::DEFAULT,
        Policy {
            acks: 1,
            ..Policy::DEFAULT
        },
        Policy {
            witnesses: 5,
            ..Policy::DEFAULT
        },
    ];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "horizon {} s, {} of {}",
            self.horizon_s, self.acks, self.witnesses
        )
    }
}

#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) tally: Tally,
    pub(crate) seconds: f64,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    /// Time from the end of each request to the release of its answer's end, in ascending order.
    pub(crate) waits: Vec<Millis>,
    /// Bytes written to the ledger.
    pub(crate) bytes: u64,
}

impl Outcome {
    /// Returns a percentile of `waits`.
    pub(crate) fn wait_percentile(&self, percent: usize) -> Millis {
        let index = self.waits.len() * percent / 100;
        self.waits.get(index).copied().unwrap_or_default()
    }
}

struct Run<'a> {
    load: &'a Load,
    sim: Sim,
    budget: BudgetId,
    tally: Tally,
    reserved: BTreeMap<CallId, u64>,
    /// Requests on backend servers, by the time at which they end.
    running: BTreeMap<(Millis, CallId), Request>,
    /// Tokens of requests whose bill is not settled yet, and the time of the bill.
    settling: BTreeMap<CallId, (u64, Millis)>,
    spent: u64,
    waits: Vec<Millis>,
}

pub(crate) fn run(load: &Load, policy: Policy) -> Outcome {
    let seed = load.seed;
    let make_settings = move |host: usize, incarnation| {
        let mut cfg = Settings::new(incarnation, &domain(host), incarnation.0 ^ seed);
        cfg.ledger.grant_horizon_ms = policy.horizon_s * 1_000;
        cfg.ledger.witnesses = policy.witnesses;
        cfg.ledger.acks = policy.acks;
        cfg
    };
    let mut sim = Sim::new(seed, load.routers, Millis(20), make_settings);
    sim.gone_after = Millis(2_000);
    let mut run = Run {
        load,
        sim,
        budget: BudgetId::from_name("north"),
        tally: Tally::default(),
        reserved: BTreeMap::new(),
        running: BTreeMap::new(),
        settling: BTreeMap::new(),
        spent: 0,
        waits: Vec::new(),
    };
    run.sim.run(Millis(500));
    let (budget, tokens) = (run.budget, load.balance);
    let (call, id) = (CallId(0), "t-1".to_owned());
    run.sim.send_event(
        0,
        Event::TopUp {
            call,
            id,
            budget,
            tokens,
        },
    );
    run.sim.run(Millis(500));
    let start = run.sim.now;
    for (n, req) in load.requests.iter().enumerate() {
        run.run_until(start, req.at);
        run.request(CallId(n as u64 + 1), req);
    }
    let end = load.requests.last().map(|r| r.at).unwrap_or_default();
    run.run_until(start, end + Millis(10_000));
    run.tally.stalled += run.settling.len() as u64;
    run.tally.overspent = run.spent.saturating_sub(load.balance);
    run.waits.sort_unstable();
    let bytes = run
        .sim
        .written
        .iter()
        .map(|(_, value)| value.len() as u64)
        .sum();
    let (reads, writes) = run.sim.store_calls;
    Outcome {
        tally: run.tally,
        waits: run.waits,
        seconds: (end.0 as f64) / 1_000.0,
        reads,
        writes,
        bytes,
    }
}

impl Run<'_> {
    fn run_until(&mut self, start: Millis, at: Millis) {
        while self.sim.now < start + at {
            let left = (start + at).since(self.sim.now);
            let since = self.sim.now.since(start);
            for host in 0..self.load.routers {
                let slot = &mut self.sim.hosts[host];
                slot.store_up = self.load.scenario.reaches_platform(host, since);
                slot.side = self.load.scenario.side(host, since);
            }
            self.sim.run(left.min(Millis(1)));
            self.collect_answers();
            self.finish_requests();
        }
    }

    /// Returns the tokens that a single ledger for all routers would have free.
    fn free_tokens(&self) -> u64 {
        let held: u64 = self.reserved.values().sum();
        let settling: u64 = self.settling.values().map(|(tokens, _)| tokens).sum();
        self.load
            .balance
            .saturating_sub(self.spent + held + settling)
    }

    fn request(&mut self, call: CallId, req: &Request) {
        let free = self.free_tokens();
        self.tally.record_request(self.load.balance, free);
        let key = RequestKey(u128::from(call.0) << 64 | 0x5eed);
        let event = Event::Reserve {
            call,
            budget: self.budget,
            key,
            digest: Digest(key.0 ^ 0xd16e),
            tokens: WORST_CASE,
            expires: self.sim.now + Millis(86_400_000),
            deadline: self.sim.now + Millis(30_000),
        };
        self.sim.send_event(req.router, event);
        self.collect_answers();
    }

    fn collect_answers(&mut self) {
        for (_, _, action) in std::mem::take(&mut self.sim.answers) {
            match action {
                Action::Reserved { call, tokens } => {
                    let req = self.load.requests[call.0 as usize - 1];
                    self.reserved.insert(call, tokens);
                    self.running.insert((self.sim.now + req.runs, call), req);
                }
                Action::Refused { call, .. } => match self.settling.remove(&call) {
                    Some(_) => self.tally.stalled += 1,
                    None => {
                        let free = self.free_tokens();
                        self.tally.record_refusal(self.load.balance, free);
                    }
                },
                Action::Settled { call, .. } => {
                    if let Some((tokens, since)) = self.settling.remove(&call) {
                        self.spent += tokens;
                        self.waits.push(self.sim.now.since(since));
                        self.tally.stalled += u64::from(self.sim.now.since(since) > STALL_BOUND);
                    }
                }
                _ => {}
            }
        }
    }

    fn finish_requests(&mut self) {
        while let Some(entry) = self.running.first_entry()
            && entry.key().0 <= self.sim.now
        {
            let ((_, call), req) = entry.remove_entry();
            let reserved = self.reserved.remove(&call).unwrap_or_default();
            let tokens = req.tokens.min(reserved);
            self.settling.insert(call, (tokens, self.sim.now));
            self.sim
                .send_event(req.router, Event::Settle { call, tokens });
        }
    }
}
