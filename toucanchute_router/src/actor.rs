//! Actors: each owns one state machine of `toucanchute_core`, feeds it events and carries out its
//! actions.

mod dispatch;
mod fleet;
mod funds;
mod money;
mod orders;
mod post;
mod prepaid;
mod standings;

pub(crate) use dispatch::{Assign, DispatchActor, DispatchInput, DispatchParts};
pub(crate) use fleet::{Duties, FleetActor, FleetInput, FleetParts, FleetPeers, Members};
pub(crate) use funds::Funds;
pub(crate) use money::{MoneyActor, MoneyCall, MoneyInput, MoneyParts, MoneyReply};
pub(crate) use orders::{OrderError, OrdersActor, OrdersInput, WantOrder};
pub(crate) use post::post;
pub(crate) use prepaid::{PrepaidActor, PrepaidInput, PrepaidParts};
pub(crate) use standings::{StandingCount, Standings};
