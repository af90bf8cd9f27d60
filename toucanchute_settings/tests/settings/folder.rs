use toucanchute_proto::config::PoolKind;
use toucanchute_settings::load_folder;

use crate::files::Folder;

const SITE: &str = "[site]\nname = portones\n[ledger]\nshards = 2\n";

const POOLS: &str = "\
[pool assistants]
kind = engine
[pool bookings]
kind = service
[model assistant]
pool = assistants
[service booking]
pool = bookings
price = 20
[backend assistant-1]
pool = assistants
address = 127.0.0.1:7301
failure_domain = bilbao
";

const CUSTOMERS: &str = "[budget north]\n[customer desk]\nbudget = north\ntoken = desk-token\n";

#[test]
fn files_are_merged_into_one_configuration() {
    let folder = Folder::with(&[
        ("site.ini", SITE),
        ("pools.ini", POOLS),
        ("customers.ini", CUSTOMERS),
        ("notes.txt", "not read"),
    ]);
    let cfg = load_folder(folder.path()).unwrap();
    assert_eq!((cfg.version, cfg.site.as_str()), (0, "portones"));
    assert_eq!((cfg.ledger.shards, cfg.ledger.ring), (2, 64));
    assert_eq!(cfg.pools[0].kind, PoolKind::Engine);
    assert_eq!(
        (cfg.services[0].price_tokens, cfg.services[0].timeout_ms),
        (20, 10_000)
    );
    let digest = "6122302bcd3f8ce89bcc5c9198be780e54d4d4a74110b2b88ddf5abb6ccb17a8";
    assert_eq!(cfg.customers[0].token_sha256, digest);
}

/// Guards against an evacuation that an operator applied and that no router sees.
#[test]
fn evacuated_domains_are_read() {
    let site = SITE.replace("portones\n", "portones\nevacuated = bilbao, oviedo\n");
    let folder = Folder::with(&[("a.ini", &site)]);
    let cfg = load_folder(folder.path()).unwrap();
    assert_eq!(cfg.evacuated_domains, ["bilbao", "oviedo"]);
}

/// Defines a test for each case: the text of a file added to valid ones, and the complete error
/// message expected.
macro_rules! faults {
    ($($name:ident: $text:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let folder = Folder::with(&[
                ("a.ini", SITE), ("b.ini", POOLS), ("c.ini", CUSTOMERS), ("d.ini", $text),
            ]);
            let err = load_folder(folder.path()).unwrap_err();
            assert_eq!(folder.relative(&err), $expected);
        }
    )*};
}

faults! {
    duplicate_name_across_files: "[budget north]\n" =>
        "d.ini:1: [budget north] section already defined at c.ini:1";
    duplicate_site: "[site]\nname = other\n" =>
        "d.ini:1: [site] section already defined at a.ini:1";
    unnamed_section: "[budget]\n" =>
        "d.ini:1: [budget] expected a name of at most 64 letters, digits, `-`, `_`, `.` or `/`";
    unknown_kind: "[budgets west]\n" =>
        "d.ini:1: [budgets west] unknown section; did you mean `budget`?";
    unknown_pool: "[model quick]\npool = asistants\n" =>
        "d.ini:2: [model quick] pool = \"asistants\": no pool of that name is defined; did you \
         mean `assistants`?";
    pool_of_other_kind: "[service roster]\npool = assistants\n" =>
        "d.ini:2: [service roster] pool = \"assistants\": the pool's kind is engine, expected \
         service";
    unknown_budget: "[customer x]\nbudget = south\ntoken = other-token\n" =>
        "d.ini:2: [customer x] budget = \"south\": no budget of that name is defined; did you \
         mean `north`?";
    shared_token: "[customer x]\nbudget = north\ntoken = desk-token\n" =>
        "d.ini:3: [customer x] token: customer desk has the same token";
    shared_address: "[backend b]\npool = bookings\naddress = 127.0.0.1:7301\nfailure_domain = b\n" =>
        "d.ini:3: [backend b] address = \"127.0.0.1:7301\": backend assistant-1 has the same \
         address";
    more_acks_than_witnesses: "[ledger]\nacks = 6\n" =>
        "d.ini:1: [ledger] section already defined at a.ini:3\n\
         d.ini:2: [ledger] acks = \"6\": more than the 5 witnesses of a grant";
    invalid_pool_is_reported_once: "[pool p]\nkind = engines\n[model m]\npool = p\n" =>
        "d.ini:2: [pool p] kind = \"engines\": expected engine or service; did you mean `engine`?";
}

#[test]
fn empty_folder_is_refused() {
    let folder = Folder::with(&[]);
    let err = load_folder(folder.path()).unwrap_err().to_string();
    assert!(err.ends_with("the folder holds no *.ini file"), "{err}");
}
