use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use super::options::LoadOptions;
use crate::request::Request;

/// Words that fill up prompts.
const WORDS: [&str; 12] = [
    "gate", "motor", "hinge", "relay", "wiring", "sensor", "gutter", "icicle", "roof", "ladder",
    "lift", "crew",
];

/// One request of a load with its arrival time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Time of arrival since the start of the load.
    pub(crate) offset: Duration,
    /// Index of the customer in the load's options.
    pub(crate) customer: usize,
    /// Idempotency key.
    pub(crate) key: String,
    pub(crate) req: Request,
}

/// Iterator over the arrivals of a Poisson process, drawn from a seed.
#[derive(Debug)]
pub(crate) struct Schedule<'a> {
    options: &'a LoadOptions,
    rng: SmallRng,
    elapsed: Duration,
    count: u64,
}

impl<'a> Schedule<'a> {
    pub(crate) fn new(options: &'a LoadOptions) -> Schedule<'a> {
        Schedule {
            options,
            rng: SmallRng::seed_from_u64(options.seed),
            elapsed: Duration::ZERO,
            count: 0,
        }
    }

    fn draw_request(&mut self) -> Option<Request> {
        let options = self.options;
        let kinds = options.models.len() + options.services.len();
        if kinds == 0 {
            return None;
        }
        let index = self.rng.random_range(0..kinds);
        let Some(model) = options.models.get(index) else {
            let service = &options.services[index - options.models.len()].name;
            let path = format!("/load/{}/{}", options.seed, self.count);
            return Some(Request::service(service, &path, "{}"));
        };
        let prompt = self.draw_prompt();
        let req = Request::completion(model, &prompt, options.max_tokens);
        let streamed = self.rng.random::<f64>() < options.stream_share;
        Some(if streamed { req.streamed() } else { req })
    }

    /// Returns a prompt that is unique within this load.
    fn draw_prompt(&mut self) -> String {
        let mut prompt = format!("load {} request {}:", self.options.seed, self.count);
        while prompt.len() < self.options.prompt_bytes {
            prompt.push(' ');
            prompt.push_str(WORDS[self.rng.random_range(0..WORDS.len())]);
        }
        prompt
    }
}

impl Iterator for Schedule<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() / self.options.rate;
        self.elapsed += Duration::try_from_secs_f64(gap).ok()?;
        if self.elapsed >= self.options.duration || self.options.customers.is_empty() {
            return None;
        }
        let customer = self.rng.random_range(0..self.options.customers.len());
        let req = self.draw_request()?;
        let arrival = Arrival {
            offset: self.elapsed,
            customer,
            key: format!(
                "load-{}-{}-{:016x}",
                self.options.seed, self.count, self.options.run_id
            ),
            req: req.fresh_key(),
        };
        self.count += 1;
        Some(arrival)
    }
}
