use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};
use toucanchute_proto::{
    config::{Fencing, PoolKind},
    settings::LogLevel,
};

/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// Minimum length of a token or secret, in bytes.
const MIN_SECRET_BYTES: usize = 8;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Units of durations with their length in milliseconds.
const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];

/// Allowed values of a key and the function that parses them.
pub(crate) struct Format<T> {
    /// Description of the allowed values, used in error messages.
    pub(crate) allowed: &'static str,
    /// All allowed values if they can be enumerated, otherwise empty. Used for suggestions.
    pub(crate) choices: &'static [&'static str],
    /// Whether the value is omitted from error messages.
    pub(crate) secret: bool,
    /// Parses a value. Returns `None` if it is not allowed.
    pub(crate) parse: fn(&str) -> Option<T>,
}

impl<T> Format<T> {
    const fn new(allowed: &'static str, parse: fn(&str) -> Option<T>) -> Format<T> {
        Format {
            allowed,
            choices: &[],
            secret: false,
            parse,
        }
    }

    const fn choices(mut self, choices: &'static [&'static str]) -> Format<T> {
        self.choices = choices;
        self
    }

    const fn secret(mut self) -> Format<T> {
        self.secret = true;
        self
    }
}

pub(crate) const NAME: Format<String> = Format::new(
    "a name of at most 64 letters, digits, `-`, `_`, `.` or `/`",
    |s| is_name(s).then(|| s.to_owned()),
);

pub(crate) const NAMES: Format<Vec<String>> = Format::new("names, separated by commas", |s| {
    let names = s.split(',').map(str::trim);
    names.map(|n| is_name(n).then(|| n.to_owned())).collect()
});

pub(crate) const NAME_PAIRS: Format<Vec<String>> = Format::new(
    "pairs of names such as bilbao:north, separated by commas",
    |s| {
        let pair = |pair: &str| {
            let (name, value) = pair.trim().split_once(':')?;
            (is_name(name) && is_name(value)).then(|| format!("{name}:{value}"))
        };
        s.split(',').map(pair).collect()
    },
);

pub(crate) const ADDRESS: Format<SocketAddr> =
    Format::new("an IP number and port such as 10.0.0.1:8080", parse_address);

pub(crate) const ADDRESSES: Format<Vec<SocketAddr>> =
    Format::new("IP numbers and ports, separated by commas", |s| {
        s.split(',')
            .map(|part| parse_address(part.trim()))
            .collect()
    });

pub(crate) const DURATION: Format<u64> = Format::new(
    "a duration of at least 1 ms with its unit, such as 500 ms, 10 s, 5 min or 24 h",
    |s| decimal_quantity(s, &TIME_UNITS),
);

pub(crate) const DURATION_OR_ZERO: Format<u64> = Format::new(
    "a duration with its unit, such as 0 s, 500 ms or 8.5 s",
    |s| {
        let (number, unit) = s.split_once(' ')?;
        let (_, factor) = TIME_UNITS.iter().find(|(name, _)| *name == unit.trim())?;
        Some((non_negative_number(number)? * *factor as f64) as u64)
    },
);

pub(crate) const RATIO: Format<u32> =
    Format::new("a share of at least 0 such as 0.2, kept in percent", |s| {
        Some((non_negative_number(s)? * 100.0) as u32)
    });

pub(crate) const THOUSANDTHS: Format<u32> =
    Format::new("a number of at least 0 such as 1 or 0.25", |s| {
        Some((non_negative_number(s)? * 1_000.0) as u32)
    });

pub(crate) const NON_NEGATIVE: Format<u32> =
    Format::new("a number of at least 0 such as 54 or 33.2", |s| {
        Some(non_negative_number(s)? as u32)
    });

pub(crate) const SIZE: Format<u64> = Format::new(
    "a size with its unit, such as 512 B, 64 KiB or 1 MiB",
    |s| whole_quantity(s, &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)]),
);

pub(crate) const TOKENS: Format<u64> = Format::new("a number of tokens", |s| s.parse().ok());

