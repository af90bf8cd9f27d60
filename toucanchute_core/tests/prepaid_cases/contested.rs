//! Two routers that spend from one account. The bounds keep them within the total, and a fault
//! injected into one of the bounds makes them overspend.

use toucanchute_core::prepaid::Fault;

use crate::{TOTAL, fleet::Fleet};

/// Total of the budget in the cases where two routers spend.
const CONTESTED_TOTAL: u64 = 60_000;

/// Requests 200 tokens at the router on each side of a split, 20 times per second. Returns how many
/// tokens each side got.
fn draw_on_both_sides(fleet: &mut Fleet, sides: [usize; 2], ticks: usize) -> [u64; 2] {
    let mut got = [0, 0];
    for _ in 0..ticks {
        for (side, router) in sides.into_iter().enumerate() {
            got[side] += match fleet.request(router, 200) {
                Ok(()) => 200,
                Err(_) => 0,
            };
        }
        fleet.advance(50);
    }
    got
}

/// The owner is alive and keeps writing its record, which shows the other router that it is.
#[test]
fn an_isolated_router_takes_no_account_from_a_live_owner() {
    let mut fleet = Fleet::with_quorum(5, TOTAL, 4, 2);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    let other = (0..5).find(|&i| i != owner).unwrap();
    fleet.isolate(other);
    let got = draw_on_both_sides(&mut fleet, [owner, other], 100);
    assert_eq!(fleet.owners(), [owner]);
    assert_eq!(got, [20_000, 0]);
}

#[test]
fn an_account_whose_witnesses_are_gone_for_good_is_eventually_taken_over() {
    let mut fleet = Fleet::with_quorum(7, TOTAL, 5, 3);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    fleet.draw([owner], 20, 1_000, 50);
    let mut gone: Vec<usize> = fleet.witnesses().into_iter().take(3).collect();
    gone.push(owner);
    gone.sort_unstable();
    for i in gone.into_iter().rev() {
        fleet.remove(i);
    }
    fleet.advance(5_000);
    // At most half of the remaining tokens is written off.
    assert!(
        (20_000..=60_000).contains(&fleet.used()),
        "{}",
        fleet.used()
    );
}

/// Draws tokens. Then only one router other than the owner reaches the store, `cut` separates it
/// from the owner, and both draw.
fn spend_with_one_store(fault: Option<Fault>, cut: fn(&mut Fleet, usize, usize)) -> u64 {
    let mut fleet = Fleet::with_fault(5, CONTESTED_TOTAL, (4, 2), fault);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    let other = (0..5).find(|&i| i != owner).unwrap();
    let before = draw_on_both_sides(&mut fleet, [owner, owner], 30);
    for i in (0..5).filter(|&i| i != other) {
        fleet.lose_store(i);
    }
    cut(&mut fleet, owner, other);
    let after = draw_on_both_sides(&mut fleet, [owner, other], 200);
    before.iter().chain(&after).sum()
}

/// The router that reaches the store reaches no other router.
fn spend_on_both_sides(fault: Option<Fault>) -> u64 {
    spend_with_one_store(fault, |fleet, _, other| fleet.isolate(other))
}

/// The owner reaches its witnesses, but not the router that takes its account over.
fn spend_past_a_fence(fault: Option<Fault>) -> u64 {
    spend_with_one_store(fault, Fleet::split)
}

/// An account is released, and the answer of the store is lost.
fn spend_past_a_release(fault: Option<Fault>) -> u64 {
    let mut fleet = Fleet::with_fault(1, CONTESTED_TOTAL, (4, 2), fault);
    fleet.warm_up();
    let before = draw_on_both_sides(&mut fleet, [0, 0], 30);
    fleet.answers_lost = true;
    fleet.drain(0);
    let mut after = draw_on_both_sides(&mut fleet, [0, 0], 20);
    fleet.isolate(0);
    fleet.answers_lost = false;
    fleet.lose_store(0);
    let other = fleet.add();
    fleet.warm_up();
    after[1] += draw_on_both_sides(&mut fleet, [other, other], 300)
        .iter()
        .sum::<u64>();
    before.iter().chain(&after).sum()
}

/// All routers but the owner are restarted. The owner is cut off from them and from the store, and
/// continues to spend.
fn restart_all_but(fleet: &mut Fleet, owner: usize) -> u64 {
    fleet.lose_store(owner);
    fleet.isolate(owner);
    // A restarted router moves to the end of the list, behind the owner.
    for _ in 0..owner {
        fleet.kill(0);
    }
    for _ in owner + 1..5 {
        fleet.kill(1);
    }
    fleet.store_up = true;
    fleet.warm_up();
    fleet.advance(8_000);
    draw_on_both_sides(fleet, [0, 1], 300).iter().sum()
}

/// A large request during an outage of the store, after a slow draw.
fn spend_past_the_ramp(fault: Option<Fault>) -> u64 {
    let mut fleet = Fleet::with_fault(5, CONTESTED_TOTAL, (4, 2), fault);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    fleet.draw([owner], 100, 20, 50);
    fleet.store_up = false;
    assert_eq!(fleet.request(owner, 2_400), Ok(()));
    fleet.advance(200);
    2_000 + 2_400 + restart_all_but(&mut fleet, owner)
}

/// A large request whose tokens are all refunded, during a fast draw.
fn spend_past_a_refund(fault: Option<Fault>) -> u64 {
    let mut fleet = Fleet::with_fault(5, CONTESTED_TOTAL, (4, 2), fault);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    let call = fleet.reserve(owner, 12_000);
    fleet.draw([owner], 21, 100, 50);
    fleet.end(owner, call, 0);
    fleet.draw([owner], 79, 100, 50);
    10_000 + restart_all_but(&mut fleet, owner)
}

macro_rules! bounds_spending {
    ($($name:ident: $spend:expr, $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            let spent = $spend(None);
            assert!(spent <= CONTESTED_TOTAL, "{spent} without the fault");
            let spent = $spend(Some($fault));
            assert!(spent > CONTESTED_TOTAL, "{spent} with the fault");
        }
    )*};
}

bounds_spending! {
    an_unreachable_owner_bounds_spending: spend_on_both_sides, Fault::AssumeUnreachableEnded;
    marks_stay_below_the_ramp: spend_past_the_ramp, Fault::MarkAboveRamp;
    ramps_cover_earlier_marks: spend_past_a_refund, Fault::RampBelowMarks;
    fenced_witnesses_bound_spending: spend_past_a_fence, Fault::AcceptFencedMarks;
    a_release_without_an_answer_bounds_spending: spend_past_a_release, Fault::SpendAfterRelease;
}
