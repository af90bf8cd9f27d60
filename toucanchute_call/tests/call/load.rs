use std::time::Duration;

use toucanchute_call::{CallerOptions, LoadCustomer, LoadOptions, Report, run_load};

use crate::scripted::{Router, ok, problem, whole_answer};

fn options(router: &Router, rate: f64) -> LoadOptions {
    LoadOptions {
        seeds: vec![router.address],
        customers: vec![LoadCustomer {
            token: "t".to_owned(),
            budget: "desk".to_owned(),
        }],
        models: vec!["m".to_owned()],
        services: Vec::new(),
        rate,
        duration: Duration::from_millis(400),
        seed: 5,
        run_id: 1,
        prompt_bytes: 40,
        max_tokens: 8,
        stream_share: 0.0,
        check: true,
        caller: CallerOptions {
            max_tries: 1,
            ..CallerOptions::default()
        },
        operator_token: Some("operator".to_owned()),
    }
}

fn account(topped_up: u64, spent: u64) -> String {
    let account = serde_json::json!({
        "topped_up": topped_up, "spent": spent, "free": 0, "granted": 0, "forfeited": 0,
    });
    ok("application/json", &account.to_string())
}

async fn run(router: &Router, rate: f64) -> Report {
    run_load(&options(router, rate)).await.unwrap()
}

#[tokio::test]
async fn false_refusals_and_overspend_are_counted() {
    let refusal = "{\"reason\":\"budget-exhausted\",\"outcome\":\"not-run\"}";
    let refused = problem("402 Payment Required", "", refusal);
    // Replies in order: the statement before the load, the refusal, the statement read after it,
    // which shows enough tokens, and the statement after the load.
    let router = Router::start(&[
        &account(900, 0),
        &refused,
        &account(900, 0),
        &account(900, 950),
    ]);
    let report = run(&router, 3.0).await;
    assert_eq!((report.requests, report.complete), (1, 0));
    assert_eq!(report.refused["budget-exhausted"], 1);
    assert_eq!(report.outcomes["not-run"], 1);
    assert_eq!(report.false_refusals, 1);
    assert_eq!(
        (report.overspent, report.budgets["desk"].spent_by_load),
        (50, 950)
    );
    assert!(!report.passes_checks());
}

#[tokio::test]
async fn foreign_answers_are_counted() {
    let foreign = whole_answer("0000000000000000.0 ");
    let router = Router::start(&[&account(900, 0), &foreign, &account(900, 5)]);
    let report = run(&router, 3.0).await;
    assert_eq!((report.complete, report.not_own, report.tokens), (1, 1, 5));
    assert_eq!((report.whole_ms.count, report.first_ms.count), (1, 1));
    assert!(!report.passes_checks());
}

#[tokio::test]
async fn same_seed_gives_same_requests() {
    let bodies = |router: Router| {
        let requests = router.requests();
        let bodies = requests.iter().filter_map(|r| r.split("\r\n\r\n").nth(1));
        let mut bodies: Vec<String> = bodies.map(str::to_owned).collect();
        bodies.sort();
        bodies
    };
    let (a, b) = (Router::start(&[]), Router::start(&[]));
    run(&a, 30.0).await;
    run(&b, 30.0).await;
    let (a, b) = (bodies(a), bodies(b));
    assert!(a.len() > 4, "{}", a.len());
    assert_eq!(a, b);
}
