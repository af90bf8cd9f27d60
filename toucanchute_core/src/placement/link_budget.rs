use std::collections::HashMap;

use toucanchute_proto::Millis;

/// Share of the link's rate that requests may use. What is left is for the headers of packets, which no
/// process sees, and keeps the queue of the link short.
const USABLE_SHARE: f64 = 0.8;

/// Time in which the budget fills when nothing is drawn. Requests that come together within a part of it
/// are admitted together.
const FILL_TIME: Millis = Millis(500);

/// Parts of a full budget that each less urgent rank leaves to the ranks before it.
const RANK_RESERVE: f64 = 1.0 / 8.0;

/// Ranks beyond this one leave no more than it does, so that each rank can be admitted.
const MAX_RANK: u8 = 4;

/// Part of a full budget that a customer leaves to others if it draws more than the mean customer.
const HEAVY_RESERVE: f64 = 1.0 / 4.0;

/// Time in which what a customer has drawn is forgotten by half.
const DRAW_HALF_LIFE: Millis = Millis(1_000);

/// Draws below this number of bytes are forgotten.
const MIN_DRAW: f64 = 100.0;

/// Shortest and longest time after which a refused request may be repeated.
const RETRY_TIMES: (Millis, Millis) = (Millis(100), Millis(3_000));

/// What a request needs of a host's link.
#[derive(Clone, Copy, Debug)]
pub struct LinkRequest<'a> {
    /// Name of the customer; empty if it is not known.
    pub customer: &'a str,
    /// How many more urgent ranks there are; 0 for the most urgent requests.
    pub rank: u8,
    /// Bytes of the body and the expected response.
    pub bytes: u64,
}

/// Decides which requests a host's link can carry.
///
/// A token bucket in bytes. Requests draw from it when they are admitted, so that those that were admitted
/// do not wait behind others in the queue of the link.
///
/// ```
/// use toucanchute_core::placement::{LinkBudget, LinkRequest};
/// use toucanchute_proto::Millis;
///
/// let mut link = LinkBudget::new(10_000);
/// let req = LinkRequest { customer: "pereda", rank: 0, bytes: 200_000 };
/// assert!(link.admit(Millis(0), req).is_ok());
/// assert!(link.admit(Millis(0), req).is_ok());
/// assert!(link.admit(Millis(0), req).is_err());
/// assert!(link.admit(Millis(1_000), req).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Bytes that are added in a millisecond.
    rate: f64,
    /// Bytes that may be drawn. Never more than [`LinkBudget::full`]; negative if traffic that is not
    /// admitted here drew more than there was.
    left: f64,
    /// Bytes of refused requests whose callers were told to come back and that have not passed yet.
    promised: f64,
    updated_at: Millis,
    /// Bytes that each customer has drawn lately.
    drawn: HashMap<String, f64>,
}

impl LinkBudget {
    /// Creates the full budget of a link with a bandwidth in kbit/s.
    #[must_use]
    pub fn new(bandwidth: u32) -> LinkBudget {
        let rate = f64::from(bandwidth) / 8.0 * USABLE_SHARE;
        LinkBudget {
            rate,
            left: rate * FILL_TIME.0 as f64,
            promised: 0.0,
            updated_at: Millis::default(),
            drawn: HashMap::new(),
        }
    }

    /// Admits a request and draws its bytes.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be repeated, if the link cannot carry it now.
    pub fn admit(&mut self, now: Millis, req: LinkRequest<'_>) -> Result<(), Millis> {
        self.advance(now);
        let bytes = req.bytes as f64;
        // A request that is larger than the budget passes when the budget is full.
        let needed = (bytes + self.reserve(&req)).min(self.full());
        if self.left >= needed {
            self.left -= bytes;
            self.record_draw(req.customer, bytes);
            return Ok(());
        }
        let missing = needed - self.left + self.promised;
        self.promised += bytes;
        let (shortest, longest) = RETRY_TIMES;
        let wait = Millis((missing / self.rate).ceil() as u64);
        Err(wait.clamp(shortest, longest))
    }

    /// Draws bytes of traffic that is not admitted here, such as that of peers.
    pub fn draw(&mut self, now: Millis, bytes: u64) {
        self.advance(now);
        // What is missing is bounded, so that requests are admitted again soon after such traffic ends.
        self.left = (self.left - bytes as f64).max(-self.full());
    }

    /// Returns the most bytes that the budget can hold.
    fn full(&self) -> f64 {
        self.rate * FILL_TIME.0 as f64
    }

    /// Returns the bytes that have to be left for other requests when this one is admitted.
    fn reserve(&self, req: &LinkRequest<'_>) -> f64 {
        let by_rank = f64::from(req.rank.min(MAX_RANK)) * RANK_RESERVE;
        let by_draw = match self.is_heavy(req.customer) {
            true => HEAVY_RESERVE,
            false => 0.0,
        };
        (by_rank + by_draw) * self.full()
    }

    /// Whether a customer has drawn more than the mean of all customers.
    fn is_heavy(&self, customer: &str) -> bool {
        let own = self.drawn.get(customer).copied().unwrap_or(0.0);
        let mean = self.drawn.values().sum::<f64>() / self.drawn.len().max(1) as f64;
        own > mean
    }

    fn record_draw(&mut self, customer: &str, bytes: f64) {
        match self.drawn.get_mut(customer) {
            Some(drawn) => *drawn += bytes,
            None => _ = self.drawn.insert(customer.to_owned(), bytes),
        }
    }

    fn advance(&mut self, now: Millis) {
        let elapsed = now.since(self.updated_at).0 as f64;
        if elapsed == 0.0 {
            return;
        }
        self.updated_at = now;
        let added = self.rate * elapsed;
        self.left = (self.left + added).min(self.full());
        self.promised = (self.promised - added).max(0.0);
        let kept = 0.5_f64.powf(elapsed / DRAW_HALF_LIFE.0 as f64);
        self.drawn.retain(|_, drawn| {
            *drawn *= kept;
            *drawn >= MIN_DRAW
        });
    }
}
