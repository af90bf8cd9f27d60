use std::fmt;

use toucanchute_log::HybridTimestamp;

/// One run of a process, which has a lane of its own in the picture.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Host that it ran on.
    pub host: String,
    /// Kind of process, such as `router`.
    pub kind: String,
    /// Incarnation, or `-`.
    pub incarnation: String,
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Reading of the process's hybrid logical clock.
    pub stamp: HybridTimestamp,
    /// Number of the event within its process.
    pub seq: u64,
    /// Where it happened.
    pub process: Process,
    /// Level, such as `info`; empty if the line has none.
    pub level: String,
    /// Name, such as `request-settled`.
    pub name: String,
    /// All other pairs in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Event {
    /// Returns the first value of a field.
    #[must_use]
    pub fn field(&self, key: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(k, _)| k == key)
            .map(|(_, value)| value.as_str())
    }

    /// Returns milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis(&self) -> u64 {
        let text = self.stamp.to_string();
        let ms = text.split('.').next().unwrap_or_default();
        ms.parse().unwrap_or_default()
    }
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.kind)
    }
}
