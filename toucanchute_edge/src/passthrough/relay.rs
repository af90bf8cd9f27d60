use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};
use toucanchute_core::routing::{CrashKind, Report};
use toucanchute_proto::Millis;

use super::{
    Dialect, Failure, ResponseBody, RouteControl,
    attempt::Held,
    events::Events,
    handler::InFlight,
    pool::report_of_break,
    run::{Answered, Run, Trace, Tries, respond},
};
use crate::settings::duration;

/// Pieces of an answer that may wait for a slow caller.
const PIECES_IN_FLIGHT: usize = 16;

/// Pause of a stream after which another backend server carries it on, as a multiple of the longest
/// pause that is on time.
const GAP_FACTOR: u32 = 2;

/// Least such pause.
const MIN_GAP: Duration = Duration::from_millis(1_200);

/// Answers with the head of a stream and relays its events in a task of its own.
pub(super) fn start<C: RouteControl, D: Dialect>(
    run: Run<C, D>,
    answered: Answered<C>,
    tries: Tries,
    held: Held<C>,
    trace: Trace<C>,
    in_flight: InFlight,
) -> Response<ResponseBody> {
    let (tx, rx) = mpsc::channel(PIECES_IN_FLIGHT);
    let res = respond(&answered.head, ResponseBody::pieces(rx));
    let relay = Relay {
        last_id: run.call.resume_after,
        run,
        tries,
        held,
        trace,
        tx,
        events: 0,
        _in_flight: in_flight,
    };
    tokio::spawn(relay.relay(answered));
    res
}

/// A stream on its way to the caller.
struct Relay<C: RouteControl, D> {
    run: Run<C, D>,
    tries: Tries,
    held: Held<C>,
    trace: Trace<C>,
    tx: mpsc::Sender<Result<Bytes, io::Error>>,
    /// Identifier of the last event that was relayed.
    last_id: Option<u64>,
    /// Events relayed.
    events: u64,
    _in_flight: InFlight,
}

/// Why relaying one backend server's events ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    CallerLeft,
    OutOfTime,
    /// The connection broke off, or the stream ended within an event.
    Broken,
    /// No event came for long.
    Silent,
    /// An event has no end.
    TooLarge,
}

impl<C: RouteControl, D: Dialect> Relay<C, D> {
    async fn relay(mut self, mut answered: Answered<C>) {
        loop {
            let end = self.relay_one(&mut answered).await;
            let assignment = answered.attempt.assignment.clone();
            let report = match end {
                End::Complete => Report::Done {
                    tokens: self.events,
                },
                End::CallerLeft => Report::Cancelled,
                End::OutOfTime | End::Silent => CrashKind::TimedOut.into(),
                End::TooLarge => CrashKind::Malformed.into(),
                End::Broken => report_of_break(assignment.address).await,
            };
            let Answered {
                attempt,
                conn,
                info,
                ..
            } = answered;
            attempt.end(report);
            let cause = match end {
                End::Complete => {
                    if !info.closes_connection {
                        let pool = &self.run.shared.pool;
                        pool.keep(&assignment.backend, conn, info.keep_alive);
                    }
                    return self.finish("answered");
                }
                End::CallerLeft => return self.finish("caller-left"),
                End::OutOfTime => return self.break_off("out-of-time").await,
                End::Broken => "stream broke off",
                End::Silent => "no event in time",
                End::TooLarge => "an event without end",
            };
            drop(conn);
            self.trace.attempt_failed(&assignment, report, cause);
            self.tries.exclude_backend(&assignment.backend);
            if !self.tries.may_repeat() {
                return self.break_off("stream-broke-off").await;
            }
            match self.resume().await {
                Ok(next) => answered = next,
                Err(failure) => return self.break_off(failure.reason).await,
            }
        }
    }

    /// Relays the events of one backend server until they end.
    async fn relay_one(&mut self, answered: &mut Answered<C>) -> End {
        let mut events = Events::default();
        let gap = duration(Millis(self.run.route().gap_target_ms)) * GAP_FACTOR;
        let gap = gap.max(MIN_GAP);
        let mut silent_at = Instant::now() + gap;
        loop {
            let frame = tokio::select! {
                frame = answered.body.frame() => frame,
                () = self.tx.closed() => return End::CallerLeft,
                () = sleep_until(self.run.deadline) => return End::OutOfTime,
                () = sleep_until(silent_at), if self.tries.may_repeat() => return End::Silent,
            };
            let data = match frame {
                None if events.is_partial() => return End::Broken,
                None => return End::Complete,
                Some(Err(_)) => return End::Broken,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            events.push(&data);
            let (piece, count) = self.take_events(&mut events);
            if events.is_too_large() {
                return End::TooLarge;
            }
            if count == 0 {
                continue;
            }
            if self.events == count {
                answered.attempt.first();
            }
            silent_at = Instant::now() + gap;
            self.run.charge_events(&mut self.held, self.events);
            if self.tx.send(Ok(piece)).await.is_err() {
                return End::CallerLeft;
            }
        }
    }

    /// Takes the whole events that were received, without those that the caller has.
    fn take_events(&mut self, events: &mut Events) -> (Bytes, u64) {
        let mut piece = BytesMut::new();
        let mut count = 0;
        while let Some(event) = events.next() {
            let known = event.id.is_some() && event.id <= self.last_id;
            if known {
                continue;
            }
            self.last_id = event.id.or(self.last_id);
            piece.extend_from_slice(&event.bytes);
            count += 1;
        }
        self.events += count;
        (piece.freeze(), count)
    }

    /// Lets another backend server carry the stream on.
    async fn resume(&mut self) -> Result<Answered<C>, Failure> {
        let after = self.last_id;
        let Relay {
            run,
            tries,
            trace,
            tx,
            ..
        } = self;
        tokio::select! {
            answered = run.next_answer(tries, trace, after) => {
                let answered = answered?;
                match answered.head.status.is_success() {
                    true => Ok(answered),
                    false => Err(Failure::new(super::FailureKind::Failed, "resume-refused")),
                }
            }
            () = tx.closed() => Err(Failure::new(super::FailureKind::Failed, "caller-left")),
        }
    }

    fn finish(mut self, outcome: &'static str) {
        self.trace.used = self.held.used;
        self.trace.events = self.events;
        self.trace.end_stream(200, outcome);
    }

    /// Ends the answer so that it does not look complete.
    async fn break_off(mut self, outcome: &'static str) {
        self.trace.used = self.held.used;
        self.trace.events = self.events;
        self.trace.end_stream(200, outcome);
        let _ = self.tx.send(Err(io::Error::other(outcome))).await;
    }
}
