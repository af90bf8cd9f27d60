use toucanchute_proto::{GrantId, Incarnation};
use yare::parameterized;

use super::parse_grant_id;

/// The identifier of a grant in a statement is accepted in a write-off.
#[parameterized(
    small = { 1, 4 },
    large = { u64::MAX, 70_000 },
)]
fn displayed_grant_id_is_parsed(incarnation: u64, number: u64) {
    let grant = GrantId(Incarnation(incarnation), number);
    assert_eq!(parse_grant_id(&grant.to_string()), Some(grant));
}

#[parameterized(
    empty = { "" },
    no_number = { "00000000000000ff" },
    not_hexadecimal = { "xyz-1" },
    number_with_sign = { "ff--1" },
)]
fn malformed_grant_id_is_not_parsed(text: &str) {
    assert_eq!(parse_grant_id(text), None);
}
