//! A random walk over routers under load and faults.

use std::collections::BTreeMap;

use rand::{Rng, seq::IteratorRandom};
use toucanchute_core::{
    ledger::{Fault, StoreKey},
    money::{Action, CallId, Event, Settings},
};
use toucanchute_proto::{
    BudgetId, Bytes, Digest, GrantId, Incarnation, Millis, RequestKey,
    ledger::{Answer, RecordedAnswer},
};

use super::{
    oracle::{CheckResult, Oracle},
    sim::{Sim, domain},
    summary::Summary,
    work::{Call, RunningRequest, Work},
};

const SHARDS: u16 = 2;
pub(crate) const HOSTS: usize = 4;

/// A long time without load, after which keys are forgotten.
const IDLE_SPAN: Millis = Millis(70_000);

/// Price of a booking, in tokens.
const BOOKING_PRICE: u64 = 5;

/// Returns the witnesses and acknowledgements of a walk's grants.
pub(crate) fn backing(seed: u64) -> (u8, u8) {
    [(3, 2), (2, 1), (2, 2), (1, 1)][seed as usize % 4]
}

pub(crate) struct Walk {
    pub(crate) sim: Sim,
    pub(crate) oracle: Oracle,
    pub(crate) summary: Summary,
    calls: BTreeMap<CallId, Call>,
    /// Tokens sent with [`Event::Settle`].
    settling: BTreeMap<CallId, u64>,
    running: Vec<RunningRequest>,
    budgets: Vec<BudgetId>,
    answers: BTreeMap<RequestKey, Answer>,
    expires: BTreeMap<RequestKey, Millis>,
    next_call: u64,
    next_key: u128,
    next_top_up: u64,
}

impl Walk {
    pub(crate) fn new(seed: u64, fault: Option<Fault>) -> Walk {
        let make_settings = move |host: usize, incarnation: Incarnation| {
            let mut cfg = Settings::new(incarnation, &domain(host), incarnation.0 ^ seed);
            cfg.ledger.shards = SHARDS;
            cfg.ledger.ring = 4;
            cfg.ledger.outage_after_ms = 100;
            cfg.ledger.reclaim_after_ms = 500;
            cfg.ledger.grant_horizon_ms = 2_000;
            (cfg.ledger.witnesses, cfg.ledger.acks) = backing(seed);
            cfg.part_bytes = if seed.is_multiple_of(3) {
                1_000
            } else {
                cfg.part_bytes
            };
            cfg.fault = fault;
            cfg
        };
        Walk {
            sim: Sim::new(seed, HOSTS, Millis(20), make_settings),
            oracle: Oracle::default(),
            summary: Summary::default(),
            calls: BTreeMap::new(),
            settling: BTreeMap::new(),
            running: Vec::new(),
            budgets: ["north", "south"].map(BudgetId::from_name).to_vec(),
            answers: BTreeMap::new(),
            expires: BTreeMap::new(),
            next_call: 0,
            next_key: 0,
            next_top_up: 0,
        }
    }

    /// Makes `steps` random steps, clears all faults, lets the routers finish their work and checks
    /// the final state.
    pub(crate) fn run(&mut self, steps: u32) -> CheckResult {
        for host in 0..2 {
            self.top_up(host);
        }
        self.sim.run(Millis(300));
        for _ in 0..steps {
            self.step();
            self.advance()?;
        }
        self.heal()?;
        self.check_end()
    }

    fn advance(&mut self) -> CheckResult {
        let span = Millis(self.sim.rng.random_range(1..40));
        self.sim.run(span);
        self.finish_work();
        self.collect_results()
    }

    /// Passes the writes and answers of the state machines to the oracle, and runs its checks.
    fn collect_results(&mut self) -> CheckResult {
        for (key, value) in std::mem::take(&mut self.sim.written) {
            self.summary.chunks += u64::from(matches!(key, StoreKey::Chunk { .. }));
            self.oracle.on_write(key, &value)?;
        }
        for (host, incarnation, action) in std::mem::take(&mut self.sim.answers) {
            self.on_answer(host, incarnation, action)?;
        }
        for money in self.sim.hosts.iter().filter_map(|h| h.money.as_ref()) {
            for (grant, available) in money.status().grants {
                self.oracle.check_grant(grant, available)?;
            }
        }
        self.oracle.check()
    }

