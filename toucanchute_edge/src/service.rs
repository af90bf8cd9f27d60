//! Calls to plain services.

mod call;
mod run;

pub(crate) use call::ServiceCall;
pub(crate) use run::run;
