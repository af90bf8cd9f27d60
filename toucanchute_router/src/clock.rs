use toucanchute_proto::Millis;

/// Returns the time since the Unix epoch, read from a clock that never jumps.
pub(crate) fn now() -> Millis {
    Millis(toucanchute_log::steady_clock_ms())
}
