use super::{RateLimiter, SuppressedLines};

#[test]
fn lines_beyond_the_rate_are_suppressed_and_reported() {
    let mut limiter = RateLimiter::new(2);
    assert!(limiter.advance(10_000).is_empty());
    let admitted: Vec<bool> = (0..4).map(|_| limiter.admit("request-ended")).collect();
    assert_eq!(admitted, [true, true, false, false]);
    assert!(limiter.admit("members-changed"));
    assert!(limiter.advance(10_999).is_empty());
    let suppressed = SuppressedLines {
        event: "request-ended".to_owned(),
        lines: 2,
    };
    assert_eq!(limiter.advance(11_000), [suppressed]);
    assert!(limiter.admit("request-ended"));
}
