//! Fakes of the systems that toucanchute uses: the platform, model engines, other services and the
//! weight store. They are for tests only and are never shipped.
//!
//! Each fake runs inside the current process or as a binary, serves HTTP/1.1 and injects the faults
//! that `POST /fault` sets:
//!
//! ```
//! use toucanchute_fakes::{Engine, EngineOptions};
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let engine = Engine::bind("127.0.0.1:0".parse().unwrap(), EngineOptions::default())
//!     .await
//!     .unwrap();
//! assert_ne!(engine.address().port(), 0);
//! # });
//! ```

mod cli;
mod engine;
mod platform;
mod reply;
mod server;
mod service;
mod weights;

pub use cli::{engine_main, platform_main, service_main};
pub use engine::{Engine, EngineOptions, Fencing, answer_tag, answer_token, prompt_tokens};
pub use platform::{Platform, PlatformOptions};
pub use server::Server;
pub use service::{Service, ServiceOptions};
pub use weights::WeightOptions;
