use super::{FULL_SHARE, HostCapacity};

/// Least number of hosts in a list, as long as the caller's region has so many.
const MIN_HOSTS: usize = 2;

/// Where a caller is.
#[derive(Clone, Copy, Debug)]
pub struct CallerDomain<'a> {
    /// Region of the caller.
    pub region: &'a str,
    /// Failure domain of the caller.
    pub failure_domain: &'a str,
}

/// A host whose router takes callers.
#[derive(Clone, Copy, Debug)]
pub struct PlacedHost<'a> {
    /// Region of the host.
    pub region: &'a str,
    /// Failure domain of the host.
    pub failure_domain: &'a str,
    /// What the host can carry.
    pub capacity: HostCapacity,
    /// Share of the lists that should name the host, in eighths, as it last reported.
    pub share: u8,
}

/// Returns the indices of the hosts that one list for a caller names.
///
/// These are the largest of its failure domain while none of them is relieved. Otherwise each host is named
/// in its share of the lists: `draw` returns a random number below [`FULL_SHARE`]. If their shares leave less
/// than half of the domain's capacity, hosts of the whole region are named in the same way. Hosts of other
/// regions are named only if the region has none, as requests may have to stay in it.
#[must_use]
pub fn choose_hosts(
    hosts: &[PlacedHost<'_>],
    caller: CallerDomain<'_>,
    mut draw: impl FnMut() -> u8,
) -> Vec<usize> {
    let all = 0..hosts.len();
    let near = all
        .clone()
        .filter(|&i| hosts[i].failure_domain == caller.failure_domain);
    let near: Vec<usize> = near.collect();
    let region = all.clone().filter(|&i| hosts[i].region == caller.region);
    let region: Vec<usize> = region.collect();
    let large = largest(hosts, &near);
    let is_relieved = large.iter().any(|&i| hosts[i].share < FULL_SHARE);

    let mut chosen = match () {
        () if !is_relieved => large,
        () if suffices(hosts, &near, &near) => drawn(hosts, &near, &mut draw),
        () if suffices(hosts, &region, &region) => drawn(hosts, &region, &mut draw),
        () => drawn(hosts, &near, &mut draw),
    };
    if chosen.is_empty() {
        chosen = near;
    }
    let missing = MIN_HOSTS.saturating_sub(chosen.len());
    let others = region.into_iter().filter(|i| !chosen.contains(i));
    let others: Vec<usize> = others.take(missing).collect();
    chosen.extend(others);
    if chosen.is_empty() {
        chosen.extend(all.take(MIN_HOSTS));
    }
    chosen
}

/// Whether the other hosts of a failure domain can take the callers of a choked one, as far as their shares
/// say.
#[must_use]
pub fn can_relieve<'a>(
    hosts: impl IntoIterator<Item = PlacedHost<'a>>,
    failure_domain: &str,
) -> bool {
    let near = hosts
        .into_iter()
        .filter(|h| h.failure_domain == failure_domain);
    let near: Vec<PlacedHost<'_>> = near.collect();
    let all: Vec<usize> = (0..near.len()).collect();
    near.len() >= MIN_HOSTS && suffices(&near, &all, &all)
}

/// Returns the hosts with at least half of the greatest capacity, or all if there are too few of them.
fn largest(hosts: &[PlacedHost<'_>], among: &[usize]) -> Vec<usize> {
    let capacity = |i: usize| hosts[i].capacity.requests_per_second();
    let greatest = among.iter().map(|&i| capacity(i)).max().unwrap_or(0);
    let is_large = |&i: &usize| 2 * capacity(i) >= greatest;
    let large: Vec<usize> = among.iter().copied().filter(is_large).collect();
    match large.len() >= MIN_HOSTS {
        true => large,
        false => among.to_vec(),
    }
}

/// Draws which hosts a list names.
fn drawn(hosts: &[PlacedHost<'_>], among: &[usize], mut draw: impl FnMut() -> u8) -> Vec<usize> {
    let is_named = |&i: &usize| draw() < hosts[i].share;
    among.iter().copied().filter(is_named).collect()
}

/// Whether the shares of some hosts leave at least half of what all hosts of `domain` can carry.
fn suffices(hosts: &[PlacedHost<'_>], some: &[usize], domain: &[usize]) -> bool {
    let capacity = |i: usize| hosts[i].capacity.requests_per_second().max(1);
    let share = |i: usize| u64::from(hosts[i].share);
    let left: u64 = some.iter().map(|&i| capacity(i) * share(i)).sum();
    let total: u64 = domain.iter().map(|&i| capacity(i)).sum();
    2 * left >= total * u64::from(FULL_SHARE)
}
