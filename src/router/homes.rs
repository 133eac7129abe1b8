//! Regions that a route or a client account binds its requests to.

use std::rc::Rc;

use super::table::{Account, Route};

/// The region of each data centre, sorted by data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(Vec<(Rc<str>, Rc<str>)>);

impl Regions {
    /// Creates the map from pairs of a data centre and its region.
    #[must_use]
    pub fn new(mut regions: Vec<(Rc<str>, Rc<str>)>) -> Self {
        regions.sort();
        Self(regions)
    }

    /// Returns the region of a data centre, if it is known.
    #[must_use]
    pub fn region(&self, data_centre: &str) -> Option<&Rc<str>> {
        let found = (self.0).binary_search_by(|(name, _)| name.as_ref().cmp(data_centre));
        found.ok().map(|at| &self.0[at].1)
    }
}

/// Returns whether a request may be sent to a data centre: if the route or the account has home regions, the data centre must be
/// in one of them, and where both have some, in one of each. A data centre whose region is unknown is in none.
#[must_use]
pub fn is_home(
    route: &Route,
    account: Option<&Account>,
    regions: &Regions,
    data_centre: &str,
) -> bool {
    let account_homes = account.map_or(&[][..], |a| &a.homes);
    [&route.homes[..], account_homes].iter().all(|homes| {
        let region = regions.region(data_centre);
        homes.is_empty() || region.is_some_and(|region| homes.contains(region))
    })
}
