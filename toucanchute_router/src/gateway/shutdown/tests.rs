use std::{process::Command, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::Instant,
};

use super::{SIGNAL_CHECK_INTERVAL, signalled};

/// Guards against requests that are accepted and cut, because a router that was short of processor
/// time counted its stop from when it noticed the signal.
#[tokio::test]
async fn a_stop_counts_from_before_its_signal_in_a_process_that_was_held_up() {
    let mut terminate = signal(SignalKind::terminate()).unwrap();
    let mut interrupt = signal(SignalKind::interrupt()).unwrap();
    let waiting = tokio::spawn(async move { signalled(&mut terminate, &mut interrupt).await });
    tokio::time::sleep(4 * SIGNAL_CHECK_INTERVAL).await;
    let sent_at = Instant::now();
    let pid = std::process::id().to_string();
    assert!(Command::new("kill").arg(pid).status().unwrap().success());
    // The waiting task runs on this thread, which does nothing else meanwhile.
    std::thread::sleep(Duration::from_millis(500));
    let counted_from = waiting.await.unwrap();
    assert!(counted_from <= sent_at);
    assert!(sent_at - counted_from <= 3 * SIGNAL_CHECK_INTERVAL);
}
