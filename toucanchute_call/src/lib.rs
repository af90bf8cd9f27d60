//! Reference caller and load tool.
//!
//! A [`Caller`] fetches the address list from a router and caches it for the maximum age that the
//! router sets. It retries a request at other addresses, under the same idempotency key, until the
//! outcome is final:
//!
//! ```no_run
//! use toucanchute_call::{Caller, CallerOptions, Request};
//!
//! # async fn run() -> Result<(), toucanchute_call::CallError> {
//! let seeds = vec!["127.0.0.1:17101".parse().unwrap()];
//! let caller = Caller::new(seeds, "dispatch-desk-token", CallerOptions::default());
//! let req = Request::completion("repair-assistant", "Gate stuck half open.", 64);
//! let answer = caller.send(&req, "report-1").await?;
//! println!("{}", answer.text);
//! # Ok(())
//! # }
//! ```

mod address_cache;
mod answer;
mod caller;
mod cli;
mod error;
mod exchange;
mod load;
mod request;
mod sse;
mod verify;

pub use answer::{Answer, Timing};
pub use caller::{Caller, CallerOptions};
pub use cli::main;
pub use error::{CallError, LoadError};
pub use load::{
    BudgetReport, LoadCustomer, LoadOptions, LoadService, Percentiles, Report, run_load,
};
pub use request::{Request, Work};
pub use verify::{Verdict, verify};
