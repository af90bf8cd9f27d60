//! Tests of routers that exchange copies without a network, beside a store in memory.

use tokio::{runtime::Builder, sync::mpsc};
use toucanchute_core::origins::AddressedMessage;
use toucanchute_proto::{Incarnation, fleet::MemberState};
use yare::parameterized;

use super::*;
use crate::gateway::memory_store::MemoryStore;

/// Time for which these tests keep streams.
const KEEP: Millis = Millis(20_000);

/// Versions of the software that serve, in tests of several.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// A router of such a test.
struct TestRouter {
    keeper: Arc<StreamOriginKeeper<MemoryStore>>,
    copies: Arc<StreamCopies>,
    outbox: mpsc::UnboundedReceiver<AddressedMessage>,
}

fn found(version: &str) -> Found {
    Found {
        name: format!("server-{version}"),
        service: "model".to_owned(),
        software: Some(version.to_owned()),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 1,
        leaving: false,
        cold_ms: None,
    }
}

fn member(id: u64) -> MemberView {
    MemberView {
        incarnation: Incarnation(id),
        host: format!("host-{id}"),
        failure_domain: "d".to_owned(),
        region: String::new(),
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        capacity: 0,
        bandwidth: 0,
        list_share: 8,
        state: MemberState::Alive,
        ended: false,
        outage: false,
    }
}

/// Returns a store whose writes are lost.
fn lost_store() -> MemoryStore {
    let store = MemoryStore::default();
    store.holds_writes.store(true, Ordering::Relaxed);
    store
}

/// Returns a router that knows servers of `versions` and the routers `others`, and whose writes are lost.
fn router(versions: &[&str], others: &[u64]) -> TestRouter {
    router_at(&lost_store(), versions, others)
}

/// Returns a router that knows servers of `versions` and the routers `others`.
fn router_at(store: &MemoryStore, versions: &[&str], others: &[u64]) -> TestRouter {
    let (_, eras) = watch::channel(1);
    let (tx, outbox) = mpsc::unbounded_channel();
    let copies = Arc::new(StreamCopies::new(tx));
    let keeper = StreamOriginKeeper::start(store.clone(), "host-1", eras, Arc::clone(&copies));
    let registered: Vec<Found> = versions.iter().map(|v| found(v)).collect();
    keeper.set_registered(&registered, others.len() + 1);
    let members: Vec<MemberView> = others.iter().map(|&id| member(id)).collect();
    keeper.set_members(&members);
    TestRouter {
        keeper,
        copies,
        outbox,
    }
}

/// Delivers messages between the routers 1 and 2, until `end` resolves.
async fn deliver_until<T>(
    one: &mut TestRouter,
    other: &mut TestRouter,
    end: impl Future<Output = T>,
) -> T {
    tokio::pin!(end);
    loop {
        tokio::select! {
            ended = &mut end => return ended,
            Some((_, m)) = one.outbox.recv() => other.copies.receive(Incarnation(1), m),
            Some((_, m)) = other.outbox.recv() => one.copies.receive(Incarnation(2), m),
        }
    }
}

fn stream() -> StreamId {
    StreamId::new("north", b"a1")
}

fn origin() -> StreamOrigin {
    StreamOrigin::new("model", Some("v1"))
}

/// Guards against a stream whose first event is relayed before any other router knows what began it, so that
/// nobody can take it up if the router ends (LOST).
#[tokio::test]
async fn a_stream_is_known_elsewhere_before_its_first_event() {
    let mut one = router(&VERSIONS, &[2]);
    let mut other = router(&VERSIONS, &[1]);
    let keeper = Arc::clone(&one.keeper);
    let recorded = keeper.record(stream(), origin(), KEEP);
    let recorded = deliver_until(&mut one, &mut other, recorded).await;
    assert_eq!(recorded, CopyResult::Copied);
    drop(one);
    assert_eq!(other.keeper.find(stream(), "model").await, Ok(origin()));
}

/// Guards against a stream that waits for routers that do not answer.
#[tokio::test]
async fn a_stream_goes_on_if_no_router_acknowledges_its_copy() {
    let one = router(&VERSIONS, &[2]);
    let recorded = one.keeper.record(stream(), origin(), KEEP).await;
    assert_eq!(recorded, CopyResult::Late);
}

/// Guards against messages for each stream while one version serves, which answers for all.
#[tokio::test]
async fn streams_of_a_service_with_one_version_are_not_copied() {
    let mut one = router(&VERSIONS[..1], &[2]);
    let recorded = one.keeper.record(stream(), origin(), KEEP).await;
    assert_eq!(recorded, CopyResult::NotNeeded);
    assert!(one.outbox.try_recv().is_err());
}

/// Guards against a guess where neither other routers nor the store know the stream (ORDER).
#[tokio::test]
async fn a_stream_that_nobody_knows_is_unknown() {
    let mut one = router(&VERSIONS, &[2]);
    let mut other = router(&VERSIONS, &[1]);
    let keeper = Arc::clone(&one.keeper);
    let unknown = keeper.find(stream(), "model");
    let unknown = deliver_until(&mut one, &mut other, unknown).await;
    assert!(unknown.is_err(), "{unknown:?}");
}

/// Guards against streams that nobody can take up after all routers of a small fleet were lost at once (LOST).
#[tokio::test(start_paused = true)]
async fn a_stream_of_a_small_fleet_is_stored_before_its_first_event() {
    let store = MemoryStore::default();
    let one = router_at(&store, &VERSIONS, &[]);
    sleep(MIN_WRITE_PAUSE).await;
    for i in 0..20_u64 {
        let stream = StreamId::new("north", &i.to_be_bytes());
        one.keeper.record(stream, origin(), KEEP).await;
        let other = router_at(&store, &VERSIONS, &[]);
        assert_eq!(other.keeper.find(stream, "model").await, Ok(origin()));
    }
}

/// Guards against first events that wait for a store that does not answer, or that a large fleet cannot write
/// to for each stream.
#[parameterized(
    lost_writes = { lost_store(), 1 },
    large_fleet = { MemoryStore::default(), 70 },
)]
fn no_stream_waits_for_a_store_that_is_not_written_soon(store: MemoryStore, others: u64) {
    let mut runtime = Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true);
    runtime.build().unwrap().block_on(async {
        let others: Vec<u64> = (2..2 + others).collect();
        let mut one = router_at(&store, &VERSIONS, &others);
        let mut other = router_at(&lost_store(), &VERSIONS, &[1]);
        sleep(MIN_WRITE_PAUSE).await;
        let keeper = Arc::clone(&one.keeper);
        let began = Instant::now();
        let recorded = keeper.record(stream(), origin(), KEEP);
        deliver_until(&mut one, &mut other, recorded).await;
        assert_eq!(began.elapsed(), Duration::ZERO);
    });
}
