use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use toucanchute_core::{fleet::MemberView, money};
use toucanchute_proto::{Incarnation, config::Config, fleet::MemberState};
use xtra::prelude::*;

use super::{MoneyActor, MoneyInput, PrepaidActor, PrepaidInput, post};
use crate::link::Frame;

/// Address of the actor that manages the customers' budgets in this process.
#[derive(Clone)]
pub(crate) enum BudgetActor {
    /// Manages grants of the ledger; a request is billed at the end of its answer.
    Ledger(Address<MoneyActor>),
    /// Manages the accounts of prepaid budgets.
    Prepaid(Address<PrepaidActor>),
}

impl BudgetActor {
    /// Passes on the configuration in force.
    pub(crate) fn configure(&self, config: &Arc<Config>) {
        let config = Arc::clone(config);
        match self {
            BudgetActor::Ledger(money) => post(money, MoneyInput::Config(config)),
            BudgetActor::Prepaid(prepaid) => post(prepaid, PrepaidInput::Config(config)),
        }
    }

    /// Replaces the list of the other members of the fleet.
    pub(crate) fn set_members(&self, members: &[MemberView]) {
        match self {
            BudgetActor::Ledger(money) => {
                let peers = members.iter().map(money_peer).collect();
                let addresses: HashMap<Incarnation, SocketAddr> = members
                    .iter()
                    .map(|m| (m.incarnation, m.caller_address))
                    .collect();
                post(money, MoneyInput::Peers(peers, addresses));
            }
            BudgetActor::Prepaid(prepaid) => post(prepaid, PrepaidInput::Members(members.to_vec())),
        }
    }

    /// Starts to return all grants, or to hand over or release all accounts. The actor reports the
    /// end by `FleetInput::Drained`.
    pub(crate) fn drain(&self) {
        match self {
            BudgetActor::Ledger(money) => post(money, MoneyInput::Drain),
            BudgetActor::Prepaid(prepaid) => post(prepaid, PrepaidInput::DrainAndReport),
        }
    }

    /// Decodes a frame from the budget actor of another router and passes its message on. A
    /// malformed frame is logged and dropped.
    pub(crate) fn receive(&self, frame: &Frame) {
        let from = frame.from;
        let decoded = match self {
            BudgetActor::Ledger(money) => frame
                .message()
                .map(|message| post(money, MoneyInput::Message(from, message))),
            BudgetActor::Prepaid(prepaid) => frame
                .message()
                .map(|message| post(prepaid, PrepaidInput::Message(from, Box::new(message)))),
        };
        if let Err(e) = decoded {
            log::warn!(peer:% = from, error:% = e; "frame-malformed");
        }
    }
}

fn money_peer(member: &MemberView) -> money::Peer {
    money::Peer {
        incarnation: member.incarnation,
        failure_domain: member.failure_domain.clone(),
        state: match member.state {
            MemberState::Alive | MemberState::Leaving => money::PeerState::Alive,
            MemberState::Suspect => money::PeerState::Suspect,
            MemberState::Gone => money::PeerState::Gone,
        },
    }
}
