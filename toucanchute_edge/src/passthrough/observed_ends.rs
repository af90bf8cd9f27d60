use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use toucanchute_proto::Millis;

/// Longest time from the start of a backend server to its registration, which it writes with each
/// heartbeat.
const REGISTRATION_TIME: Millis = Millis(1_500);

/// Longest time from the end of a backend server until this process has noticed it.
const DETECTION_TIME: Millis = Millis(200);

/// Time after which an end that was observed is forgotten. By then the registration of a server that
/// ended has lapsed.
const RETENTION: Millis = Millis(30_000);

/// When a connection to a backend server was open.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLifetime {
    pub(super) opened_at: Millis,
    /// Absent while it is open.
    pub(super) ended_at: Option<Millis>,
}

impl ConnectionLifetime {
    /// Returns the lifetime of a connection that is open.
    pub(super) fn since(opened_at: Millis) -> ConnectionLifetime {
        ConnectionLifetime {
            opened_at,
            ended_at: None,
        }
    }
}

/// Ends of connections by which runs of backend servers may have ended, by the name of the run.
///
/// A backend server may start again under its identifier and address. Until its registration says so, a
/// connection to it is taken for one to its earlier run, which may have had another version of its
/// software. Only connections that were opened before the first end belong to that run for certain.
#[derive(Debug, Default)]
pub(super) struct ObservedEnds(Mutex<HashMap<String, Millis>>);

impl ObservedEnds {
    /// Records that a connection to `backend` ended, or could not be opened, at `at`. The first one
    /// counts.
    pub(super) fn record(&self, backend: &str, at: Millis) {
        let mut ends = self.lock();
        ends.retain(|_, first| at.since(*first) < RETENTION);
        ends.entry(backend.to_owned()).or_insert(at);
    }

    /// Whether a connection to `backend` leads or led to the run that the server's registration describes.
    /// `was_registered_at` tells whether that run was registered at a time or later.
    pub(super) fn is_confirmed(
        &self,
        backend: &str,
        lifetime: ConnectionLifetime,
        was_registered_at: impl FnOnce(Millis) -> bool,
    ) -> bool {
        let ConnectionLifetime {
            opened_at,
            ended_at,
        } = lifetime;
        let first_end = self.lock().get(backend).copied();
        if first_end.is_none_or(|end| opened_at + DETECTION_TIME <= end) {
            return true;
        }
        // A later run would have registered by then, if it lived so long.
        let registered_by = opened_at + REGISTRATION_TIME;
        let lived_on = ended_at.is_none_or(|end| end >= registered_by);
        lived_on && was_registered_at(registered_by)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Millis>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
