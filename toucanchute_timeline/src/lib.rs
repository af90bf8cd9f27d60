//! Merges the event logs of all processes into one causally ordered timeline.
//!
//! Events are ordered by the hybrid logical timestamp in each line. Truncated and invalid lines are
//! skipped and listed by [`Timeline::skipped`].
//!
//! ```
//! use toucanchute_timeline::{Filter, Timeline};
//!
//! let mut timeline = Timeline::new();
//! timeline.add("a.log", b"hlc=7.0001 seq=0 process=router host=b event=request-settled\n");
//! timeline.add("b.log", b"hlc=7.0000 seq=4 process=engine host=e event=run-ended\ntorn");
//! let events = timeline.events(&Filter::default());
//! assert_eq!(events[0].name, "run-ended");
//! assert_eq!(timeline.skipped().len(), 1);
//! ```

mod cli;
mod error;
mod event;
mod filter;
mod html;
mod line;
mod text;
mod timeline;

pub use cli::main;
pub use event::{Event, Process};
pub use filter::Filter;
pub use html::to_html;
pub use line::{LineError, parse_line};
pub use text::to_text;
pub use timeline::{SkippedLine, Timeline};
