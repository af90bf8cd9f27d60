use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::StatusCode;
use toucanchute_proto::api::{AddressList, Problem};

use crate::{
    address_list::KeptAddresses,
    answer::{Answer, Timing},
    error::{AddressesSnafu, CallError, RefusedSnafu, UnreachableSnafu},
    exchange::{self, Connections, Received, Try, TryEnd},
    request::Request,
};

/// How a caller tries again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerOptions {
    /// Most tries of one request.
    pub max_tries: u32,
    /// Pause before another try where the router named none.
    pub pause: Duration,
    /// Longest pause that a router's `Retry-After` may ask for.
    pub max_pause: Duration,
    /// Longest time of one try.
    pub try_timeout: Duration,
    /// Address of each request's first try, in place of one of the list.
    pub first: Option<SocketAddr>,
}

/// A caller of the fleet: keeps the address list and tries again under the same key.
#[derive(Debug)]
pub struct Caller {
    token: String,
    options: CallerOptions,
    conns: Connections,
    addresses: Mutex<KeptAddresses>,
}

impl Default for CallerOptions {
    fn default() -> CallerOptions {
        CallerOptions {
            max_tries: 4,
            pause: Duration::from_millis(50),
            max_pause: Duration::from_secs(5),
            try_timeout: Duration::from_secs(60),
            first: None,
        }
    }
}

impl Caller {
    /// Creates a caller that asks the routers at `seeds` for addresses.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, token: &str, options: CallerOptions) -> Caller {
        Caller {
            token: token.to_owned(),
            options,
            conns: exchange::connect(),
            addresses: Mutex::new(KeptAddresses::new(seeds)),
        }
    }

    // Addresses

    /// Returns the addresses to use, best first; asks for them if the kept list has expired.
    ///
    /// # Errors
    ///
    /// Fails if no router answers.
    pub async fn addresses(&self) -> Result<Vec<SocketAddr>, CallError> {
        if let Some(list) = self.kept().valid(Instant::now()) {
            return Ok(list.to_vec());
        }
        let sources = self.kept().sources();
        let mut cause = "no address was given".to_owned();
        for address in sources {
            match self.ask(address).await {
                Ok(list) => {
                    self.kept().keep(Instant::now(), &list);
                    return Ok(list.addresses);
                }
                Err(e) => cause = format!("{address}: {e}"),
            }
        }
        AddressesSnafu { cause }.fail()
    }

    async fn ask(&self, address: SocketAddr) -> Result<AddressList, String> {
        let (status, body) = exchange::get(&self.conns, address, "/v1/addresses", None).await?;
        if status != StatusCode::OK {
            return Err(format!("status {status}"));
        }
        let list: AddressList = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        match list.addresses.is_empty() {
            true => Err("the list is empty".to_owned()),
            false => Ok(list),
        }
    }

    fn kept(&self) -> MutexGuard<'_, KeptAddresses> {
        let locked = self.addresses.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    // Requests

    /// Sends a request under `key` until its outcome is final or no try is left.
    ///
    /// # Errors
    ///
    /// Says what the last router answered, or that none did.
    pub async fn send(&self, req: &Request, key: &str) -> Result<Answer, CallError> {
        self.send_with(req, key, &mut |_| {}).await
    }

    /// Like [`Caller::send`], and shows each piece of text as it comes. After a try that broke off
    /// the text starts again.
    ///
    /// # Errors
    ///
    /// Says what the last router answered, or that none did.
    pub async fn send_with(
        &self,
        req: &Request,
        key: &str,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> Result<Answer, CallError> {
        let start = Instant::now();
        let mut elsewhere = self.options.first;
        // Tries that may have run; one that was told `not-run` is none of them.
        let mut doubtful = 0;
        let mut last = AddressesSnafu { cause: "not asked" }.fail();
        for tries in 1..=self.options.max_tries {
            let address = match elsewhere.take() {
                Some(address) => address,
                None => self.pick(key, tries).await?,
            };
            let end = self.try_once(address, req, key, doubtful, on_text).await;
            doubtful += u32::from(!end.is_not_run());
            let pause = match end {
                TryEnd::Complete(received) => return Ok(answer(received, address, tries, start)),
                TryEnd::Broken { cause } => {
                    self.kept().distrust();
                    last = UnreachableSnafu { cause, tries }.fail();
                    self.options.pause
                }
                TryEnd::Problem {
                    problem,
                    retry_after,
                } => {
                    let retryable = problem.retryable;
                    elsewhere = next_address(&problem);
                    last = RefusedSnafu {
                        address,
                        problem,
                        tries,
                    }
                    .fail();
                    if !retryable {
                        return last;
                    }
                    retry_after.unwrap_or(self.options.pause)
                }
            };
            if tries < self.options.max_tries {
                tokio::time::sleep(pause.min(self.options.max_pause)).await;
            }
        }
        last
    }

    async fn try_once(
        &self,
        address: SocketAddr,
        req: &Request,
        key: &str,
        earlier: u32,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> TryEnd {
        let attempt = Try {
            address,
            token: &self.token,
            key,
            req,
            earlier,
        };
        let exchange = exchange::exchange(&self.conns, attempt, on_text);
        let end = tokio::time::timeout(self.options.try_timeout, exchange).await;
        end.unwrap_or_else(|_| TryEnd::Broken {
            cause: "no answer in time".to_owned(),
        })
    }

    /// Returns the address of a try: spread over the list by key, then the next one at each try.
    async fn pick(&self, key: &str, tries: u32) -> Result<SocketAddr, CallError> {
        let list = self.addresses().await?;
        let spread = key.bytes().fold(0_usize, |sum, b| {
            sum.wrapping_mul(31).wrapping_add(usize::from(b))
        });
        let index = spread.wrapping_add(tries as usize - 1) % list.len();
        Ok(list[index])
    }
}

fn next_address(problem: &Problem) -> Option<SocketAddr> {
    problem.elsewhere.as_deref()?.parse().ok()
}

fn answer(received: Received, address: SocketAddr, tries: u32, start: Instant) -> Answer {
    let first = received.arrivals.first().copied().unwrap_or(start);
    let pairs = received.arrivals.windows(2);
    Answer {
        status: received.status,
        address,
        request: received.request,
        tries,
        text: received.text,
        prompt_tokens: received.usage.prompt_tokens,
        completion_tokens: received.usage.completion_tokens,
        timing: Timing {
            first: first.duration_since(start),
            whole: start.elapsed(),
            gaps: pairs.map(|pair| pair[1].duration_since(pair[0])).collect(),
        },
    }
}