pub(crate) const COUNT: Format<u32> = Format::new("a number of at least 1", |s| {
    s.parse().ok().filter(|&n| n > 0)
});

pub(crate) const PERCENT: Format<u32> = Format::new("a number from 0 to 100, in percent", |s| {
    s.parse().ok().filter(|&n| n <= 100)
});

pub(crate) const PRIORITY: Format<u8> = Format::new("a number from 0 to 255", |s| s.parse().ok());

pub(crate) const SHARDS: Format<u16> = Format::new("a number from 1 to 1024", |s| {
    s.parse().ok().filter(|n| (1..=1024).contains(n))
});

pub(crate) const RING: Format<u32> = Format::new("a number from 2 to 4096", |s| {
    s.parse().ok().filter(|n| (2..=4096).contains(n))
});

pub(crate) const WITNESSES: Format<u8> = Format::new("a number from 1 to 7", |s| {
    s.parse().ok().filter(|n| (1..=7).contains(n))
});

pub(crate) const BOOL: Format<bool> =
    Format::new("true or false", |s| s.parse().ok()).choices(&["true", "false"]);

pub(crate) const POOL_KIND: Format<PoolKind> =
    Format::new("engine or service", |s| s.parse().ok()).choices(&["engine", "service"]);

pub(crate) const FENCING: Format<Fencing> =
    Format::new("checked or ignored", |s| s.parse().ok()).choices(&["checked", "ignored"]);

pub(crate) const LOG_LEVEL: Format<LogLevel> =
    Format::new("error, warn, info, debug or trace", |s| s.parse().ok())
        .choices(&["error", "warn", "info", "debug", "trace"]);

pub(crate) const PATH: Format<String> = Format::new("the path of a file", |s| {
    (!s.is_empty()).then(|| s.to_owned())
});

pub(crate) const DIGEST: Format<String> = Format::new("64 lower-case hexadecimal digits", |s| {
    is_digest(s).then(|| s.to_owned())
});

pub(crate) const SECRET: Format<String> =
    Format::new("at least 8 printable characters without spaces", |s| {
        is_secret(s).then(|| s.to_owned())
    })
    .secret();

/// Returns the SHA-256 digest of `bytes` in lower-case hexadecimal digits.
pub(crate) fn sha256_hex(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

fn parse_address(s: &str) -> Option<SocketAddr> {
    s.parse().ok().filter(|a: &SocketAddr| a.port() != 0)
}

/// Parses a finite decimal number of at least 0. Callers convert it with `as`, so numbers that are
/// too large for the target type become its maximum.
fn non_negative_number(s: &str) -> Option<f64> {
    let number: f64 = s.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Parses a positive integer followed by one of `units`. Returns the quantity in the smallest unit.
fn whole_quantity(s: &str, units: &[(&str, u64)]) -> Option<u64> {
    let unit_start = s.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = s.split_at(unit_start);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    let number: u64 = number.parse().ok()?;
    number.checked_mul(*factor).filter(|&n| n > 0)
}

/// Parses a decimal number followed by one of `units`. Returns the quantity in the smallest unit,
/// rounded down; it is at least 1.
fn decimal_quantity(s: &str, units: &[(&str, u64)]) -> Option<u64> {
    let unit_start = s.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = s.split_at(unit_start);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    if !number.contains('.') {
        return whole_quantity(s, units);
    }
    let smallest_units: f64 = number.parse::<f64>().ok()? * *factor as f64;
    (smallest_units >= 1.0 && smallest_units.is_finite()).then_some(smallest_units as u64)
}

fn is_name(s: &str) -> bool {
    let is_allowed = |c: char| c.is_alphanumeric() || "-_./".contains(c);
    !s.is_empty() && s.len() <= MAX_NAME_BYTES && s.chars().all(is_allowed)
}

fn is_digest(s: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    s.len() == DIGEST_DIGITS && s.bytes().all(is_allowed)
}

fn is_secret(s: &str) -> bool {
    s.len() >= MIN_SECRET_BYTES && s.bytes().all(|b| b.is_ascii_graphic())
}
