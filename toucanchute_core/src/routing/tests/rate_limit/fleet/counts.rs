//! What is counted in a simulated fleet: requests that reach servers, and messages about permits.

use toucanchute_proto::Millis;

/// A request that reached a server.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    server: usize,
    /// Who had known the server's limit for some time.
    known_by: KnownBy,
}

/// Who knows a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in super::super) enum KnownBy {
    Nobody,
    /// Some router, which told the others.
    Fleet,
    /// The router of the request itself, from an answer that it passed on. The users' rule counts
    /// these requests only.
    Router,
}

/// The counts of one run.
#[derive(Debug, Default)]
pub(in super::super) struct Counts {
    arrivals: Vec<Arrival>,
    /// Number of messages about permits, each counted where it is sent and where it is received.
    pub(in super::super) permit_messages: usize,
    /// Number of requests that callers sent since the limits were named, returns included.
    pub(in super::super) requests: usize,
}

impl Counts {
    pub(super) fn record_arrival(&mut self, at: Millis, server: usize, known_by: KnownBy) {
        self.arrivals.push(Arrival {
            at,
            server,
            known_by,
        });
    }

    /// Returns the greatest number of requests that reached a server in one window of this length
    /// that begins at `from` or later, of those whose limit was known at `least` so widely.
    pub(in super::super) fn most_requests(
        &self,
        server: usize,
        from: Millis,
        window: Millis,
        least: KnownBy,
    ) -> usize {
        let is_counted = |a: &&Arrival| a.server == server && a.known_by >= least;
        let times = self.arrivals.iter().filter(is_counted).map(|a| a.at);
        let times: Vec<Millis> = times.filter(|&at| at >= from).collect();
        let in_window = |i: usize| {
            let end = times[i] + window;
            times[i..].iter().take_while(|&&at| at < end).count()
        };
        (0..times.len()).map(in_window).max().unwrap_or(0)
    }

    /// Returns the number of requests that reached a server from `from` to `until`.
    pub(in super::super) fn requests_between(
        &self,
        server: usize,
        from: Millis,
        until: Millis,
    ) -> usize {
        let counted = |a: &&Arrival| a.server == server && a.at >= from && a.at < until;
        self.arrivals.iter().filter(counted).count()
    }
}
