use std::io;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};
use toucanchute_core::routing::{AttemptReport, CrashKind};

use super::{
    Dialect, Failure, ResponseBody, RouteControl,
    event_splitter::{Event, EventSplitter},
    framing::Framing,
    guards::AttemptGuard,
    handler::InFlightGuard,
    observed_ends::ConnectionLifetime,
    pool::{broken_connection_report, undelimited_end_report},
    proxied_request::{
        BackendResponse, FirstAttempt, Hedged, ProxiedRequest, RequestTrace, RetryState, ServerRun,
        event_patience,
    },
    request_tokens::RequestTokens,
};
use crate::control::Assignment;

/// Most chunks of a response that are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Bytes that a chunk of a stream adds to its events: the frame of the chunk.
const CHUNK_OVERHEAD_BYTES: u64 = 8;

/// Outcome of a stream that reached its end.
const ANSWERED: &str = "answered";

/// Returns a response with the head of the stream, and relays the events in a separate task.
pub(super) fn start<C: RouteControl, D: Dialect>(
    request: ProxiedRequest<C, D>,
    response: BackendResponse<C>,
    retries: RetryState,
    tokens: RequestTokens<C>,
    mut trace: RequestTrace<C>,
    in_flight: InFlightGuard,
) -> Response<ResponseBody> {
    trace.record_stream_start(response.head.status());
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let res = response.head.to_response(ResponseBody::streaming(rx));
    let relay = StreamRelay {
        last_event_id: request.info.resume_after,
        request,
        retries,
        tokens,
        trace,
        tx,
        events_relayed: 0,
        bytes_relayed: 0,
        origin_recorded: false,
        first_assigned_at: response.attempt.assigned_at,
        _in_flight: in_flight,
    };
    tokio::spawn(relay.relay(response));
    res
}

/// Relays a stream to the caller, from one backend server after the other if it is resumed.
struct StreamRelay<C: RouteControl, D> {
    request: ProxiedRequest<C, D>,
    retries: RetryState,
    tokens: RequestTokens<C>,
    trace: RequestTrace<C>,
    tx: mpsc::Sender<Result<Bytes, io::Error>>,
    /// Identifier of the last event that was relayed.
    last_event_id: Option<u64>,
    /// Number of events relayed from all backend servers.
    events_relayed: u64,
    /// Number of their bytes, with what each chunk adds on the way.
    bytes_relayed: u64,
    /// Whether it was recorded which software began the stream.
    origin_recorded: bool,
    /// When the first backend server was assigned.
    first_assigned_at: Instant,
    _in_flight: InFlightGuard,
}

/// Returns how a stream ended whose body ended without an error.
fn stream_end(framing: Framing, events: &EventSplitter) -> StreamEnd {
    match framing {
        _ if events.is_partial() => StreamEnd::Broken,
        Framing::Delimited => StreamEnd::Complete,
        Framing::UntilClose if events.is_unused() => StreamEnd::Broken,
        Framing::UntilClose => StreamEnd::Unconfirmed,
    }
}

/// Why relaying one backend server's events ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    /// The connection of a stream without a length ended between two events.
    Unconfirmed,
    CallerDisconnected,
    DeadlinePassed,
    /// No tokens were granted for further events until the deadline.
    OutOfTokens,
    /// The connection broke off, or the stream ended within an event.
    Broken,
    /// Another backend server has taken the stream over from a silent one.
    TakenOver,
    /// An event exceeds the size limit.
    EventTooLarge,
}

/// Complete events of a stream, at least one, or how it ended.
type ReceivedEvents = Result<Vec<Event>, StreamEnd>;

/// Whether a stream goes on or has ended as it should.
fn is_sound(received: &ReceivedEvents) -> bool {
    !matches!(received, Err(StreamEnd::Broken | StreamEnd::EventTooLarge))
}

/// Whether a response is a stream.
fn is_success<C: RouteControl>(response: &BackendResponse<C>) -> bool {
    response.head.status().is_success()
}

