//! Planned stops of the process and reloads of its settings.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{signal::unix::Signal, sync::watch};
use toucanchute_edge::RefusalReason;
use toucanchute_settings::load_gateway;
use xtra::prelude::*;

use crate::{
    actor::{FleetActor, FleetInput, PrepaidActor, PrepaidInput, post},
    clock,
    run::level_filter,
    view::RouterView,
};

/// Time before the end of the grace period at which the process ends even if requests are still in
/// progress.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(250);

/// Pause between two checks whether the router still accepts new work.
const DRAIN_POLL_PAUSE: Duration = Duration::from_millis(50);

/// A planned stop of this process within a grace period.
pub(super) struct PlannedShutdown {
    pub(super) fleet: Address<FleetActor>,
    pub(super) prepaid: Address<PrepaidActor>,
    /// Set to true when the stop begins.
    pub(super) leaving: Arc<AtomicBool>,
    /// Set to true when the process has to end.
    pub(super) exit: watch::Sender<bool>,
    /// Time between the signal and the moment when the platform kills the process.
    pub(super) grace: Duration,
}

impl PlannedShutdown {
    /// Begins the stop when one of the signals arrives, and forces the exit shortly before the end
    /// of the grace period.
    pub(super) async fn run_on_signal(self, mut terminate: Signal, mut interrupt: Signal) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(grace_ms = self.grace.as_millis() as u64; "drain-requested");
        self.leaving.store(true, Ordering::Relaxed);
        post(&self.prepaid, PrepaidInput::Drain);
        post(&self.fleet, FleetInput::Drain);
        tokio::time::sleep(self.grace.saturating_sub(SHUTDOWN_MARGIN)).await;
        log::warn!("drain-out-of-time");
        self.exit.send_replace(true);
    }
}

/// Resolves once the router refuses new work because it is leaving, or once the process has to end.
pub(super) async fn draining_started(view: Arc<RouterView>, mut exit: watch::Receiver<bool>) {
    loop {
        let refusal = view.unready(clock::now());
        let draining = refusal.is_some_and(|r| r.reason == RefusalReason::Draining);
        if draining || *exit.borrow_and_update() {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_PAUSE).await;
    }
}

/// Resolves once the process has to end.
pub(super) async fn exit_requested(mut exit: watch::Receiver<bool>) {
    let _ = exit.wait_for(|left| *left).await;
}

/// Reads the settings file again whenever the signal arrives. Only the log level takes effect;
/// other settings need a restart.
pub(super) async fn reload_on_hangup(mut hangup: Signal, path: PathBuf) {
    while hangup.recv().await.is_some() {
        match load_gateway(&path) {
            Ok(settings) => {
                log::set_max_level(level_filter(settings.log.level));
                log::info!(path:% = path.display(); "settings-reloaded");
            }
            Err(e) => log::error!(error:% = e; "settings-refused"),
        }
    }
}