    fn step(&mut self) {
        let host = self.sim.rng.random_range(0..HOSTS);
        match self.sim.rng.random_range(0..1000) {
            0..620 => self.reserve(host),
            620..760 => self.intend(host),
            760..800 => self.top_up(host),
            800..820 => self.crash(host),
            820..830 => self.sim.send_event(host, Event::Drain),
            830..870 => self.freeze(host),
            870..900 => self.partition(),
            900..930 => self.cut_store(host),
            930..955 => self.change_faults(),
            955..960 => self.sim.run(IDLE_SPAN),
            _ => self.clear_faults(),
        }
    }

    fn call(&mut self, call: Call) -> CallId {
        self.next_call += 1;
        self.calls.insert(CallId(self.next_call), call);
        CallId(self.next_call)
    }

    /// Returns a new key or one that was used before. Odd keys are bookings.
    fn key(&mut self, booking: bool) -> (RequestKey, BudgetId) {
        if self.next_key == 0 || self.sim.chance(600) {
            self.next_key += 1;
        }
        let offset = self.sim.rng.random_range(0..self.next_key.min(4));
        let key = (self.next_key - offset) * 2 + u128::from(booking);
        let budget = self.budgets[key as usize / 2 % self.budgets.len()];
        (RequestKey(key), budget)
    }

    /// Returns the time at which a key expires. The first call under the key sets it.
    fn expires(&mut self, key: RequestKey) -> Millis {
        let span = [2_000, 20_000, 600_000][key.0 as usize / 2 % 3];
        *self
            .expires
            .entry(key)
            .or_insert(self.sim.now + Millis(span))
    }

    fn reserve(&mut self, host: usize) {
        let (key, budget) = self.key(false);
        let call = self.call(Call::Reserve { budget, key });
        let tokens = 2 + (key.0 as u64 * 7) % 30;
        let (expires, deadline) = (self.expires(key), self.sim.now + Millis(2_000));
        let digest = Digest(key.0);
        let event = Event::Reserve {
            call,
            budget,
            key,
            digest,
            tokens,
            expires,
            deadline,
        };
        self.sim.send_event(host, event);
    }

    fn intend(&mut self, host: usize) {
        let (key, budget) = self.key(true);
        let call = self.call(Call::Intend {
            key,
            refused: false,
        });
        let (expires, deadline) = (self.expires(key), self.sim.now + Millis(2_000));
        let (digest, tokens) = (Digest(key.0), BOOKING_PRICE);
        let event = Event::CommitIntent {
            call,
            budget,
            key,
            digest,
            tokens,
            expires,
            deadline,
        };
        self.sim.send_event(host, event);
        if self.sim.chance(300) {
            let other = self.sim.rng.random_range(0..HOSTS);
            let call = self.call(Call::Intend {
                key,
                refused: false,
            });
            let event = Event::CommitIntent {
                call,
                budget,
                key,
                digest,
                tokens,
                expires,
                deadline,
            };
            self.sim.send_event(other, event);
        }
    }

    fn top_up(&mut self, host: usize) {
        if self.next_top_up == 0 || self.sim.chance(600) {
            self.next_top_up += 1;
        }
        let n = self.next_top_up;
        let budget = self.budgets[n as usize % self.budgets.len()];
        let (id, tokens) = (format!("t-{n}"), 300 + n * 13 % 400);
        self.oracle.top_ups.insert(id.clone(), (budget, tokens));
        let call = self.call(Call::TopUp);
        self.sim.send_event(
            host,
            Event::TopUp {
                call,
                id,
                budget,
                tokens,
            },
        );
    }

