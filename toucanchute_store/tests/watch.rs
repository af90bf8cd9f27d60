//! Tests of the client's watches against the fake platform.

#[path = "support/harness.rs"]
mod harness;

use std::net::SocketAddr;

use harness::{client, inject_fault, send, start_platform, unreachable_address};
use toucanchute_fakes::{Platform, PlatformOptions};
use toucanchute_store::{Entry, KeySelection, Revision, Store, Watch, WatchUpdate};

/// Waits for the next update that is neither progress nor a lost connection.
async fn next_change(watch: &mut Watch) -> WatchUpdate {
    loop {
        match watch.next().await.unwrap() {
            WatchUpdate::Progress { .. } | WatchUpdate::Disconnected => {}
            update => return update,
        }
    }
}

/// Returns the number of watches that `platform` has open.
async fn open_watches(platform: &Platform) -> u64 {
    let stats = send(platform.address(), "GET", "/stats", "").await;
    let stats: serde_json::Value = serde_json::from_slice(&stats).unwrap();
    stats["open_watches"].as_u64().unwrap()
}

fn put_update(key: &str, value: &str, revision: Revision) -> WatchUpdate {
    let (key, value) = (key.to_owned(), value.to_owned().into());
    WatchUpdate::Put(Entry {
        key,
        value,
        revision,
    })
}

#[tokio::test]
async fn reports_earlier_and_later_changes_of_a_prefix() {
    let platform = start_platform().await;
    let client = client(vec![platform.address()]);
    let first = client.put("/a/1", "one".into(), None).await.unwrap();
    client.put("/b", "other".into(), None).await.unwrap();
    let mut watch = client.watch(KeySelection::Prefix("/a/".to_owned()), first);
    assert_eq!(
        next_change(&mut watch).await,
        put_update("/a/1", "one", first)
    );
    let second = client.put("/a/2", "two".into(), None).await.unwrap();
    assert_eq!(
        next_change(&mut watch).await,
        put_update("/a/2", "two", second)
    );
    client.delete("/a/1").await.unwrap();
    let (key, revision) = ("/a/1".to_owned(), second.next());
    assert_eq!(
        next_change(&mut watch).await,
        WatchUpdate::Delete { key, revision }
    );
}

#[tokio::test]
async fn resumes_without_a_gap_after_an_outage() {
    let platform = start_platform().await;
    let client = client(vec![unreachable_address(), platform.address()]);
    let first = client.put("/k", "one".into(), None).await.unwrap();
    let mut watch = client.watch(KeySelection::Key("/k".to_owned()), first);
    assert_eq!(
        next_change(&mut watch).await,
        put_update("/k", "one", first)
    );
    inject_fault(&platform, r#"{"mode":"down","path":"/v3/watch"}"#).await;
    while watch.next().await.unwrap() != WatchUpdate::Disconnected {}
    let second = client.put("/k", "two".into(), None).await.unwrap();
    let third = client.put("/k", "three".into(), None).await.unwrap();
    inject_fault(&platform, "{}").await;
    assert_eq!(
        next_change(&mut watch).await,
        put_update("/k", "two", second)
    );
    assert_eq!(
        next_change(&mut watch).await,
        put_update("/k", "three", third)
    );
}

#[tokio::test]
async fn reports_a_gap_when_the_history_is_truncated() {
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let options = PlatformOptions {
        history: 2,
        ..PlatformOptions::default()
    };
    let platform = Platform::bind(listen, options).await.unwrap();
    let client = client(vec![platform.address()]);
    let first = client.put("/k", "1".into(), None).await.unwrap();
    for value in ["2", "3", "4"] {
        client.put("/k", value.into(), None).await.unwrap();
    }
    let mut watch = client.watch(KeySelection::Key("/k".to_owned()), first);
    let until = Revision(first.0 + 2);
    assert_eq!(
        next_change(&mut watch).await,
        WatchUpdate::Gap { from: first, until }
    );
    assert_eq!(next_change(&mut watch).await, put_update("/k", "3", until));
}

#[tokio::test]
async fn ends_when_dropped() {
    let platform = start_platform().await;
    let client = client(vec![platform.address()]);
    let first = client.put("/k", "v".into(), None).await.unwrap();
    let mut watch = client.watch(KeySelection::Key("/k".to_owned()), first);
    assert_eq!(next_change(&mut watch).await, put_update("/k", "v", first));
    assert_eq!(open_watches(&platform).await, 1);
    drop(watch);
    while open_watches(&platform).await > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(client.counts().watches, 1);
}
