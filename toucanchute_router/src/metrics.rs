use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use cadence::{
    Counted, CountedExt, Gauged, MetricError, NopMetricSink, QueuingMetricSink, StatsdClient,
    UdpMetricSink,
};
use toucanchute_edge::{AttemptReport, RefusalReason};

/// Prefix of all metric names.
const PREFIX: &str = "toucanchute";

/// Metrics of the router process, sent to a StatsD server over UDP.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates metrics that are sent to `address`, or discarded if it is `None`. All carry the tag
    /// `host`.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket cannot be opened.
    pub(crate) fn new(address: Option<SocketAddr>, host: &str) -> Result<Metrics, MetricError> {
        let builder = match address {
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket)?;
                StatsdClient::builder(PREFIX, QueuingMetricSink::from(sink))
            }
            None => StatsdClient::builder(PREFIX, NopMetricSink),
        };
        Ok(Metrics {
            client: Arc::new(builder.with_tag("host", host).build()),
        })
    }

    /// Counts a refused request.
    pub(crate) fn record_refusal(&self, reason: RefusalReason) {
        let reason = format!("{reason:?}");
        self.client
            .count_with_tags("refused", 1)
            .with_tag("reason", &reason)
            .send();
    }

    /// Counts a settled request and its billed tokens.
    pub(crate) fn record_settlement(&self, tokens: u64) {
        let _ = self.client.incr("settled");
        let _ = self
            .client
            .count("tokens", i64::try_from(tokens).unwrap_or(i64::MAX));
    }

    /// Counts the progress or the end of an attempt.
    pub(crate) fn record_attempt(&self, report: AttemptReport) {
        let name = match report {
            AttemptReport::FirstToken => "attempt.first_token",
            AttemptReport::Silent => "attempt.silent",
            AttemptReport::Resumed => "attempt.resumed",
            AttemptReport::Done { .. } => "attempt.done",
            AttemptReport::Unconfirmed => "attempt.unconfirmed",
            AttemptReport::Failed => "attempt.failed",
            AttemptReport::Rejected => "attempt.rejected",
            AttemptReport::Refused => "attempt.refused",
            AttemptReport::Unsent => "attempt.unsent",
            AttemptReport::Unreached => "attempt.unreached",
            AttemptReport::NotTried => "attempt.not_tried",
            AttemptReport::Gone => "attempt.gone",
            AttemptReport::Crashed { .. } => "attempt.crashed",
            AttemptReport::Cancelled => "attempt.cancelled",
        };
        let _ = self.client.incr(name);
    }

    /// Sets the gauge of requests in progress.
    pub(crate) fn set_in_flight(&self, count: u64) {
        let _ = self.client.gauge("in_flight", count);
    }
}
