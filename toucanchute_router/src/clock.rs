use toucanchute_proto::Millis;

/// Returns the time since the Unix epoch by a clock that never jumps.
pub(crate) fn now() -> Millis {
    Millis(toucanchute_log::steady_clock_ms())
}
