use toucanchute_proto::Millis;

use super::LinkActivity;

const START: Millis = Millis(10_000);

fn at(after: u64) -> Millis {
    START + Millis(after)
}

#[test]
fn idle_link_needs_few_keepalives() {
    let link = LinkActivity::new(START);
    assert!(!link.is_keepalive_due(at(1_900)));
    assert!(link.is_keepalive_due(at(2_000)));
    link.keepalive_sent(at(2_000));
    assert!(!link.is_keepalive_due(at(3_900)));
    assert!(!link.is_lost(at(6_900)));
    assert!(link.is_lost(at(7_000)));
}

#[test]
fn received_message_makes_a_keepalive_due_at_once() {
    let link = LinkActivity::new(START);
    link.received(at(100), true);
    assert!(link.is_keepalive_due(at(100)));
    link.message_sent(at(150));
    assert!(!link.is_keepalive_due(at(400)));
}

#[test]
fn received_keepalive_makes_no_keepalive_due() {
    let link = LinkActivity::new(START);
    link.received(at(100), false);
    assert!(!link.is_keepalive_due(at(400)));
}

/// Guards against a link that hangs until TCP retransmits, after a partition dropped a message such
/// as a request for tokens.
#[test]
fn link_is_lost_when_a_message_is_not_answered() {
    let link = LinkActivity::new(START);
    link.message_sent(at(500));
    link.message_sent(at(1_500));
    assert!(!link.is_lost(at(1_700)));
    assert!(link.is_lost(at(1_800)));
    link.received(at(1_800), false);
    assert!(!link.is_lost(at(1_900)));
}

#[test]
fn answer_to_an_earlier_message_restarts_the_timeout() {
    let link = LinkActivity::new(START);
    link.message_sent(at(0));
    link.received(at(1_000), true);
    link.message_sent(at(1_100));
    assert!(!link.is_lost(at(2_300)));
    assert!(link.is_lost(at(2_400)));
}
