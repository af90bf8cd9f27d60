//! One exchange with a backend server: a connection, the request and the head of the response.

use std::{io, time::Duration};

use bytes::Bytes;
use http::{Request, Response, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use toucanchute_core::routing::{AttemptReport, CrashKind};
use toucanchute_proto::{AttemptId, Millis};

use super::{ProxiedRequest, ServerRun, hedge::head_patience};
use crate::{
    passthrough::{
        Dialect, ForwardInfo, RouteControl,
        guards::AttemptGuard,
        observed_ends::ConnectionLifetime,
        pool::{Connection, SendError, broken_connection_report},
        table::RouteTable,
    },
    run_record::AttemptNotRun,
};

/// How a request is sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendTerms {
    /// Whether it may run once only.
    pub(super) non_idempotent: bool,
    /// Whether only the run of the server may get it that was assigned, for the sake of its software.
    pub(super) needs_software: bool,
    /// Last event of the stream that was relayed.
    pub(super) resume_after: Option<u64>,
}

/// A backend server's response whose head has been received.
pub(super) struct Exchange<C: RouteControl> {
    pub(super) attempt: AttemptGuard<C>,
    pub(super) conn: Connection,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
}

/// An attempt that has ended without a response.
pub(super) struct FailedExchange<C: RouteControl> {
    pub(super) attempt: AttemptGuard<C>,
    pub(super) error: ExchangeError,
}

/// Result of an attempt up to the head of its response.
pub(super) type Exchanged<C> = Result<Exchange<C>, FailedExchange<C>>;

impl<C: RouteControl, D: Dialect> ProxiedRequest<C, D> {
    /// Sends the request to the assigned backend server and waits for the head of the response. Ends the
    /// attempt if there is none.
    pub(super) async fn run_exchange(
        &self,
        mut attempt: AttemptGuard<C>,
        terms: SendTerms,
    ) -> Exchanged<C> {
        let exchanged = self.exchange(&attempt, terms).await;
        match exchanged {
            Ok((res, conn)) => {
                attempt.record_bytes();
                let (head, body) = res.into_parts();
                Ok(Exchange {
                    attempt,
                    conn,
                    head,
                    body,
                })
            }
            Err(error) => {
                let report = error.report(&attempt, head_patience(self.route())).await;
                attempt.end(report);
                Err(FailedExchange { attempt, error })
            }
        }
    }

    /// Sends the request to the assigned backend server and waits for the head of the response. A
    /// reused connection that was closed before the request was sent is replaced by a new one.
    async fn exchange(
        &self,
        attempt: &AttemptGuard<C>,
        terms: SendTerms,
    ) -> Result<(Response<Incoming>, Connection), ExchangeError> {
        let assignment = &attempt.assignment;
        let pool = &self.state.pool;
        let attempt_name = self.info.attempt.as_deref();
        let connect = pool.connect(
            &assignment.backend,
            assignment.address,
            attempt_name,
            terms.non_idempotent,
        );
        let conn = connect_by(self.deadline, connect).await?;
        let reused = conn.reused;
        match self.send_over(conn, attempt, terms).await {
            Err(ExchangeError::Send {
                source: SendError::Unsent,
            }) if reused => {
                let connect =
                    pool.connect_new(&assignment.backend, assignment.address, attempt_name);
                let conn = connect_by(self.deadline, connect).await?;
                self.send_over(conn, attempt, terms).await
            }
            exchanged => exchanged,
        }
    }

    /// Sends the request over a connection and waits for the head of the response.
    async fn send_over(
        &self,
        mut conn: Connection,
        attempt: &AttemptGuard<C>,
        terms: SendTerms,
    ) -> Result<(Response<Incoming>, Connection), ExchangeError> {
        let run = ServerRun {
            assignment: attempt.assignment.clone(),
            connection: ConnectionLifetime::since(conn.opened_at),
        };
        if terms.needs_software && !self.confirm(&run).await {
            return Err(SendError::Unconfirmed.into());
        }
        let send = conn.send(self.backend_request(attempt, terms.resume_after));
        let res = with_deadline(self.deadline, send).await?;
        Ok((res, conn))
    }

    /// Builds the request to the assigned backend server.
    fn backend_request(
        &self,
        attempt: &AttemptGuard<C>,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let customer = self.customer();
        let forward = ForwardInfo {
            backend: &attempt.assignment.backend,
            customer: customer.map(|c| c.name.as_str()),
            time_left: Millis(u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX)),
            priority: RouteTable::priority_of(self.route(), customer),
            resume_after,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = origin_form(&self.head.uri);
        *req.headers_mut() = self.state.dialect.forward_headers(&self.head, &forward);
        req
    }
}

/// Why an exchange with a backend server ended without a response.
#[derive(Debug, snafu::Snafu)]
pub(super) enum ExchangeError {
    /// The connection failed.
    #[snafu(display("{source}"), context(false))]
    Send {
        /// Cause.
        source: SendError,
    },
    /// No response arrived within the time allowed.
    #[snafu(display("the backend server sent no response in time"))]
    TimedOut,
}

impl ExchangeError {
    /// Returns the report for the attempt that failed with this error.
    async fn report<C: RouteControl>(
        &self,
        attempt: &AttemptGuard<C>,
        patience: Duration,
    ) -> AttemptReport {
        match self {
            ExchangeError::Send { source } if source.is_connection_refused() => AttemptReport::Gone,
            ExchangeError::Send { source } if source.is_connect_timeout() => {
                AttemptReport::Unreached
            }
            ExchangeError::Send {
                source: SendError::Connect { .. } | SendError::Unsent,
            } => AttemptReport::Unsent,
            ExchangeError::Send {
                source: SendError::Unconfirmed,
            } => AttemptReport::NotTried,
            ExchangeError::Send {
                source: SendError::Broken { .. },
            } => broken_connection_report(attempt.assignment.address).await,
            ExchangeError::Send {
                source: SendError::TooManyInterim,
            } => CrashKind::Malformed.into(),
            ExchangeError::TimedOut => attempt.deadline_report(patience),
        }
    }

    /// Returns the proof that the attempt did not run, if the error shows that nothing was sent.
    pub(super) fn not_run_proof(&self, attempt: AttemptId) -> Option<AttemptNotRun> {
        match self {
            ExchangeError::Send { source } => AttemptNotRun::from_send_error(attempt, source),
            ExchangeError::TimedOut => None,
        }
    }
}

/// Opens a connection until `deadline`. The request is handed over only afterwards, so that nothing
/// of it is written if the time runs out.
async fn connect_by(
    deadline: Instant,
    connect: impl Future<Output = Result<Connection, SendError>>,
) -> Result<Connection, SendError> {
    match timeout_at(deadline, connect).await {
        Ok(connected) => connected,
        Err(_) => Err(SendError::Connect {
            source: io::ErrorKind::TimedOut.into(),
        }),
    }
}

/// Runs `work` until `deadline`.
async fn with_deadline<T>(
    deadline: Instant,
    work: impl Future<Output = Result<T, SendError>>,
) -> Result<T, ExchangeError> {
    match timeout_at(deadline, work).await {
        Ok(result) => Ok(result?),
        Err(_) => TimedOutSnafu.fail(),
    }
}

/// Returns a URI without scheme and host.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}
