//! Actors that run the state machines of `toucanchute_core`.
//!
//! Each actor owns its machines, passes them the events that it receives and performs the actions
//! that they return.

mod budget;
mod dispatch;
mod fleet;
mod money;
mod orders;
mod post;
mod prepaid;
mod routing_status;
mod standings;

pub(crate) use budget::BudgetActor;
pub(crate) use dispatch::{AssignBackend, DispatchActor, DispatchInput, DispatchParts};
pub(crate) use fleet::{
    FleetActor, FleetInput, FleetOutputs, FleetParts, ListMembers, QueryDuties,
};
pub(crate) use money::{MoneyActor, MoneyCall, MoneyInput, MoneyParts, MoneyReply};
pub(crate) use orders::{OrderError, OrdersActor, OrdersInput, SubmitOrder};
pub(crate) use post::post;
pub(crate) use prepaid::{PrepaidActor, PrepaidInput, PrepaidParts};
pub(crate) use routing_status::{RoutingStatus, cold_cause_name};
pub(crate) use standings::{RequestStandings, StandingCount};
