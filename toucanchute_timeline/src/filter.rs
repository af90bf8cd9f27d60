use std::collections::HashSet;

use crate::event::Event;

/// Filter for events. An event must match all conditions that are set.
///
/// ```
/// use toucanchute_timeline::Filter;
///
/// let filter = Filter::default().request("4be1");
/// # let _ = filter;
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Filter {
    request: Option<String>,
    customer: Option<String>,
    host: Option<String>,
    name: Option<String>,
}

impl Filter {
    /// Selects the events of one request and of its attempts at backend servers. `key` is the
    /// request's key or its first digits.
    pub fn request(mut self, key: &str) -> Filter {
        self.request = Some(key.to_owned());
        self
    }

    /// Selects the events that name this customer.
    pub fn customer(mut self, name: &str) -> Filter {
        self.customer = Some(name.to_owned());
        self
    }

    /// Selects the events of this host.
    pub fn host(mut self, name: &str) -> Filter {
        self.host = Some(name.to_owned());
        self
    }

    /// Selects the events with this name.
    pub fn event(mut self, name: &str) -> Filter {
        self.name = Some(name.to_owned());
        self
    }

    /// Returns the events that match, in their original order.
    pub(crate) fn apply<'a>(&self, events: &'a [Event]) -> Vec<&'a Event> {
        let attempts = self.request_attempts(events);
        let matches = |e: &&Event| self.matches(e, &attempts);
        events.iter().filter(matches).collect()
    }

    /// Returns the attempts of the selected request. Backend servers log only the attempt, not the
    /// request.
    fn request_attempts<'a>(&self, events: &'a [Event]) -> HashSet<&'a str> {
        let of_request = events.iter().filter(|e| self.matches_request(e));
        of_request.filter_map(|e| e.field("attempt")).collect()
    }

    fn matches_request(&self, event: &Event) -> bool {
        match (&self.request, event.field("request")) {
            (Some(key_prefix), Some(key)) => key.starts_with(key_prefix.as_str()),
            _ => false,
        }
    }

    fn matches(&self, event: &Event, attempts: &HashSet<&str>) -> bool {
        let of_attempt = event.field("attempt").is_some_and(|a| attempts.contains(a));
        let request = self.request.is_none() || self.matches_request(event) || of_attempt;
        let customer = matches_or_unset(self.customer.as_deref(), event.field("customer"));
        let host = matches_or_unset(self.host.as_deref(), Some(&event.process.host));
        let name = matches_or_unset(self.name.as_deref(), Some(&event.name));
        request && customer && host && name
    }
}

/// Returns whether a condition is unset or equals the value found in an event.
fn matches_or_unset(wanted: Option<&str>, found: Option<&str>) -> bool {
    wanted.is_none() || wanted == found
}
