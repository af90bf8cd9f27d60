//! What the head of a response reports about the backend server and about the attempt.

use http::response;
use toucanchute_core::routing::{BackendNotice, ColdCause};

use super::{ProxiedRequest, RequestTrace};
use crate::{
    control::Assignment,
    passthrough::{
        AttemptMatch, Dialect, RateLimitHeader, ResponseInfo, ResponseRecord, RouteControl,
        guards::AttemptGuard, pool::Connection,
    },
    settings::now,
};

impl<C: RouteControl, D: Dialect> ProxiedRequest<C, D> {
    /// Counts the head of a response, and logs it if it promises without proof that the request did
    /// not run.
    pub(super) fn record_response(
        &self,
        attempt: &AttemptGuard<C>,
        conn: &Connection,
        head: &response::Parts,
        info: &ResponseInfo,
        trace: &RequestTrace<C>,
    ) -> ResponseRecord {
        let record = ResponseRecord {
            status: head.status,
            attempt: AttemptMatch::new(self.info.attempt.as_deref(), info.attempt.as_deref()),
            not_run: info.not_run,
            reused: conn.reused,
        };
        self.state.control.record_response(&record);
        if record.is_unproven_promise() {
            trace.log_unproven_promise(&attempt.assignment, &record);
        }
        record
    }

    /// Reports what the head of a response states about the backend server.
    pub(super) fn report_backend_info(
        &self,
        attempt: &AttemptGuard<C>,
        info: &ResponseInfo,
        record: &ResponseRecord,
    ) {
        let control = &self.state.control;
        let backend = &attempt.assignment.backend;
        if info.leaving {
            control.report_notice(backend, BackendNotice::Leaving);
        }
        if let Some(span) = info.retry_after {
            control.report_notice(backend, BackendNotice::Backoff { duration: span });
        }
        if let Some(remaining) = info.cold {
            let cause = ColdCause::Reported;
            control.report_notice(backend, BackendNotice::Cold { remaining, cause });
        }
        self.report_rate_limit(&attempt.assignment, info, record);
        let Some(load) = info.load else {
            return;
        };
        control.report_load(toucanchute_proto::fleet::Load {
            backend: attempt.assignment.backend.clone(),
            running: load.running,
            waiting: load.waiting,
            capacity: load.slots,
            kv_used: 0,
            polled: false,
            pace_percent: load.pace_percent,
            token_time_us: None,
            as_of: now(),
        });
    }

    /// Reports a rate limit that a response to this attempt names, or that a sealed one of a limited
    /// backend server names none.
    fn report_rate_limit(
        &self,
        assignment: &Assignment,
        info: &ResponseInfo,
        record: &ResponseRecord,
    ) {
        if record.attempt != AttemptMatch::Own || info.misdirected {
            return;
        }
        let attempt = assignment.attempt;
        let notice = match info.rate_limit {
            RateLimitHeader::Limit(rate) => BackendNotice::RateLimit { rate, attempt },
            RateLimitHeader::Absent if assignment.rate_limited && info.sealed => {
                BackendNotice::NoRateLimit { attempt }
            }
            RateLimitHeader::Absent | RateLimitHeader::Invalid => return,
        };
        self.state
            .control
            .report_notice(&assignment.backend, notice);
    }
}
