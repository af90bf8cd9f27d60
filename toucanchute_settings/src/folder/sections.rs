use toucanchute_proto::{
    RequestRate,
    config::{Backend, Budget, Config, Customer, FailureDomain, Model, Pool, Service},
};

use crate::{
    document::Section,
    fault::Fault,
    format::{self, sha256_hex},
    reader::SectionReader,
};

/// Default timeout of one call of a service, in milliseconds.
const DEFAULT_SERVICE_TIMEOUT_MS: u64 = 10_000;

/// Default maximum number of concurrent requests to one replica of a pool.
const DEFAULT_MAX_CONCURRENCY: u32 = 64;

/// Reads one section into `cfg`. Ignores unknown kinds, which `check_headers` reports.
pub(super) fn read(section: &Section, cfg: &mut Config, faults: &mut Vec<Fault>) {
    let name = section.name().to_owned();
    let mut r = SectionReader::new(section, faults);
    match section.kind() {
        "site" => read_site(&mut r, cfg),
        "routing" => read_routing(&mut r, cfg),
        "ledger" => read_ledger(&mut r, cfg),
        "failure_domain" => cfg
            .failure_domains
            .extend(read_failure_domain(&mut r, name)),
        "model" => cfg.models.extend(read_model(&mut r, name)),
        "service" => cfg.services.extend(read_service(&mut r, name)),
        "pool" => cfg.pools.extend(read_pool(&mut r, name)),
        "backend" => cfg.backends.extend(read_backend(&mut r, name)),
        "budget" => cfg.budgets.push(Budget {
            name,
            prepaid: None,
        }),
        "customer" => cfg.customers.extend(read_customer(&mut r, name)),
        _ => return,
    }
    r.finish();
}

fn read_site(r: &mut SectionReader<'_>, cfg: &mut Config) {
    cfg.site = r.required("name", &format::NAME).unwrap_or_default();
    let evacuated = r.optional_non_empty("evacuated", &format::NAMES);
    cfg.evacuated_domains = evacuated.unwrap_or_default();
}

fn read_failure_domain(r: &mut SectionReader<'_>, name: String) -> Option<FailureDomain> {
    let region = r.required("region", &format::NAME)?;
    Some(FailureDomain { name, region })
}

fn read_routing(r: &mut SectionReader<'_>, cfg: &mut Config) {
    let routing = &mut cfg.routing;
    r.set(
        "answer_timeout",
        &format::DURATION,
        &mut routing.answer_timeout_ms,
    );
    r.set(
        "address_max_age",
        &format::DURATION,
        &mut routing.address_max_age_ms,
    );
    r.set("max_body", &format::SIZE, &mut routing.max_body_bytes);
    r.set(
        "default_max_tokens",
        &format::TOKENS,
        &mut routing.default_max_tokens,
    );
    r.set("key_window", &format::DURATION, &mut routing.key_window_ms);
    r.set(
        "retry_share",
        &format::PERCENT,
        &mut routing.retry_share_percent,
    );
    r.set("queue_limit", &format::COUNT, &mut routing.queue_limit);
}

fn read_ledger(r: &mut SectionReader<'_>, cfg: &mut Config) {
    let ledger = &mut cfg.ledger;
    r.set("shards", &format::SHARDS, &mut ledger.shards);
    r.set("ring", &format::RING, &mut ledger.ring);
    r.set("witnesses", &format::WITNESSES, &mut ledger.witnesses);
    r.set("acks", &format::WITNESSES, &mut ledger.acks);
    r.set(
        "outage_after",
        &format::DURATION,
        &mut ledger.outage_after_ms,
    );
    r.set(
        "reclaim_after",
        &format::DURATION,
        &mut ledger.reclaim_after_ms,
    );
    r.set(
        "grant_horizon",
        &format::DURATION,
        &mut ledger.grant_horizon_ms,
    );
    if ledger.acks > ledger.witnesses {
        let cause = format!("more than the {} witnesses of a grant", ledger.witnesses);
        r.report_conflict("acks", &ledger.acks.to_string(), cause);
    }
}

fn read_model(r: &mut SectionReader<'_>, name: String) -> Option<Model> {
    let pool = r.required("pool", &format::NAME)?;
    Some(Model { name, pool })
}

fn read_service(r: &mut SectionReader<'_>, name: String) -> Option<Service> {
    let pool = r.required("pool", &format::NAME);
    let idempotent = r.optional("idempotent", &format::BOOL);
    let price_tokens = r.optional("price", &format::TOKENS);
    let timeout_ms = r.optional("timeout", &format::DURATION);
    Some(Service {
        name,
        pool: pool?,
        idempotent: idempotent.unwrap_or_default(),
        price_tokens: price_tokens.unwrap_or_default(),
        timeout_ms: timeout_ms.unwrap_or(DEFAULT_SERVICE_TIMEOUT_MS),
    })
}

fn read_pool(r: &mut SectionReader<'_>, name: String) -> Option<Pool> {
    let kind = r.required("kind", &format::POOL_KIND);
    let fencing = r.optional("fencing", &format::FENCING);
    let max_concurrency = r.optional("max_concurrency", &format::COUNT);
    let cold_rate = r.optional("cold_rate", &format::THOUSANDTHS);
    let cold_start_ms = r.optional("cold_start", &format::DURATION);
    Some(Pool {
        name,
        kind: kind?,
        fencing: Some(fencing.unwrap_or_default()),
        max_concurrency: max_concurrency.unwrap_or(DEFAULT_MAX_CONCURRENCY),
        tokens_per_event: 1,
        cold_rate: cold_rate.map(|rate| RequestRate(rate.into())),
        cold_start_ms: cold_start_ms.unwrap_or(0),
    })
}

fn read_backend(r: &mut SectionReader<'_>, name: String) -> Option<Backend> {
    let pool = r.required("pool", &format::NAME);
    let address = r.required("address", &format::ADDRESS);
    let failure_domain = r.required("failure_domain", &format::NAME);
    Some(Backend {
        name,
        pool: pool?,
        address: address?.to_string(),
        failure_domain: failure_domain?,
        software: None,
    })
}

fn read_customer(r: &mut SectionReader<'_>, name: String) -> Option<Customer> {
    let budget = r.required("budget", &format::NAME);
    let token = r.optional("token", &format::SECRET);
    let token_sha256 = match token {
        Some(token) => {
            if let Some(digest) = r.optional("token_sha256", &format::DIGEST) {
                let cause = "conflicts with `token`; set only one of them".to_owned();
                r.report_conflict("token_sha256", &digest, cause);
            }
            Some(sha256_hex(token.as_bytes()))
        }
        None if r.has_key("token") => r.optional("token_sha256", &format::DIGEST),
        None => r.required("token_sha256", &format::DIGEST),
    };
    let priority = r.optional("priority", &format::PRIORITY);
    let weight = r.optional("weight", &format::COUNT);
    let regions = r.optional("regions", &format::NAMES);
    Some(Customer {
        name,
        budget: budget?,
        token_sha256: token_sha256?,
        priority: priority.unwrap_or_default(),
        weight: weight.unwrap_or(1),
        other_tokens_sha256: Vec::new(),
        route_priority: None,
        regions: regions.unwrap_or_default(),
    })
}
