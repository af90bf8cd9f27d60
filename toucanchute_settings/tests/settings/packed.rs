use toucanchute_proto::config::{Budget, Config, Head, Ledger, Routing};
use toucanchute_settings::{MAX_CHUNK_BYTES, PackedConfig, assemble};

fn config(budgets: &[String]) -> Config {
    Config {
        routes: Vec::new(),
        callers: None,
        version: 0,
        site: "s".to_owned(),
        routing: Routing::default(),
        ledger: Ledger::default(),
        models: Vec::new(),
        services: Vec::new(),
        pools: Vec::new(),
        backends: Vec::new(),
        budgets: budgets
            .iter()
            .map(|name| Budget {
                name: name.clone(),
                prepaid: None,
            })
            .collect(),
        customers: Vec::new(),
        evacuated_domains: Vec::new(),
        failure_domains: Vec::new(),
    }
}

fn bodies(packed: &PackedConfig) -> Vec<&[u8]> {
    packed.chunks.iter().map(|c| c.body.as_slice()).collect()
}

#[test]
fn digest_ignores_order_and_version() {
    let a = config(&["x".to_owned(), "y".to_owned()]);
    let mut b = config(&["y".to_owned(), "x".to_owned()]);
    b.version = 7;
    assert_eq!(PackedConfig::new(&a), PackedConfig::new(&b));
    assert_ne!(PackedConfig::new(&a), PackedConfig::new(&config(&[])));
}

#[test]
fn large_configuration_is_reassembled_from_chunks() {
    let names: Vec<String> = (0..30_000).map(|n| format!("budget-{n:08}")).collect();
    let packed = PackedConfig::new(&config(&names));
    assert!(packed.chunks.len() > 2);
    assert!(
        packed
            .chunks
            .iter()
            .all(|c| c.body.len() <= MAX_CHUNK_BYTES)
    );
    let cfg = assemble(&packed.head(3, "ana"), &bodies(&packed)).unwrap();
    assert_eq!(cfg.version, 3);
    assert_eq!(PackedConfig::new(&cfg), packed);
}

/// Defines a test for each case: a change of the head or the chunk bodies, and a part of the error
/// message expected from `assemble`.
macro_rules! assemble_errors {
    ($($name:ident: $change:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let packed = PackedConfig::new(&config(&[]));
            let mut head = packed.head(1, "ana");
            let mut bodies: Vec<Vec<u8>> = packed.chunks.into_iter().map(|c| c.body).collect();
            let change: fn(&mut Head, &mut Vec<Vec<u8>>) = $change;
            change(&mut head, &mut bodies);
            let err = assemble(&head, &bodies).unwrap_err().to_string();
            assert!(err.contains($expected), "{err}");
        }
    )*};
}

assemble_errors! {
    missing_chunk: |_, b| b.clear() => "missing or damaged";
    damaged_chunk: |_, b| b[0][9] ^= 1 => "missing or damaged";
    other_digest: |h, _| h.digest.push('0') => "its head requires";
}
