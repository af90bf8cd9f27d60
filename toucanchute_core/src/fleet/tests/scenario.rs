//! Scenarios with one outage, partition or shutdown each.

use yare::parameterized;

use super::{
    steps::Step,
    world::{ROUTERS, World},
};
use crate::fleet::{NotReady, fault::Fault};

/// Returns a world of five routers that have found each other.
fn settled(fault: Option<Fault>) -> World {
    let mut world = World::new(7, fault);
    world.advance(4_000).unwrap();
    world
}

fn ready(world: &World) -> Vec<bool> {
    world.routers.iter().map(|r| r.ready.is_ok()).collect()
}

#[test]
fn an_outage_of_the_whole_fleet_does_not_stop_routers() {
    let mut world = settled(None);
    world.up = false;
    world.advance(60_000).unwrap();
    assert_eq!(ready(&world), [true; ROUTERS]);
    assert_eq!(world.stops, 0);
}

#[test]
fn an_outage_of_the_host_list_does_not_stop_routers() {
    let mut world = settled(None);
    world.step(&Step::HostList { up: false }).unwrap();
    world.advance(10_000).unwrap();
    world.step(&Step::Apply).unwrap();
    world.advance(20_000).unwrap();
    assert_eq!(ready(&world), [true; ROUTERS]);
    assert_eq!(world.stops, 0);
    assert!(world.routers.iter().all(|r| r.version == 2));
}

#[test]
fn a_router_that_dies_in_an_outage_does_not_stop_others() {
    let mut world = settled(None);
    world.up = false;
    world.advance(5_000).unwrap();
    world.routers[4].exited = true;
    world.advance(30_000).unwrap();
    assert_eq!(ready(&world)[..4], [true; 4]);
}

#[parameterized(
    alone = { 0b1 },
    two_of_five = { 0b11 },
    three_of_five = { 0b111 },
)]
fn routers_cut_off_from_the_platform_refuse_work_and_name_another(mask: u8) {
    let mut world = settled(None);
    let cut = |i: &usize| mask & (1 << i) != 0;
    world.step(&Step::Partition(mask)).unwrap();
    for router in (0..ROUTERS).filter(cut) {
        world
            .step(&Step::CutPlatform { router, cut: true })
            .unwrap();
    }
    world.advance(3_000).unwrap();
    for i in 0..ROUTERS {
        let r = &world.routers[i];
        match r.ready {
            Ok(()) => assert!(!cut(&i), "router {i} takes work"),
            Err(NotReady::StaleView { elsewhere }) => {
                assert!(cut(&i), "router {i} takes no work");
                assert!(elsewhere.is_some());
            }
            other => panic!("router {i}: {other:?}"),
        }
    }
}

#[test]
fn a_router_cut_off_only_from_the_platform_takes_work() {
    let mut world = settled(None);
    let cut = Step::CutPlatform {
        router: 2,
        cut: true,
    };
    world.step(&cut).unwrap();
    world.advance(30_000).unwrap();
    assert_eq!(ready(&world), [true; ROUTERS]);
}

#[test]
fn a_router_starts_with_data_from_its_peers_in_an_outage() {
    let mut world = settled(None);
    world.up = false;
    world.advance(5_000).unwrap();
    world.restart(1);
    world.advance(10_000).unwrap();
    assert_eq!(ready(&world), [true; ROUTERS]);
    assert_eq!(world.routers[1].version, world.version);
}

#[test]
fn a_router_without_platform_and_peers_does_not_start() {
    let mut world = settled(None);
    world.step(&Step::Partition(0b10)).unwrap();
    world
        .step(&Step::CutPlatform {
            router: 1,
            cut: true,
        })
        .unwrap();
    world.restart(1);
    world.advance(30_000).unwrap();
    assert_eq!(world.routers[1].ready, Err(NotReady::Starting));
}

#[test]
fn a_leaving_router_is_omitted_from_all_lists_and_exits() {
    let mut world = settled(None);
    world.routers[3].busy = 1;
    world.step(&Step::Drain(3)).unwrap();
    world.advance(1_100).unwrap();
    let address = world.routers[3]
        .fleet
        .member()
        .caller_address
        .parse()
        .unwrap();
    for r in &world.routers {
        assert!(!r.addresses.contains(&address));
    }
    assert_eq!(world.routers[3].ready, Ok(()));
    world.advance(10_000).unwrap();
    assert!(!world.routers[3].exited, "a request is in progress");
    world.routers[3].busy = 0;
    world.advance(500).unwrap();
    assert!(world.routers[3].exited);
}
