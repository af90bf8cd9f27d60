//! A grant, its holder, its witnesses and a router that reclaims it.

use std::collections::BTreeSet;

use toucanchute_core::ledger::{ShardState, fences_needed};
use toucanchute_proto::{
    BudgetId, Digest, EntryId, GrantId, Incarnation, Millis, RequestKey,
    ledger::{Backing, Batch, Bill, Entry, EntryBody, GrantRequest, Reclaim, TopUp},
};

use super::World;

const BUDGET: BudgetId = BudgetId(1);
const HOLDER: Incarnation = Incarnation(100);
const GRANT: GrantId = GrantId(HOLDER, 1);

/// Tokens of the grant, and of each of the two bills out of it.
const GRANTED: u64 = 3;
const BILLS: [u64; 2] = [1, 2];

#[derive(Clone, Debug, Default)]
struct Witness {
    kept: BTreeSet<usize>,
    fenced: bool,
    gone: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct GrantWorld {
    ledger: ShardState,
    backing: Backing,
    witnesses: Vec<Witness>,
    /// Witnesses that acknowledged each bill.
    acks: [BTreeSet<usize>; 2],
    released: [bool; 2],
    holder_gone: bool,
    /// Fenced witnesses and bills that the reclaiming router knows.
    fenced: BTreeSet<usize>,
    handed: BTreeSet<usize>,
    /// Fences that the reclaiming router wrongly takes for granted.
    missing: usize,
}

impl GrantWorld {
    pub(crate) fn new(witnesses: u64, acks: u8, missing: usize) -> GrantWorld {
        let backing = Backing {
            witnesses: (0..witnesses).map(Incarnation).collect(),
            acks,
        };
        let mut world = GrantWorld {
            ledger: ShardState::default(),
            backing: backing.clone(),
            witnesses: vec![Witness::default(); witnesses as usize],
            acks: Default::default(),
            released: [false; 2],
            holder_gone: false,
            fenced: BTreeSet::new(),
            handed: BTreeSet::new(),
            missing,
        };
        let tokens = GRANTED;
        world.commit(
            EntryBody::TopUp(TopUp {
                top_up: "t".to_owned(),
                tokens,
            }),
            90,
        );
        let grant = GrantRequest {
            grant: GRANT,
            want: tokens,
            min: tokens,
            least: 1,
            floor_divisor: 0,
            divisor: 1,
            backing,
        };
        world.commit(EntryBody::Grant(grant), 91);
        world
    }

    fn commit(&mut self, body: EntryBody, id: u64) {
        let id = EntryId(HOLDER, id);
        let entries = vec![Entry {
            id,
            budget: BUDGET,
            body,
        }];
        let position = self.ledger.position();
        let batch = Batch {
            position,
            batch_id: id,
            at: Millis(1),
            entries,
        };
        self.ledger.apply(&batch).expect("parts add up");
    }

    fn is_billed(&self, bill: usize) -> bool {
        self.ledger.key(RequestKey(bill as u128)).is_some()
    }

    /// Bills whose answers were released are in the ledger or covered by what remains.
    fn check(&self) -> Result<(), String> {
        let open = (0..BILLS.len()).filter(|&b| self.released[b] && !self.is_billed(b));
        let open: u64 = open.map(|b| BILLS[b]).sum();
        match self.ledger.grant(GRANT) {
            Some(grant) if open > grant.remainder => Err(format!("{open} open of {grant:?}")),
            None if open > 0 => Err(format!("closed, but {open} tokens are not billed")),
            _ => Ok(()),
        }
    }

    fn holder_moves(&self, bill: usize, out: &mut Vec<GrantWorld>) {
        if self.holder_gone {
            return;
        }
        for w in 0..self.witnesses.len() {
            let witness = &self.witnesses[w];
            if witness.gone || witness.fenced || self.acks[bill].contains(&w) {
                continue;
            }
            let mut asked = self.clone();
            asked.witnesses[w].kept.insert(bill);
            out.push(asked.clone());
            asked.acks[bill].insert(w);
            asked.released[bill] |= asked.acks[bill].len() >= usize::from(self.backing.acks);
            out.push(asked);
        }
        let mut settled = self.clone();
        let settle = |w: &mut GrantWorld| w.commit(EntryBody::Settle(bill_of(bill)), bill as u64);
        if !self.is_billed(bill) {
            settle(&mut settled);
            settled.ledger = rewound(&settled.ledger, &self.ledger);
            settled.released[bill] |= settled.is_billed(bill);
            out.push(settled);
        }
    }

    fn reclaim_moves(&self, out: &mut Vec<GrantWorld>) {
        for w in 0..self.witnesses.len() {
            let mut next = self.clone();
            let witness = &mut next.witnesses[w];
            if !witness.gone && !witness.fenced {
                witness.fenced = true;
                next.fenced.insert(w);
                next.handed.extend(&next.witnesses[w].kept);
                out.push(next);
            }
            if !self.witnesses[w].gone {
                let mut next = self.clone();
                next.witnesses[w] = Witness {
                    gone: true,
                    ..Witness::default()
                };
                out.push(next);
            }
        }
        let mut next = self.clone();
        let id = |bill| EntryId(HOLDER, bill as u64);
        let debit = |&b: &usize| {
            let body = EntryBody::Settle(bill_of(b));
            Entry {
                id: id(b),
                budget: BUDGET,
                body,
            }
        };
        let mut fenced: Vec<_> = self.fenced.iter().map(|&w| Incarnation(w as u64)).collect();
        if fenced.len() + self.missing >= fences_needed(&self.backing) {
            let all = self.backing.witnesses.iter();
            fenced.extend(
                all.filter(|w| !fenced.contains(w))
                    .copied()
                    .collect::<Vec<_>>(),
            );
        }
        let debits = self.handed.iter().map(debit).collect();
        next.commit(
            EntryBody::Reclaim(Reclaim {
                grant: GRANT,
                debits,
                fenced,
            }),
            92,
        );
        next.ledger = rewound(&next.ledger, &self.ledger);
        out.push(next);
    }
}

impl World for GrantWorld {
    fn key(&self) -> String {
        let grant = self.ledger.grant(GRANT);
        let grant = grant.map(|g| (g.remainder, g.forfeited, &g.fenced));
        let billed = [0, 1].map(|b| self.is_billed(b));
        let free = self.ledger.statement(BUDGET).free;
        let reclaimer = (&self.fenced, &self.handed);
        let holder = (&self.acks, self.released, self.holder_gone);
        format!(
            "{:?}",
            (grant, billed, free, reclaimer, holder, &self.witnesses)
        )
    }

    fn next(&self) -> Result<Vec<GrantWorld>, String> {
        self.check()?;
        let mut out = Vec::new();
        for bill in 0..BILLS.len() {
            self.holder_moves(bill, &mut out);
        }
        self.reclaim_moves(&mut out);
        out.push(GrantWorld {
            holder_gone: true,
            ..self.clone()
        });
        Ok(out)
    }
}

/// Returns `ledger` with the position of `old`, so that the worlds are finite in number.
fn rewound(ledger: &ShardState, old: &ShardState) -> ShardState {
    let mut snapshot = ledger.snapshot();
    snapshot.position = old.position();
    ShardState::from_snapshot(snapshot)
}

fn bill_of(bill: usize) -> Bill {
    Bill {
        key: RequestKey(bill as u128),
        digest: Digest(0),
        grant: GRANT,
        tokens: BILLS[bill],
        expires: Millis(1_000),
    }
}
