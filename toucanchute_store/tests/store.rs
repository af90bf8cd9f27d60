//! Tests of reads, writes and leases of the client against the fake platform.

#[path = "support/harness.rs"]
mod harness;

use harness::{client, inject_fault, send, start_platform, unreachable_address};
use toucanchute_proto::Millis;
use toucanchute_store::{
    CasOutcome, Client, ClientSettings, HostListClient, HostState, Revision, Store, WriteEffect,
};
use yare::parameterized;

#[tokio::test]
async fn reads_what_was_written() {
    let platform = start_platform().await;
    let client = client(vec![platform.address()]);
    assert_eq!(client.get("/a/1").await.unwrap(), None);
    let revision = client.put("/a/1", "one".into(), None).await.unwrap();
    client.put("/a/2", vec![0, 255].into(), None).await.unwrap();
    client.put("/b", "other".into(), None).await.unwrap();
    assert_eq!(
        client.get("/a/1").await.unwrap().unwrap().revision,
        revision
    );
    let snapshot = client.get_prefix("/a/").await.unwrap();
    let keys: Vec<&str> = snapshot.entries.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, ["/a/1", "/a/2"]);
    assert_eq!(snapshot.entries[1].value, vec![0, 255]);
    assert!(client.delete("/a/1").await.unwrap());
    assert!(!client.delete("/a/1").await.unwrap());
}

#[tokio::test]
async fn cas_treats_a_deleted_key_as_absent() {
    let platform = start_platform().await;
    let client = client(vec![platform.address()]);
    let CasOutcome::Applied { revision } = client
        .cas("/k", Revision::ABSENT, "1".into())
        .await
        .unwrap()
    else {
        panic!("conflict on an absent key");
    };
    client.delete("/k").await.unwrap();
    let cas = client.cas("/k", revision, "2".into()).await.unwrap();
    assert_eq!(cas, CasOutcome::Conflict { current: None });
}

/// The error of a failed write reports whether the write took effect. It never reports that an
/// applied write had no effect.
#[parameterized(
    down = { r#"{"mode":"down"}"#, WriteEffect::Unknown, false },
    lost_answer = { r#"{"mode":"lose-answers"}"#, WriteEffect::Unknown, true },
    refused = { r#"{"mode":"refuse"}"#, WriteEffect::NotApplied, false },
    slow = { r#"{"mode":"slow","ms":600000}"#, WriteEffect::Unknown, false },
)]
#[test_macro(tokio::test)]
async fn failed_write(mode: &str, effect: WriteEffect, written: bool) {
    let platform = start_platform().await;
    let settings = ClientSettings::new(vec![platform.address()]);
    let client = Client::new(ClientSettings {
        timeout: Millis(200),
        ..settings
    });
    inject_fault(&platform, mode).await;
    let e = client
        .cas("/k", Revision::ABSENT, "v".into())
        .await
        .unwrap_err();
    assert_eq!(e.write_effect(), effect, "{e}");
    inject_fault(&platform, "{}").await;
    assert_eq!(client.get("/k").await.unwrap().is_some(), written);
    let counts = client.counts();
    assert_eq!((counts.writes, counts.not_applied + counts.unknown), (1, 1));
}

#[tokio::test]
async fn oversized_value_is_rejected() {
    let platform = start_platform().await;
    let client = client(vec![platform.address()]);
    let e = client
        .put("/k", vec![0; 1_000_001].into(), None)
        .await
        .unwrap_err();
    assert_eq!(e.write_effect(), WriteEffect::NotApplied, "{e}");
}

#[tokio::test]
async fn unreachable_endpoint_is_skipped() {
    let platform = start_platform().await;
    let client = client(vec![unreachable_address(), platform.address()]);
    client.put("/k", "v".into(), None).await.unwrap();
    assert_eq!(client.counts().not_applied, 1);
    client.put("/k", "w".into(), None).await.unwrap();
    assert_eq!(client.counts().not_applied, 1);
}

#[tokio::test]
async fn unreachable_platform_proves_that_nothing_was_applied() {
    let client = client(vec![unreachable_address(), unreachable_address()]);
    let e = client.put("/k", "v".into(), None).await.unwrap_err();
    assert_eq!(e.write_effect(), WriteEffect::NotApplied, "{e}");
    let e = client.get("/k").await.unwrap_err();
    assert_eq!(e.write_effect(), WriteEffect::NotApplied, "{e}");
}

#[tokio::test]
async fn write_with_unknown_effect_is_not_sent_to_another_endpoint() {
    let (first, second) = (start_platform().await, start_platform().await);
    inject_fault(&first, r#"{"mode":"down"}"#).await;
    let client = client(vec![first.address(), second.address()]);
    let e = client.put("/k", "v".into(), None).await.unwrap_err();
    assert_eq!(e.write_effect(), WriteEffect::Unknown, "{e}");
    assert_eq!(client.counts().writes, 1);
    assert_eq!(client.get("/k").await.unwrap(), None);
}

#[tokio::test]
async fn revoked_lease_deletes_its_keys_and_has_no_time_to_live() {
    let platform = start_platform().await;
    let client = client(vec![platform.address()]);
    let lease = client.grant_lease(Millis(59_500)).await.unwrap();
    client.put("/k", "v".into(), Some(lease)).await.unwrap();
    assert_eq!(client.keep_alive(lease).await.unwrap(), Millis(60_000));
    client.revoke_lease(lease).await.unwrap();
    assert_eq!(client.get("/k").await.unwrap(), None);
    assert_eq!(client.keep_alive(lease).await.unwrap(), Millis(0));
}

#[tokio::test]
async fn host_list_is_read() {
    let platform = start_platform().await;
    let body = r#"{"hosts":[{"name":"a","address":"127.0.0.1:1","failure_domain":"oviedo",
        "role":"backend","state":"leaving"}]}"#;
    send(platform.address(), "PUT", "/v1/hosts", body).await;
    let hosts = HostListClient::new(
        vec![unreachable_address(), platform.address()],
        Millis(5_000),
    );
    let list = hosts.get().await.unwrap();
    assert_eq!((list.version, list.hosts[0].state), (1, HostState::Leaving));
}
