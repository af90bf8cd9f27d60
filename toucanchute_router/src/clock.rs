use toucanchute_proto::Millis;

/// Returns the wall clock, in milliseconds since the Unix epoch.
pub(crate) fn now() -> Millis {
    Millis(toucanchute_log::wall_clock_ms())
}
