use toucanchute_proto::{
    BudgetId, Bytes, Incarnation, Millis,
    prepaid::{Account, Quorum},
    to_cbor,
};

use super::{Peer, PrepaidAccounts};
use crate::{hash, ledger::StoreKey};

/// Returns the key of an account's record.
pub(super) fn key(budget: BudgetId) -> StoreKey {
    StoreKey::Account { budget }
}

/// Encodes an account's record.
pub(super) fn encode(account: &Account) -> Bytes {
    to_cbor(account)
}

/// Returns the record of an account that was never spent from.
pub(super) fn empty() -> Account {
    Account {
        epoch: 0,
        owner: None,
        spent: 0,
        lost: 0,
        drawn: 0,
        ahead: 0,
        pace: 0,
        at: Millis(0),
        quorum: no_quorum(),
        era: None,
        settled: Some(0),
        settles_from: None,
        late: None,
    }
}

/// Returns the tokens that requests are known to have used, by a record.
pub(super) fn settled(account: &Account) -> u64 {
    let unknown = account.spent.saturating_sub(account.lost);
    account.settled.unwrap_or(unknown)
}

/// Returns a record all of whose ramp may be spent as soon as its pace allows.
pub(super) fn without_late(account: &Account) -> Account {
    Account {
        late: None,
        ..account.clone()
    }
}

/// Returns the quorum of an account without an owner, which has no witnesses.
pub(super) fn no_quorum() -> Quorum {
    Quorum {
        witnesses: Vec::new(),
        hosts: Vec::new(),
        acks: 0,
    }
}

/// Returns how many witnesses have to be fenced so that the others are too few to acknowledge a
/// mark.
pub(super) fn fences_needed(quorum: &Quorum) -> usize {
    (quorum.witnesses.len() + 1).saturating_sub(quorum.acks as usize)
}

impl PrepaidAccounts {
    /// Chooses the witnesses for an account of this router, preferably in other failure domains. If
    /// there are no other routers, it is its own witness.
    pub(super) fn choose_quorum(&self, budget: BudgetId) -> Quorum {
        let steady = self.peers.values().filter(|p| self.is_alive(p.incarnation));
        let mut peers: Vec<(bool, f64, &Peer)> = steady
            .map(|p| {
                let hash = hash::mix(&[budget.0, p.incarnation.0]);
                let near = p.failure_domain == self.cfg.failure_domain;
                (
                    near,
                    hash::weighted_rank(hash, hash::host_weight(p.capacity)),
                    p,
                )
            })
            .collect();
        peers.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let wanted = usize::from(self.policy.witnesses);
        let chosen = peers.into_iter().take(wanted).map(|(_, _, p)| p);
        let (witnesses, hosts): (Vec<Incarnation>, Vec<String>) =
            chosen.map(|p| (p.incarnation, p.host.clone())).unzip();
        if witnesses.is_empty() {
            return Quorum {
                witnesses: vec![self.me()],
                hosts: vec![self.cfg.host.clone()],
                acks: 1,
            };
        }
        // If more than half of them had to acknowledge, the loss of one or two would stop the
        // owner.
        let acks = usize::from(self.policy.acks).min(witnesses.len().div_ceil(2));
        Quorum {
            witnesses,
            hosts,
            acks: acks as u32,
        }
    }
}
