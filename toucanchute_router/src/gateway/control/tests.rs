use std::{sync::Arc, time::Duration};

use tokio::sync::{mpsc, watch};
use toucanchute_core::{
    placement::HostCapacity,
    routing::{RegionNeed, SoftwareNeed},
};
use toucanchute_edge::{
    AssignRequest, RefusalOutcome, RefusalReason, Target,
    passthrough::{RouteControl, TokenRefusalReason, TokenRequest},
};
use toucanchute_platform::StoreClient;
use toucanchute_proto::{BudgetId, Digest, Millis, config::Config};
use xtra::Mailbox;

use super::GatewayControl;
use crate::{
    actor::{DispatchActor, PrepaidActor},
    gateway::{StreamCopies, StreamOriginKeeper, host_link::HostLink, metrics::GatewayMetrics},
    server::starting_refusal,
    view::RouterView,
};

/// Longest time that a request may wait in these tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A control whose actors never answer.
struct SilentActors {
    control: GatewayControl,
    closing: watch::Sender<bool>,
    _mailboxes: (Mailbox<PrepaidActor>, Mailbox<DispatchActor>),
}

fn silent_actors() -> SilentActors {
    let (prepaid, prepaid_mailbox) = Mailbox::unbounded();
    let (dispatch, dispatch_mailbox) = Mailbox::unbounded();
    let (closing, closing_rx) = watch::channel(false);
    let no_store = StoreClient::new(([127, 0, 0, 1], 1).into(), Millis(100), Millis(100));
    let eras = no_store.eras();
    let (no_peers, _) = mpsc::unbounded_channel();
    let control = GatewayControl {
        view: Arc::new(RouterView::new(
            Arc::new(Config::default()),
            starting_refusal(),
        )),
        prepaid,
        dispatch,
        stop: watch::channel(None).1,
        closing: closing_rx,
        origins: StreamOriginKeeper::start(
            no_store,
            "h",
            eras,
            Arc::new(StreamCopies::new(no_peers)),
        ),
        metrics: Arc::new(GatewayMetrics::new()),
        host_link: Arc::new(HostLink::new(HostCapacity::default(), Arc::default())),
    };
    SilentActors {
        control,
        closing,
        _mailboxes: (prepaid_mailbox, dispatch_mailbox),
    }
}

/// Guards against a process that ends while requests wait for a backend server, which cuts them.
#[tokio::test]
async fn a_request_that_waits_for_a_server_is_refused_before_the_process_ends() {
    let actors = silent_actors();
    let req = AssignRequest {
        target: Target::Service("svc".to_owned()),
        customer: String::new(),
        weight: 1,
        priority: 0,
        digest: Digest::new("/a", b""),
        parts: Vec::new(),
        prefix: Vec::new(),
        affinity: None,
        tokens: 0,
        attempts: 0,
        exclude: Vec::new(),
        running_on: Vec::new(),
        software: SoftwareNeed::Any,
        regions: RegionNeed::Any,
        may_wait: true,
        deadline: Millis(u64::MAX),
    };
    let assigned = actors.control.assign(req);
    actors.closing.send_replace(true);
    let assigned = tokio::time::timeout(TEST_TIMEOUT, assigned).await;
    let refusal = assigned.expect("the request waits").unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Draining);
    assert_eq!(refusal.outcome, RefusalOutcome::NothingSent);
    assert!(refusal.retry_after.is_some());
}

/// Guards against a process that ends while requests wait for tokens, which cuts them.
#[tokio::test]
async fn a_request_that_waits_for_tokens_is_refused_before_the_process_ends() {
    let actors = silent_actors();
    let req = TokenRequest {
        rest: 0,
        extends: None,
        request: String::new(),
        budget: BudgetId(1),
        tokens: 1,
        deadline: Millis(u64::MAX),
    };
    let reserved = actors.control.reserve(req);
    actors.closing.send_replace(true);
    let reserved = tokio::time::timeout(TEST_TIMEOUT, reserved).await;
    let refusal = reserved.expect("the request waits").unwrap_err();
    assert_eq!(refusal.reason, TokenRefusalReason::Stopping);
}
