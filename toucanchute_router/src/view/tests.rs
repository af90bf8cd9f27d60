use std::sync::Arc;

use toucanchute_edge::{Refusal, RefusalOutcome, RefusalReason};
use toucanchute_proto::{Millis, config::Config};
use yare::parameterized;

use super::RouterView;

fn config(version: u64) -> Arc<Config> {
    Arc::new(Config {
        version,
        ..Config::default()
    })
}

fn view() -> RouterView {
    let reason = RefusalReason::Starting;
    let refusal = Refusal {
        reason,
        outcome: RefusalOutcome::NothingSent,
        retry_after: None,
        elsewhere: None,
    };
    RouterView::new(config(0), refusal)
}

/// Guards against a process that resumes after a freeze and accepts work on a stale view.
#[parameterized(
    at_once = { 10_000, None },
    within_the_bound = { 11_500, None },
    after_a_freeze = { 70_000, Some(RefusalReason::StaleView) },
)]
fn readiness_lapses(now: u64, expected: Option<RefusalReason>) {
    let view = view();
    view.set_unready(None);
    view.confirm_readiness(Millis(10_000), None);
    assert_eq!(
        view.unready(Millis(now)).map(|refusal| refusal.reason),
        expected
    );
}

#[test]
fn reason_that_was_set_precedes_stale_view() {
    let view = view();
    assert_eq!(
        view.unready(Millis(0)).unwrap().reason,
        RefusalReason::Starting
    );
    assert_eq!(
        view.unready(Millis(90_000)).unwrap().reason,
        RefusalReason::Starting
    );
}

#[test]
fn configuration_never_reverts() {
    let view = view();
    view.set_config(config(7));
    view.set_config(config(6));
    assert_eq!(view.config().version, 7);
}
