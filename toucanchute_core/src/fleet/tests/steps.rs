//! Random steps of the fuzz test of the fleet.

use proptest::prelude::*;

use super::world::{BACKENDS, ROUTERS};

/// One step of a fuzz run.
#[derive(Clone, Debug)]
pub(super) enum Step {
    Advance(u64),
    Apply,
    List { backend: usize, listed: Listed },
    HostList { up: bool },
    Platform { up: bool },
    CutPlatform { router: usize, cut: bool },
    Partition(u8),
    Restart(usize),
    Freeze { router: usize, span: u64 },
    Loss(u32),
    Drain(usize),
    Busy { router: usize, requests: u64 },
    StaleConfig(usize),
}

/// State of a backend server in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listed {
    Live,
    Leaving,
    Absent,
}

pub(super) fn steps() -> impl Strategy<Value = Vec<Step>> {
    let listed = prop_oneof![
        Just(Listed::Live),
        Just(Listed::Leaving),
        Just(Listed::Absent)
    ];
    let r = 0..ROUTERS;
    let step = prop_oneof![
        20 => (50u64..3_000).prop_map(Step::Advance),
        2 => Just(Step::Apply),
        4 => (0..BACKENDS, listed).prop_map(|(backend, listed)| Step::List { backend, listed }),
        2 => any::<bool>().prop_map(|up| Step::Platform { up }),
        1 => any::<bool>().prop_map(|up| Step::HostList { up }),
        3 => (r.clone(), any::<bool>()).prop_map(|(router, cut)| Step::CutPlatform { router, cut }),
        3 => any::<u8>().prop_map(Step::Partition),
        2 => Just(Step::Partition(0)),
        1 => r.clone().prop_map(Step::Restart),
        2 => (r.clone(), 100u64..6_000).prop_map(|(router, span)| Step::Freeze { router, span }),
        1 => (0u32..30).prop_map(Step::Loss),
        1 => r.clone().prop_map(Step::Drain),
        2 => (r.clone(), 0u64..3).prop_map(|(router, requests)| Step::Busy { router, requests }),
        1 => r.prop_map(Step::StaleConfig),
    ];
    prop::collection::vec(step, 1..60)
}
