//! Load generator: callers that send requests in sequence, and retry them at the next address under
//! the same idempotency key.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    answer::Outcome,
    caller::{Operation, Request},
};

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a request is not retried any more.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);

/// A request and its final outcome for its caller.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) outcome: Outcome,
}

/// Options of a load generator.
#[derive(Clone, Debug)]
pub(crate) struct LoadOptions {
    pub(crate) name: String,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) token: String,
    /// Number of concurrent callers.
    pub(crate) workers: u64,
    /// Time that a caller waits between two requests.
    pub(crate) pause: Duration,
    /// Operation of each request. The request's key is appended to the prompt of a completion.
    pub(crate) operation: Operation,
}

/// A running load generator.
#[derive(Debug)]
pub(crate) struct Load {
    stop: watch::Sender<bool>,
    workers: JoinSet<()>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Load {
    pub(crate) fn start(options: &LoadOptions) -> Load {
        let stop = watch::Sender::new(false);
        let records = Arc::new(Mutex::new(Vec::new()));
        let next_number = Arc::new(AtomicU64::new(0));
        let mut workers = JoinSet::new();
        for _ in 0..options.workers {
            let worker = Worker {
                options: options.clone(),
                stop: stop.subscribe(),
                next_number: Arc::clone(&next_number),
                records: Arc::clone(&records),
            };
            workers.spawn(worker.run());
        }
        Load {
            stop,
            workers,
            records,
        }
    }

    /// Waits until each caller has ended its current request, and returns the records of all.
    pub(crate) async fn finish(mut self) -> Vec<Record> {
        self.stop.send_replace(true);
        while self.workers.join_next().await.is_some() {}
        let records = self.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of requests that have ended.
    pub(crate) fn completed_count(&self) -> usize {
        let records = self.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// One caller of a load generator.
struct Worker {
    options: LoadOptions,
    stop: watch::Receiver<bool>,
    /// Number of the next request, shared by all callers of the load generator.
    next_number: Arc<AtomicU64>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Worker {
    async fn run(self) {
        while !*self.stop.borrow() {
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let request = self.request(number);
            let first_address = usize::try_from(number).unwrap_or(0);
            let outcome = send_with_retries(
                &request,
                &self.options.addresses,
                first_address,
                &self.options.token,
            );
            let outcome = outcome.await;
            let records = self.records.lock();
            records
                .unwrap_or_else(PoisonError::into_inner)
                .push(Record { request, outcome });
            sleep(self.options.pause).await;
        }
    }

    fn request(&self, number: u64) -> Request {
        let key = format!("{}-{number}", self.options.name);
        let operation = match &self.options.operation {
            Operation::Completion { prompt, max_tokens } => Operation::Completion {
                prompt: format!("{prompt} {key}"),
                max_tokens: *max_tokens,
            },
            service @ Operation::ServiceCall { .. } => service.clone(),
        };
        Request { key, operation }
    }
}

/// Sends a request to one address after the other until its outcome is final or `RETRY_TIMEOUT` has
/// passed.
pub(crate) async fn send_with_retries(
    request: &Request,
    addresses: &[SocketAddr],
    first_address: usize,
    token: &str,
) -> Outcome {
    let started_at = Instant::now();
    let tokens_received = watch::Sender::new(0);
    let mut attempt = first_address;
    loop {
        let address = addresses[attempt % addresses.len()];
        let outcome = request.send(address, token, &tokens_received).await;
        let retry = match &outcome {
            Outcome::Answered(_) => false,
            Outcome::Refused(problem) => problem.retryable,
            Outcome::Interrupted(_) => true,
        };
        if !retry || started_at.elapsed() > RETRY_TIMEOUT {
            return outcome;
        }
        attempt += 1;
        sleep(RETRY_DELAY).await;
    }
}
