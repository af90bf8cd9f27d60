//! Planned stops of the process and reloads of its settings.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{signal::unix::Signal, sync::watch, time::Instant};
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
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// Time before the process ends at which quiet connections are closed and waiting requests refused,
/// even if other requests are still in progress. The edge takes less time to close connections.
const CLOSING_TIME: Duration = Duration::from_millis(1_500);

/// Pause between two checks whether the router still accepts new work.
const DRAIN_POLL_PAUSE: Duration = Duration::from_millis(50);

/// A planned stop of this process within a grace period.
pub(super) struct PlannedShutdown {
    pub(super) fleet: Address<FleetActor>,
    pub(super) prepaid: Address<PrepaidActor>,
    /// Set to true when the stop begins.
    pub(super) leaving: Arc<AtomicBool>,
    /// Set to true when quiet connections have to be closed and waiting requests refused.
    pub(super) closing: watch::Sender<bool>,
    /// Set to true when the process has to end at once.
    pub(super) out_of_time: watch::Sender<bool>,
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
        let end = Instant::now() + self.grace.saturating_sub(EXIT_MARGIN);
        log::info!(grace_ms = self.grace.as_millis() as u64; "drain-requested");
        self.leaving.store(true, Ordering::Relaxed);
        post(&self.prepaid, PrepaidInput::Drain);
        post(&self.fleet, FleetInput::Drain);
        tokio::time::sleep_until(end - CLOSING_TIME.min(self.grace)).await;
        self.closing.send_replace(true);
        tokio::time::sleep_until(end).await;
        log::warn!("drain-out-of-time");
        self.out_of_time.send_replace(true);
    }
}

/// Resolves once the router refuses new work because it is leaving, or once connections have to be
/// closed.
pub(super) async fn draining_started(view: Arc<RouterView>, mut closing: watch::Receiver<bool>) {
    loop {
        let refusal = view.unready(clock::now());
        let draining = refusal.is_some_and(|r| r.reason == RefusalReason::Draining);
        if draining || *closing.borrow_and_update() {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_PAUSE).await;
    }
}

/// Resolves once the sender has set its value to true.
pub(super) async fn requested(mut signal: watch::Receiver<bool>) {
    if signal.wait_for(|set| *set).await.is_err() {
        std::future::pending::<()>().await;
    }
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
