//! Model of a grant, its holder, its witnesses and a router that reclaims it.

use std::collections::BTreeSet;

use toucanchute_core::ledger::{ShardState, fences_needed};
use toucanchute_proto::{
    BudgetId, Digest, EntryId, GrantId, Incarnation, Millis, RequestKey,
    ledger::{Backing, Batch, Bill, Entry, EntryBody, GrantRequest, Reclaim, TopUp},
};

use super::SearchState;

const BUDGET: BudgetId = BudgetId(1);
const HOLDER: Incarnation = Incarnation(100);
const GRANT: GrantId = GrantId(HOLDER, 1);

/// Tokens of the grant, and of each of the two bills debited from it.
const GRANTED: u64 = 3;
const BILLS: [u64; 2] = [1, 2];

#[derive(Clone, Debug, Default)]
struct Witness {
    stored_bills: BTreeSet<usize>,
    fenced: bool,
    /// Whether the witness has crashed, by which it lost its bills.
    crashed: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct GrantState {
    ledger: ShardState,
    backing: Backing,
    witnesses: Vec<Witness>,
    /// Witnesses that acknowledged each bill.
    acks: [BTreeSet<usize>; 2],
    released: [bool; 2],
    holder_crashed: bool,
    /// Witnesses that the reclaiming router has fenced, and bills that they handed over to it.
    fenced: BTreeSet<usize>,
    handed_over: BTreeSet<usize>,
    /// Number of fences that the reclaiming router wrongly assumes to be in place.
    missing_fences: usize,
}

impl GrantState {
    pub(crate) fn new(witnesses: u64, acks: u8, missing_fences: usize) -> GrantState {
        let backing = Backing {
            witnesses: (0..witnesses).map(Incarnation).collect(),
            acks,
        };
        let mut state = GrantState {
            ledger: ShardState::default(),
            backing: backing.clone(),
            witnesses: vec![Witness::default(); witnesses as usize],
            acks: Default::default(),
            released: [false; 2],
            holder_crashed: false,
            fenced: BTreeSet::new(),
            handed_over: BTreeSet::new(),
            missing_fences,
        };
        let tokens = GRANTED;
        state.commit(
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
        state.commit(EntryBody::Grant(grant), 91);
        state
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

    /// Checks that bills whose answers were released are in the ledger or covered by the grant's
    /// remainder.
    fn check(&self) -> Result<(), String> {
        let unbilled = (0..BILLS.len()).filter(|&b| self.released[b] && !self.is_billed(b));
        let unbilled: u64 = unbilled.map(|b| BILLS[b]).sum();
        match self.ledger.grant(GRANT) {
            Some(grant) if unbilled > grant.remainder => Err(format!(
                "released bills of {unbilled} tokens exceed {grant:?}"
            )),
            None if unbilled > 0 => Err(format!(
                "grant closed, but released bills of {unbilled} tokens are not committed"
            )),
            _ => Ok(()),
        }
    }

    fn steps_of_holder(&self, bill: usize, out: &mut Vec<GrantState>) {
        if self.holder_crashed {
            return;
        }
        for w in 0..self.witnesses.len() {
            let witness = &self.witnesses[w];
            if witness.crashed || witness.fenced || self.acks[bill].contains(&w) {
                continue;
            }
            let mut next = self.clone();
            next.witnesses[w].stored_bills.insert(bill);
            out.push(next.clone());
            next.acks[bill].insert(w);
            next.released[bill] |= next.acks[bill].len() >= usize::from(self.backing.acks);
            out.push(next);
        }
        let mut settled = self.clone();
        let settle =
            |state: &mut GrantState| state.commit(EntryBody::Settle(bill_body(bill)), bill as u64);
        if !self.is_billed(bill) {
            settle(&mut settled);
            settled.ledger = with_position_of(&settled.ledger, &self.ledger);
            settled.released[bill] |= settled.is_billed(bill);
            out.push(settled);
        }
    }

    fn steps_of_reclaim(&self, out: &mut Vec<GrantState>) {
        for w in 0..self.witnesses.len() {
            let mut next = self.clone();
            let witness = &mut next.witnesses[w];
            if !witness.crashed && !witness.fenced {
                witness.fenced = true;
                next.fenced.insert(w);
                next.handed_over.extend(&next.witnesses[w].stored_bills);
                out.push(next);
            }
            if !self.witnesses[w].crashed {
                let mut next = self.clone();
                next.witnesses[w] = Witness {
                    crashed: true,
                    ..Witness::default()
                };
                out.push(next);
            }
        }
        let mut next = self.clone();
        let id = |bill| EntryId(HOLDER, bill as u64);
        let debit = |&b: &usize| {
            let body = EntryBody::Settle(bill_body(b));
            Entry {
                id: id(b),
                budget: BUDGET,
                body,
            }
        };
        let mut fenced: Vec<_> = self.fenced.iter().map(|&w| Incarnation(w as u64)).collect();
        if fenced.len() + self.missing_fences >= fences_needed(&self.backing) {
            let all = self.backing.witnesses.iter();
            fenced.extend(
                all.filter(|w| !fenced.contains(w))
                    .copied()
                    .collect::<Vec<_>>(),
            );
        }
        let debits = self.handed_over.iter().map(debit).collect();
        next.commit(
            EntryBody::Reclaim(Reclaim {
                grant: GRANT,
                debits,
                fenced,
            }),
            92,
        );
        next.ledger = with_position_of(&next.ledger, &self.ledger);
        out.push(next);
    }
}

impl SearchState for GrantState {
    fn fingerprint(&self) -> String {
        let grant = self.ledger.grant(GRANT);
        let grant = grant.map(|g| (g.remainder, g.forfeited, &g.fenced));
        let billed = [0, 1].map(|b| self.is_billed(b));
        let free = self.ledger.statement(BUDGET).free;
        let reclaimer = (&self.fenced, &self.handed_over);
        let holder = (&self.acks, self.released, self.holder_crashed);
        format!(
            "{:?}",
            (grant, billed, free, reclaimer, holder, &self.witnesses)
        )
    }

    fn successors(&self) -> Result<Vec<GrantState>, String> {
        self.check()?;
        let mut out = Vec::new();
        for bill in 0..BILLS.len() {
            self.steps_of_holder(bill, &mut out);
        }
        self.steps_of_reclaim(&mut out);
        out.push(GrantState {
            holder_crashed: true,
            ..self.clone()
        });
        Ok(out)
    }
}

/// Returns `ledger` with the position of `old`, so that the number of states is finite.
fn with_position_of(ledger: &ShardState, old: &ShardState) -> ShardState {
    let mut snapshot = ledger.snapshot();
    snapshot.position = old.position();
    ShardState::from_snapshot(snapshot)
}

fn bill_body(bill: usize) -> Bill {
    Bill {
        key: RequestKey(bill as u128),
        digest: Digest(0),
        grant: GRANT,
        tokens: BILLS[bill],
        expires: Millis(1_000),
    }
}
