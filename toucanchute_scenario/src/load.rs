//! Callers that send requests one after the other and try again elsewhere under the same key.

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

/// Pause before another try.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a request is given up.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);

/// A request and how it ended for its caller at last.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) outcome: Outcome,
}

/// Options of a load.
#[derive(Clone, Debug)]
pub(crate) struct LoadOptions {
    pub(crate) name: String,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) token: String,
    /// Callers at the same time.
    pub(crate) workers: u64,
    /// Pause of a caller between requests.
    pub(crate) pause: Duration,
    /// What each request asks for; a completion's prompt gets the request's key.
    pub(crate) operation: Operation,
}

/// Callers at work.
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

    /// Lets each caller end its request and returns the records of all.
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

/// One caller.
struct Worker {
    options: LoadOptions,
    stop: watch::Receiver<bool>,
    /// Number of the next request, over all callers of the load.
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

/// Sends a request at one address after the other until its outcome is final.
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
