use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::StatusCode;
use toucanchute_proto::api::{AddressList, Problem};

use crate::{
    address_cache::AddressCache,
    answer::{Answer, Timing},
    error::{CallError, NoAddressesSnafu, RefusedSnafu, UnreachableSnafu},
    exchange::{self, HttpClient, ReceivedAnswer, RequestTry, TryResult},
    request::Request,
};

/// Retry and timeout settings of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerOptions {
    /// Maximum number of tries of one request.
    pub max_tries: u32,
    /// Delay before a retry if the router sent no `Retry-After`.
    pub retry_delay: Duration,
    /// Upper limit of the delay before a retry, also if a router's `Retry-After` is longer.
    pub max_retry_delay: Duration,
    /// Time limit of one try.
    pub try_timeout: Duration,
    /// Address of the first try of each request, instead of one from the address list.
    pub first_address: Option<SocketAddr>,
}

/// A client of the fleet that caches the address list and retries requests under the same key.
#[derive(Debug)]
pub struct Caller {
    token: String,
    options: CallerOptions,
    client: HttpClient,
    address_cache: Mutex<AddressCache>,
}

impl Default for CallerOptions {
    fn default() -> CallerOptions {
        CallerOptions {
            max_tries: 4,
            retry_delay: Duration::from_millis(50),
            max_retry_delay: Duration::from_secs(5),
            try_timeout: Duration::from_secs(60),
            first_address: None,
        }
    }
}

impl Caller {
    /// Creates a caller that fetches the address list from the routers at `seeds`.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, token: &str, options: CallerOptions) -> Caller {
        Caller {
            token: token.to_owned(),
            options,
            client: exchange::new_client(),
            address_cache: Mutex::new(AddressCache::new(seeds)),
        }
    }

    // Addresses

    /// Returns the addresses to use, best first; fetches them if the cached list has expired.
    ///
    /// # Errors
    ///
    /// Fails if no router returns an address list.
    pub async fn addresses(&self) -> Result<Vec<SocketAddr>, CallError> {
        if let Some(list) = self.address_cache().valid(Instant::now()) {
            return Ok(list.to_vec());
        }
        let sources = self.address_cache().sources();
        let mut cause = "no router address was given".to_owned();
        for address in sources {
            match self.fetch_addresses(address).await {
                Ok(list) => {
                    self.address_cache().store(Instant::now(), &list);
                    return Ok(list.addresses);
                }
                Err(e) => cause = format!("{address}: {e}"),
            }
        }
        NoAddressesSnafu { cause }.fail()
    }

    async fn fetch_addresses(&self, address: SocketAddr) -> Result<AddressList, String> {
        let (status, body) = exchange::get(&self.client, address, "/v1/addresses", None).await?;
        if status != StatusCode::OK {
            return Err(format!("GET /v1/addresses returned status {status}"));
        }
        let list: AddressList = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        match list.addresses.is_empty() {
            true => Err("the address list is empty".to_owned()),
            false => Ok(list),
        }
    }

    fn address_cache(&self) -> MutexGuard<'_, AddressCache> {
        let locked = self.address_cache.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    // Requests

    /// Sends a request under `key` until its outcome is final or no try is left.
    ///
    /// # Errors
    ///
    /// Returns the last refusal of a router or the last connection failure, or reports that no
    /// router returned an address list.
    pub async fn send(&self, req: &Request, key: &str) -> Result<Answer, CallError> {
        self.send_with(req, key, &mut |_| {}).await
    }

    /// Like [`Caller::send`], and passes each piece of text to `on_text` as it arrives. After a try
    /// that broke off, the text starts from the beginning again.
    ///
    /// # Errors
    ///
    /// Returns the last refusal of a router or the last connection failure, or reports that no
    /// router returned an address list.
    pub async fn send_with(
        &self,
        req: &Request,
        key: &str,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> Result<Answer, CallError> {
        let start = Instant::now();
        let mut preferred = self.options.first_address;
        // Number of tries that may have run; tries with outcome `not-run` are not counted.
        let mut possibly_run = 0;
        let mut last = NoAddressesSnafu {
            cause: "no try was made",
        }
        .fail();
        for tries in 1..=self.options.max_tries {
            let address = match preferred.take() {
                Some(address) => address,
                None => self.choose_address(key, tries).await?,
            };
            let end = self
                .try_once(address, req, key, possibly_run, on_text)
                .await;
            possibly_run += u32::from(!end.is_not_run());
            let delay = match end {
                TryResult::Complete(reply) => return Ok(answer(reply, address, tries, start)),
                TryResult::Broken { cause } => {
                    self.address_cache().invalidate();
                    last = UnreachableSnafu { cause, tries }.fail();
                    self.options.retry_delay
                }
                TryResult::Problem {
                    problem,
                    retry_after,
                } => {
                    let retryable = problem.retryable;
                    preferred = suggested_address(&problem);
                    last = RefusedSnafu {
                        address,
                        problem,
                        tries,
                    }
                    .fail();
                    if !retryable {
                        return last;
                    }
                    retry_after.unwrap_or(self.options.retry_delay)
                }
            };
            if tries < self.options.max_tries {
                tokio::time::sleep(delay.min(self.options.max_retry_delay)).await;
            }
        }
        last
    }

    async fn try_once(
        &self,
        address: SocketAddr,
        req: &Request,
        key: &str,
        earlier_tries: u32,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> TryResult {
        let attempt = RequestTry {
            address,
            token: &self.token,
            key,
            req,
            earlier_tries,
        };
        let exchange = exchange::send_once(&self.client, attempt, on_text);
        let end = tokio::time::timeout(self.options.try_timeout, exchange).await;
        end.unwrap_or_else(|_| TryResult::Broken {
            cause: "the try timed out".to_owned(),
        })
    }

    /// Returns the address of a try. A hash of the key selects the first one, which spreads
    /// requests over the list; each further try moves on to the next address.
    async fn choose_address(&self, key: &str, tries: u32) -> Result<SocketAddr, CallError> {
        let list = self.addresses().await?;
        let spread = key.bytes().fold(0_usize, |sum, b| {
            sum.wrapping_mul(31).wrapping_add(usize::from(b))
        });
        let index = spread.wrapping_add(tries as usize - 1) % list.len();
        Ok(list[index])
    }
}

fn suggested_address(problem: &Problem) -> Option<SocketAddr> {
    problem.elsewhere.as_deref()?.parse().ok()
}

fn answer(received: ReceivedAnswer, address: SocketAddr, tries: u32, start: Instant) -> Answer {
    let first = received.arrivals.first().copied().unwrap_or(start);
    let pairs = received.arrivals.windows(2);
    Answer {
        status: received.status,
        address,
        logged_key: received.logged_key,
        tries,
        text: received.text,
        prompt_tokens: received.usage.prompt_tokens,
        completion_tokens: received.usage.completion_tokens,
        timing: Timing {
            first_token: first.duration_since(start),
            total: start.elapsed(),
            gaps: pairs.map(|pair| pair[1].duration_since(pair[0])).collect(),
        },
    }
}
