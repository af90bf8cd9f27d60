//! Tests of the orders that are read from the store.

use bytes::Bytes;
use toucanchute_platform::CONFIG_KEY;
use toucanchute_store::{Entry, Revision, Snapshot};

use super::EvacuationOrders;

fn snapshot(revision: u64, keys: &[&str]) -> Snapshot {
    let entry = |key: &&str| Entry {
        key: (*key).to_owned(),
        value: Bytes::from_static(b"{}"),
        revision: Revision(1),
    };
    Snapshot {
        revision: Revision(revision),
        entries: keys.iter().map(entry).collect(),
    }
}

fn domains(orders: &EvacuationOrders) -> (u64, Vec<String>) {
    let list = orders.list();
    (list.revision, list.failure_domains)
}

/// Guards against orders that are missed beside the configuration, and against spoilt keys.
#[test]
fn orders_are_read_beside_other_keys() {
    let mut orders = EvacuationOrders::default();
    let keys = [
        CONFIG_KEY,
        "op/evacuate/",
        "op/evacuate/oviedo",
        "op/evacuated/bilbao",
    ];
    orders.replace(&snapshot(9, &keys));
    assert_eq!(domains(&orders), (9, vec!["oviedo".to_owned()]));
}

/// Guards against an order that stays although it was taken back while the watch was lost.
#[test]
fn a_later_snapshot_replaces_all_orders() {
    let mut orders = EvacuationOrders::default();
    orders.replace(&snapshot(9, &["op/evacuate/oviedo"]));
    orders.replace(&snapshot(12, &["op/evacuate/bilbao"]));
    assert_eq!(domains(&orders), (12, vec!["bilbao".to_owned()]));
}

/// Guards against a list whose revision does not rise, which other routers would ignore.
#[test]
fn changes_raise_the_revision() {
    let mut orders = EvacuationOrders::default();
    orders.replace(&snapshot(9, &[]));
    assert!(orders.record("op/evacuate/oviedo", Revision(11), true));
    assert_eq!(domains(&orders), (11, vec!["oviedo".to_owned()]));
    assert!(orders.record("op/evacuate/oviedo", Revision(12), false));
    assert_eq!(domains(&orders), (12, vec![]));
    assert!(!orders.record(CONFIG_KEY, Revision(13), true));
}
