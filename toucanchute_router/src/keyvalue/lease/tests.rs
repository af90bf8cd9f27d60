use std::sync::Arc;

use toucanchute_fakes::{Platform, PlatformOptions};
use toucanchute_proto::Incarnation;
use toucanchute_store::{Client, ClientSettings};

use super::{LEASE_TTL, LeaseStore};

/// Starts a fake platform and returns it with the lease stores of two routers.
async fn routers() -> (Platform, LeaseStore, LeaseStore) {
    let address = "127.0.0.1:0".parse().unwrap();
    let platform = Platform::bind(address, PlatformOptions::default())
        .await
        .unwrap();
    let client = Arc::new(Client::new(ClientSettings::new(vec![platform.address()])));
    let first = LeaseStore::new(Arc::clone(&client), Incarnation(1));
    let second = LeaseStore::new(client, Incarnation(2));
    (platform, first, second)
}

#[tokio::test]
async fn renewal_keeps_the_fencing_number() {
    let (_platform, first, _) = routers().await;
    let taken = first.acquire("assistants").await.unwrap();
    let renewed = first.acquire("assistants").await.unwrap();
    assert_eq!((taken.fence, renewed.fence), (1, 1));
    assert_eq!((taken.previous_ttl, renewed.previous_ttl), (None, None));
}

#[tokio::test]
async fn next_holder_learns_the_ttl_of_an_unreleased_lease() {
    let (_platform, first, second) = routers().await;
    let _ = first.acquire("assistants").await.unwrap();
    let lease = second.acquire("assistants").await.unwrap();
    assert_eq!((lease.fence, lease.previous_ttl), (2, Some(LEASE_TTL)));
    let reacquired = first.acquire("assistants").await.unwrap();
    assert_eq!(
        (reacquired.fence, reacquired.previous_ttl),
        (3, Some(LEASE_TTL))
    );
}

#[tokio::test]
async fn next_holder_need_not_wait_for_a_released_lease() {
    let (_platform, first, second) = routers().await;
    let _ = first.acquire("assistants").await.unwrap();
    first.release("assistants").await.unwrap();
    let lease = second.acquire("assistants").await.unwrap();
    assert_eq!((lease.fence, lease.previous_ttl), (2, None));
}

#[tokio::test]
async fn release_by_a_previous_holder_changes_nothing() {
    let (_platform, first, second) = routers().await;
    let _ = first.acquire("assistants").await.unwrap();
    let _ = second.acquire("assistants").await.unwrap();
    first.release("assistants").await.unwrap();
    let lease = second.acquire("assistants").await.unwrap();
    assert_eq!((lease.fence, lease.previous_ttl), (2, Some(LEASE_TTL)));
}

// Guards against a lost response to a successful acquire: the router repeats the call, and must
// still learn the previous holder's time to live.
#[tokio::test]
async fn lost_response_does_not_shorten_the_wait() {
    let (_platform, first, second) = routers().await;
    let _ = first.acquire("assistants").await.unwrap();
    let _lost = second.acquire("assistants").await.unwrap();
    let lease = second.acquire("assistants").await.unwrap();
    assert_eq!((lease.fence, lease.previous_ttl), (2, Some(LEASE_TTL)));
}
