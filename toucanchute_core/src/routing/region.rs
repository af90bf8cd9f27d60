use std::collections::BTreeSet;

/// Regions in which a request may run.
///
/// ```
/// use toucanchute_core::routing::RegionNeed;
///
/// let (north, south) = ("north".to_owned(), "south".to_owned());
/// let need = RegionNeed::of(&[north.clone(), south], &[north]);
/// assert!(need.admits(Some("north")));
/// assert!(!need.admits(Some("south")));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RegionNeed {
    /// Any region, also an unknown one.
    #[default]
    Any,
    /// These regions only; none of them may be left.
    Within(BTreeSet<String>),
}

impl RegionNeed {
    /// Returns the need of a request whose route and customer allow these regions. An empty list allows
    /// all of them; where both name some, both bind.
    #[must_use]
    pub fn of(route: &[String], customer: &[String]) -> RegionNeed {
        match (route, customer) {
            ([], []) => RegionNeed::Any,
            (regions, []) | ([], regions) => RegionNeed::Within(regions.iter().cloned().collect()),
            (route, customer) => {
                let common = route.iter().filter(|r| customer.contains(r));
                RegionNeed::Within(common.cloned().collect())
            }
        }
    }

    /// Whether a backend server in `region` may run the request.
    #[must_use]
    pub fn admits(&self, region: Option<&str>) -> bool {
        match self {
            RegionNeed::Any => true,
            RegionNeed::Within(regions) => region.is_some_and(|r| regions.contains(r)),
        }
    }
}