    fn finish_work(&mut self) {
        let now = self.sim.now;
        let (done, unfinished) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r| r.done_at <= now);
        self.running = unfinished;
        let done: Vec<RunningRequest> = done;
        for work in done {
            if self.sim.hosts[work.host].incarnation != work.incarnation
                || self.sim.hosts[work.host].money.is_none()
            {
                continue;
            }
            let event = match work.work {
                Work::Stream { call, .. } if self.sim.chance(100) => Event::Release { call },
                Work::Stream { call, tokens } => {
                    self.settling.insert(call, tokens);
                    Event::Settle { call, tokens }
                }
                Work::Booking { key, answer } => {
                    if answer == Answer::NotRun {
                        self.oracle.sent.insert(key, 0);
                    }
                    Event::RecordOutcome { key, answer }
                }
            };
            self.sim.send_event(work.host, event);
        }
    }

    fn on_answer(&mut self, host: usize, incarnation: Incarnation, action: Action) -> CheckResult {
        match action {
            Action::Reserved { call, tokens } => {
                self.summary.reserved += 1;
                let done_at = self.sim.now + Millis(self.sim.rng.random_range(1..400));
                let work = Work::Stream { call, tokens };
                self.running.push(RunningRequest {
                    host,
                    incarnation,
                    done_at,
                    work,
                });
            }
            Action::Settled { call, .. } => self.on_settled(call),
            Action::Accepted { call } => return self.on_accepted(host, incarnation, call),
            Action::Recorded { call, answer } => return self.on_recorded(call, &answer),
            Action::Refused { call, .. } => {
                self.summary.refused += 1;
                if let Some(Call::Intend { refused, .. }) = self.calls.get_mut(&call) {
                    *refused = true;
                }
            }
            Action::Drained => return self.on_drained(host),
            Action::Statement { call, statement } => {
                if let Some(&Call::Statement { budget }) = self.calls.get(&call) {
                    return self.oracle.check_end(budget, SHARDS, &statement);
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn on_settled(&mut self, call: CallId) {
        self.summary.complete += 1;
        if let (Some(&Call::Reserve { budget, key }), Some(&tokens)) =
            (self.calls.get(&call), self.settling.get(&call))
        {
            let least = self.oracle.complete.entry(key).or_insert((budget, tokens));
            least.1 = least.1.min(tokens);
        }
    }

    fn on_accepted(&mut self, host: usize, incarnation: Incarnation, call: CallId) -> CheckResult {
        let Some(&Call::Intend { key, refused }) = self.calls.get(&call) else {
            return Ok(());
        };
        if refused {
            return Err(format!(
                "call {key} was sent after it was refused as `not-run`"
            ));
        }
        self.summary.sent += 1;
        *self.oracle.sent.entry(key).or_default() += 1;
        let body = Bytes::from(call.0.to_string());
        let recorded = RecordedAnswer {
            status: 200,
            content_type: String::new(),
            body,
        };
        let answer = match self.sim.rng.random_range(0..10) {
            0..2 => Answer::NotRun,
            2 => Answer::Unknown,
            _ => Answer::Recorded(recorded),
        };
        self.answers.insert(key, answer.clone());
        let done_at = self.sim.now + Millis(self.sim.rng.random_range(1..300));
        let work = Work::Booking { key, answer };
        self.running.push(RunningRequest {
            host,
            incarnation,
            done_at,
            work,
        });
        Ok(())
    }

    fn on_recorded(&mut self, call: CallId, answer: &Answer) -> CheckResult {
        let Some(Call::Intend { key, .. }) = self.calls.get(&call) else {
            return Ok(());
        };
        match answer {
            Answer::NotRun => Err(format!("call {key} is recorded as not run")),
            Answer::Recorded(_) if self.answers.get(key) != Some(answer) => {
                Err(format!("call {key} has a wrong answer"))
            }
            _ => Ok(()),
        }
    }

    fn heal(&mut self) -> CheckResult {
        self.clear_faults();
        for _ in 0..400 {
            self.sim.run(Millis(100));
            self.finish_work();
            self.collect_results()?;
        }
        Ok(())
    }

    fn check_end(&mut self) -> CheckResult {
        for host in 0..HOSTS {
            if let Some(money) = &self.sim.hosts[host].money {
                let status = money.status();
                if status.draining_for.is_some()
                    || status.pending_entries + status.waiting_calls + status.witnessed_debits > 0
                {
                    return Err(format!(
                        "host {host} still has work after all faults were cleared: {status:?}"
                    ));
                }
                let known = |id: &GrantId| status.grants.iter().any(|(g, _)| g == id);
                let grants = self.oracle.grants_of(self.sim.hosts[host].incarnation);
                if let Some(grant) = grants.iter().find(|g| !known(g)) {
                    return Err(format!("host {host} does not know of its grant {grant}"));
                }
            }
        }
        let requester = (0..HOSTS).choose(&mut self.sim.rng).unwrap_or_default();
        let mut open = Vec::new();
        for budget in self.budgets.clone() {
            let call = self.call(Call::Statement { budget });
            open.push(call);
            self.sim
                .send_event(requester, Event::Statement { call, budget });
            self.sim.run(Millis(2_000));
            let answered = |(_, _, a): &(usize, Incarnation, Action)| matches!(a, Action::Statement { call: c, .. } if *c == call);
            if !self.sim.answers.iter().any(answered) {
                return Err(format!("budget {budget}: no statement within 2 s"));
            }
            self.collect_results()?;
            self.summary.forfeited += self.oracle.statement(budget, SHARDS).forfeited;
        }
        self.summary.lost = self.oracle.lost();
        self.summary.transfers = self.oracle.transfers;
        self.summary.entries = self.oracle.committed;
        Ok(())
    }
}
