use toucanchute_proto::{GrantId, Incarnation};
use yare::parameterized;

use super::parse_grant_id;

/// A grant is named to operators as they name it back.
#[parameterized(
    small = { 1, 4 },
    large = { u64::MAX, 70_000 },
)]
fn grant_name_is_read_back(incarnation: u64, number: u64) {
    let grant = GrantId(Incarnation(incarnation), number);
    assert_eq!(parse_grant_id(&grant.to_string()), Some(grant));
}

#[parameterized(
    empty = { "" },
    no_number = { "00000000000000ff" },
    not_hexadecimal = { "xyz-1" },
    number_with_sign = { "ff--1" },
)]
fn other_text_names_no_grant(text: &str) {
    assert_eq!(parse_grant_id(text), None);
}
