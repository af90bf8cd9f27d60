//! Random walks over what backend servers do, kinds of requests and positions on kept connections:
//! no request that ran is promised not to have run, and no call that may run once runs twice.

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde_json::json;

use crate::{
    outcomes::{
        BUSY, LIMITED, MISDIRECTED, NOT_RUN, Told, book, complete, completion_answer, response_to,
        stream_answer, tell,
    },
    raw_backend::{EARLIER, OWN, RawBackend, Step},
    support::TestEdge,
    test_control::TestControl,
};

/// Walks of one test.
const WALKS: u64 = 60;
/// Requests of one walk. With the servers, it bounds attempts to nine, whose identifiers have the
/// same length.
const REQUESTS: usize = 3;
const SERVERS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum RequestKind {
    Once,
    Idempotent,
    Completion,
    Stream,
}

const KINDS: [RequestKind; 4] = [
    RequestKind::Once,
    RequestKind::Idempotent,
    RequestKind::Completion,
    RequestKind::Stream,
];

/// What a backend server does with one request.
#[derive(Clone, Debug)]
struct Behaviour {
    steps: Vec<Step>,
    /// Whether it proves that the request did not run.
    is_proof: bool,
}

fn ran(answer: String) -> Behaviour {
    Behaviour {
        steps: vec![Step::Run, Step::Write(answer)],
        is_proof: false,
    }
}

fn ran_then(end: Step) -> Behaviour {
    Behaviour {
        steps: vec![Step::Run, end],
        is_proof: false,
    }
}

fn refused(answer: String) -> Behaviour {
    Behaviour {
        steps: vec![Step::ReadRequest, Step::Write(answer)],
        is_proof: true,
    }
}

fn behaviours() -> Vec<Behaviour> {
    let mut table = vec![
        ran(completion_answer()),
        ran(stream_answer()),
        ran_then(Step::Close),
        ran_then(Step::Reset),
        refused(response_to(OWN, BUSY, NOT_RUN, "")),
        refused(response_to(OWN, LIMITED, NOT_RUN, "")),
        refused(response_to(OWN, MISDIRECTED, "", "")),
    ];
    for status in [
        BUSY,
        LIMITED,
        MISDIRECTED,
        "408 Request Timeout",
        "404 Not Found",
        "400 Bad Request",
        "500 Internal Server Error",
        "200 OK",
    ] {
        table.push(ran(response_to("", status, "", "")));
        table.push(ran(response_to("", status, NOT_RUN, "")));
        table.push(ran(response_to(EARLIER, status, NOT_RUN, "")));
        table.push(ran(response_to("other", status, NOT_RUN, "")));
        if status != MISDIRECTED {
            table.push(ran(response_to(OWN, status, "", "")));
        }
    }
    // The last half of an answer is missing.
    for step in table.clone() {
        if let [Step::Run, Step::Write(answer)] = &step.steps[..] {
            let half = answer[..answer.len() / 2].to_owned();
            table.push(Behaviour {
                steps: vec![Step::Run, Step::Write(half), Step::Close],
                is_proof: false,
            });
        }
    }
    table
}

async fn send(edge: &TestEdge, kind: RequestKind, key: &str) -> Told {
    match kind {
        RequestKind::Once => book(edge, key).await,
        RequestKind::Idempotent => tell(edge, "/v1/services/weather/a", None, &json!({})).await,
        RequestKind::Completion => complete(edge, false).await,
        RequestKind::Stream => complete(edge, true).await,
    }
}

/// Plays one walk; with `proofs_only`, no server runs a request.
async fn walk(seed: u64, proofs_only: bool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut table = behaviours();
    table.retain(|behaviour| behaviour.is_proof || !proofs_only);
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        let mut connection = Vec::new();
        for _ in 0..REQUESTS {
            let behaviour = &table[rng.random_range(0..table.len())];
            connection.extend(behaviour.steps.clone());
        }
        servers.push(RawBackend::start(vec![connection]).await);
    }
    let addresses: Vec<_> = servers.iter().map(|s| s.backend.address).collect();
    let edge = TestEdge::start(TestControl::new(&addresses)).await;
    for request in 0..REQUESTS {
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let begun = edge.control.attempt_count();
        let told = send(&edge, kind, &format!("k{request}")).await;
        let attempts = begun + 1..=edge.control.attempt_count();
        let ids: Vec<_> = attempts.map(|n| format!("0000000000000005-{n}")).collect();
        let all_runs = servers.iter().flat_map(RawBackend::attempts_run);
        let runs = all_runs.filter(|run| ids.contains(run)).count();
        let case = format!("seed {seed}, request {request}, {kind:?}, {runs} runs: {told:?}");
        assert!(runs == 0 || !told.promises(), "{case}");
        assert!(!matches!(kind, RequestKind::Once) || runs <= 1, "{case}");
        assert!(!proofs_only || told.promises(), "{case}");
    }
}

/// Names tests of walks, each with its first seed.
macro_rules! walks {
    ($($name:ident: $seed:expr, $proofs_only:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            for seed in $seed..$seed + WALKS {
                walk(seed, $proofs_only).await;
            }
        }
    )*};
}

// Guard against a promise, or a second send, for a request that ran, and against a promise that is
// withheld although no server ran the request.
walks! {
    requests_that_ran_are_promised_nothing_1: 3_300, false;
    requests_that_ran_are_promised_nothing_2: 3_400, false;
    requests_that_ran_are_promised_nothing_3: 3_500, false;
    requests_that_were_refused_are_promised_not_to_have_run: 3_600, true;
}