/// Reads the next complete events of a stream. Ends its attempt if the backend server failed.
async fn read_events<C: RouteControl>(
    response: &mut BackendResponse<C>,
    splitter: &mut EventSplitter,
    deadline: Instant,
) -> ReceivedEvents {
    loop {
        let data = match response.body.frame().await {
            None => {
                let end = stream_end(response.framing, splitter);
                return end_attempt(response, end, deadline).await;
            }
            Some(Err(_)) => return end_attempt(response, StreamEnd::Broken, deadline).await,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        response.attempt.record_bytes();
        splitter.push(&data);
        let events: Vec<Event> = std::iter::from_fn(|| splitter.next_event()).collect();
        if splitter.is_too_large() {
            return end_attempt(response, StreamEnd::EventTooLarge, deadline).await;
        }
        if !events.is_empty() {
            return Ok(events);
        }
    }
}

/// Ends an attempt whose stream ended, unless it is complete. A stream without a length is broken if its
/// server ended with it.
async fn end_attempt<C: RouteControl>(
    response: &mut BackendResponse<C>,
    end: StreamEnd,
    deadline: Instant,
) -> ReceivedEvents {
    let attempt = &mut response.attempt;
    let address = attempt.assignment.address;
    let (end, report) = match end {
        StreamEnd::Broken => (end, broken_connection_report(address).await),
        StreamEnd::Unconfirmed => match undelimited_end_report(address, deadline).await {
            report @ AttemptReport::Crashed { .. } => (StreamEnd::Broken, report),
            report => (end, report),
        },
        StreamEnd::EventTooLarge => (end, CrashKind::Malformed.into()),
        _ => return Err(end),
    };
    attempt.end(report);
    Err(end)
}

impl StreamEnd {
    /// Returns why the stream failed at its backend server, for the log, if it did.
    fn failure_cause(self) -> Option<&'static str> {
        match self {
            StreamEnd::Broken => Some("the event stream broke off"),
            StreamEnd::EventTooLarge => Some("an event exceeds the size limit"),
            StreamEnd::Complete
            | StreamEnd::Unconfirmed
            | StreamEnd::TakenOver
            | StreamEnd::CallerDisconnected
            | StreamEnd::DeadlinePassed
            | StreamEnd::OutOfTokens => None,
        }
    }
}

impl<C: RouteControl, D: Dialect> StreamRelay<C, D> {
    async fn relay(mut self, mut response: BackendResponse<C>) {
        loop {
            let (end, next) = self.relay_events(&mut response).await;
            self.retries.record_end();
            let report = response.attempt.ended_with();
            let report = report.unwrap_or_else(|| self.report(end, &response.attempt));
            let BackendResponse {
                attempt,
                conn,
                info,
                ..
            } = response;
            if let Some(cause) = end.failure_cause() {
                self.trace.log_attempt_failure(&attempt, report, cause);
            }
            let assignment = attempt.assignment.clone();
            attempt.report_end(report);
            match end {
                StreamEnd::Complete => {
                    if !info.closes_connection {
                        let pool = &self.request.state.pool;
                        pool.put_idle(&assignment.backend, conn, info.keep_alive);
                    }
                    return self.finish(ANSWERED);
                }
                StreamEnd::Unconfirmed => return self.finish(ANSWERED),
                StreamEnd::CallerDisconnected => return self.finish("caller-left"),
                StreamEnd::DeadlinePassed => return self.abort("out-of-time").await,
                StreamEnd::OutOfTokens => return self.abort("out-of-tokens").await,
                StreamEnd::Broken | StreamEnd::TakenOver | StreamEnd::EventTooLarge => drop(conn),
            }
            self.retries.exclude_backend(&assignment.backend);
            response = match next {
                Some(next) => next,
                None if !self.retries.may_rerun() => return self.abort("stream-broke-off").await,
                None => match self.resume().await {
                    Ok(next) => next,
                    Err(failure) => return self.abort(failure.reason).await,
                },
            };
        }
    }

    /// Returns the report for an attempt whose stream ended without a failure of its backend server.
    fn report(&self, end: StreamEnd, attempt: &AttemptGuard<C>) -> AttemptReport {
        match end {
            StreamEnd::Complete => AttemptReport::Done {
                tokens: self.events_relayed,
            },
            StreamEnd::DeadlinePassed => {
                attempt.deadline_report(event_patience(self.request.route()))
            }
            _ => AttemptReport::Cancelled,
        }
    }

