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
    answer::Ended,
    caller::{Request, Work},
};

/// Pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a request is given up.
const GIVE_UP: Duration = Duration::from_secs(60);

/// A request and how it ended for its caller at last.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) ended: Ended,
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
    pub(crate) work: Work,
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
        let next = Arc::new(AtomicU64::new(0));
        let mut workers = JoinSet::new();
        for _ in 0..options.workers {
            let worker = Worker {
                options: options.clone(),
                stop: stop.subscribe(),
                next: Arc::clone(&next),
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
    pub(crate) fn count(&self) -> usize {
        let records = self.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// One caller.
struct Worker {
    options: LoadOptions,
    stop: watch::Receiver<bool>,
    /// Number of the next request, over all callers of the load.
    next: Arc<AtomicU64>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Worker {
    async fn run(self) {
        while !*self.stop.borrow() {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let request = self.request(number);
            let start = usize::try_from(number).unwrap_or(0);
            let ended = persist(
                &request,
                &self.options.addresses,
                start,
                &self.options.token,
            );
            let ended = ended.await;
            let records = self.records.lock();
            records
                .unwrap_or_else(PoisonError::into_inner)
                .push(Record { request, ended });
            sleep(self.options.pause).await;
        }
    }

    fn request(&self, number: u64) -> Request {
        let key = format!("{}-{number}", self.options.name);
        let work = match &self.options.work {
            Work::Completion { prompt, max_tokens } => Work::Completion {
                prompt: format!("{prompt} {key}"),
                max_tokens: *max_tokens,
            },
            service @ Work::Service { .. } => service.clone(),
        };
        Request { key, work }
    }
}

/// Sends a request at one address after the other until its outcome is final.
pub(crate) async fn persist(
    request: &Request,
    addresses: &[SocketAddr],
    start: usize,
    token: &str,
) -> Ended {
    let began = Instant::now();
    let came = watch::Sender::new(0);
    let mut tries = start;
    loop {
        let address = addresses[tries % addresses.len()];
        let ended = request.send(address, token, &came).await;
        let again = match &ended {
            Ended::Answered(_) => false,
            Ended::Refused(refused) => refused.retryable,
            Ended::Broken(_) => true,
        };
        if !again || began.elapsed() > GIVE_UP {
            return ended;
        }
        tries += 1;
        sleep(RETRY_PAUSE).await;
    }
}