    /// Relays the events of one backend server until its stream ends. Also returns the response of the
    /// backend server that goes on, if one was found while this one was silent.
    async fn relay_events(
        &mut self,
        response: &mut BackendResponse<C>,
    ) -> (StreamEnd, Option<BackendResponse<C>>) {
        let mut splitter = EventSplitter::default();
        let assignment = response.attempt.assignment.clone();
        let run = ServerRun {
            assignment: assignment.clone(),
            connection: ConnectionLifetime::since(response.conn.opened_at),
        };
        let mut last_event_at = Instant::now();
        loop {
            let next = self.next_events(response, &mut splitter, &assignment);
            let events = match next.await {
                Hedged::First(Ok(events)) => events,
                Hedged::First(Err(end)) => return (end, None),
                Hedged::Second(response) => return (StreamEnd::TakenOver, Some(response)),
                Hedged::Both(Ok(events), _) => events,
                Hedged::Silent => return (StreamEnd::Broken, None),
                Hedged::Both(Err(end), second) => return (end, second.ok().filter(is_success)),
            };
            let (chunk, count) = self.take_events(events);
            if count == 0 {
                continue;
            }
            let now = Instant::now();
            let pace = &self.request.timing.pace;
            if self.events_relayed == count {
                self.retries.keep_software(run.clone());
                response.attempt.report_first_byte();
                pace.record_first_event(now - self.first_assigned_at);
            } else {
                pace.record_events(now - last_event_at, count);
            }
            if !self.origin_recorded {
                self.origin_recorded = self.request.record_origin(&run).await;
            }
            if let Some(end) = self.charge_events().await {
                return (end, None);
            }
            last_event_at = Instant::now();
            self.bytes_relayed += chunk.len() as u64 + CHUNK_OVERHEAD_BYTES;
            if self.tx.send(Ok(chunk)).await.is_err() {
                return (StreamEnd::CallerDisconnected, None);
            }
        }
    }

    /// Waits for the next complete events of one backend server. While it is silent, others are tried
    /// beside it.
    async fn next_events(
        &mut self,
        response: &mut BackendResponse<C>,
        splitter: &mut EventSplitter,
        assignment: &Assignment,
    ) -> Hedged<ReceivedEvents, C> {
        let first = FirstAttempt {
            assignment,
            patience: event_patience(self.request.route()),
            resume_after: self.last_event_id,
        };
        let StreamRelay {
            request,
            retries,
            trace,
            tx,
            ..
        } = self;
        let events = read_events(response, splitter, request.deadline);
        tokio::select! {
            next = request.hedge(first, events, is_sound, retries, trace) => next,
            () = tx.closed() => Hedged::First(Err(StreamEnd::CallerDisconnected)),
            () = sleep_until(request.deadline) => Hedged::First(Err(StreamEnd::DeadlinePassed)),
        }
    }

    /// Charges the events so far, for which further tokens may be needed. Returns how the stream ends if
    /// there are none in time.
    async fn charge_events(&mut self) -> Option<StreamEnd> {
        let used = self.request.tokens_of(self.events_relayed)?;
        tokio::select! {
            biased;
            () = self.tokens.charge(used) => None,
            () = self.tx.closed() => Some(StreamEnd::CallerDisconnected),
            () = sleep_until(self.request.deadline) => Some(StreamEnd::OutOfTokens),
        }
    }

    /// Returns those of `events` that the caller does not have yet, and their number.
    fn take_events(&mut self, events: Vec<Event>) -> (Bytes, u64) {
        let mut chunk = BytesMut::new();
        let mut count = 0;
        for event in events {
            let already_relayed = event.id.is_some() && event.id <= self.last_event_id;
            if already_relayed {
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            chunk.extend_from_slice(&event.bytes);
            count += 1;
        }
        self.events_relayed += count;
        (chunk.freeze(), count)
    }

    /// Has another backend server resume the stream after the last event that was relayed.
    async fn resume(&mut self) -> Result<BackendResponse<C>, Failure> {
        let resume_after = self.last_event_id;
        let StreamRelay {
            request,
            retries,
            trace,
            tx,
            ..
        } = self;
        tokio::select! {
            response = request.next_response(retries, trace, resume_after) => {
                let response = response?;
                match response.head.status().is_success() {
                    true => Ok(response),
                    false => Err(Failure::new(super::FailureKind::Failed, "resume-refused")),
                }
            }
            () = tx.closed() => Err(Failure::new(super::FailureKind::Failed, "caller-left")),
        }
    }

    fn finish(mut self, outcome: &'static str) {
        if outcome == ANSWERED {
            let time = self.first_assigned_at.elapsed();
            let pace = &self.request.timing.pace;
            pace.record_whole(time);
            pace.record_length(self.events_relayed);
            pace.record_response_bytes(self.bytes_relayed);
        }
        self.trace.record_stream_end(outcome);
    }

    /// Ends the response with an error, so that it does not look complete to the caller.
    async fn abort(mut self, outcome: &'static str) {
        self.trace.record_stream_end(outcome);
        let _ = self.tx.send(Err(io::Error::other(outcome))).await;
    }
}

impl<C: RouteControl, D> Drop for StreamRelay<C, D> {
    /// Records how far the stream was, which may have been cut anywhere.
    fn drop(&mut self) {
        self.trace.record_tokens(&self.tokens);
        self.trace.events_relayed = self.events_relayed;
    }
}
