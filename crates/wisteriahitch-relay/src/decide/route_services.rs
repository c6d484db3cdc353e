//! The services that the calls of each route have been sent to.
//!
//! A configuration may move a route to another service, whose endpoints have another software version.
//! A stream that began before the move then belongs to the version of a service that its route no
//! longer names.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use wisteriahitch_types::{KeyHash, ParseIdError, ServiceName, TimeUs};

use crate::site::Route;

/// Context of the hash, which separates it from other hashes of the same bytes.
const CONTEXT: &str = "wisteriahitch route key v1";

/// Identifies a route across configurations by the calls that it handles, since names may change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RouteKey(u64);

impl RouteKey {
    /// Computes the key of a route.
    pub fn of(route: &Route) -> Self {
        Self::of_calls(&route.host, &route.path_prefix)
    }

    fn of_calls(host: &str, path_prefix: &str) -> Self {
        let material = [host.as_bytes(), path_prefix.as_bytes()];
        let key = KeyHash::derive(CONTEXT, &material);
        let [a, b, c, d, e, f, g, h, ..] = *key.as_bytes();
        Self(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }
}

impl fmt::Display for RouteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RouteKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| ParseIdError::BadNumber)
    }
}

/// Whether all calls of a route have been sent to one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoleService {
    /// They have, as far as this daemon knows.
    Yes,
    /// They are or were sent to another one.
    No,
    /// This daemon doesn't know the route.
    Unknown,
}

/// One route of the configuration in force.
#[derive(Debug)]
struct Row {
    route: Arc<Route>,
    /// When its calls were last sent to other services than now; `None` if they never were.
    changed_at_us: Option<TimeUs>,
}

/// Services by route.
#[derive(Debug, Default)]
pub struct RouteServices {
    by_route: HashMap<RouteKey, Row>,
}

impl RouteServices {
    /// Applies the routes of a configuration that comes into force.
    pub fn apply(&mut self, routes: impl IntoIterator<Item = Arc<Route>>, now: TimeUs) {
        let is_first = self.by_route.is_empty();
        let mut replaced = std::mem::take(&mut self.by_route);
        for route in routes {
            let key = RouteKey::of(&route);
            // The calls of a route that is added were those of one with a shorter prefix.
            let changed_at_us = match replaced.remove(&key) {
                Some(old) if has_same_services(&old.route, &route) => old.changed_at_us,
                None if is_first => None,
                Some(_) | None => Some(now),
            };
            let row = Row {
                route,
                changed_at_us,
            };
            self.by_route.insert(key, row);
        }
        for removed in replaced.values() {
            self.take_over_calls(&removed.route, now);
        }
    }

    /// Records that the calls of a route that was removed go to those with shorter prefixes.
    fn take_over_calls(&mut self, removed: &Route, now: TimeUs) {
        let prefix = &removed.path_prefix;
        for (index, _) in prefix.match_indices('/') {
            // Each prefix of a route ends with a slash.
            let shorter = RouteKey::of_calls(&removed.host, &prefix[..=index]);
            if let Some(row) = self.by_route.get_mut(&shorter) {
                row.changed_at_us = Some(now);
            }
        }
    }

    /// Returns whether all calls of a route have been sent to `service` since `since`.
    pub fn sole_service_since(
        &self,
        key: RouteKey,
        service: &ServiceName,
        since: TimeUs,
    ) -> SoleService {
        let Some(row) = self.by_route.get(&key) else {
            return SoleService::Unknown;
        };
        let mut targets = row.route.targets.iter();
        let is_target = targets.all(|(target, _)| target == service);
        let has_changed = row.changed_at_us.is_some_and(|at| at >= since);
        match is_target && !has_changed {
            true => SoleService::Yes,
            false => SoleService::No,
        }
    }
}

/// Returns whether two versions of a route name the same services, whatever their weights.
fn has_same_services(a: &Route, b: &Route) -> bool {
    let names_all = |a: &Route, b: &Route| {
        let mut names = a.targets.iter().map(|(name, _)| name);
        names.all(|name| b.targets.iter().any(|(other, _)| other == name))
    };
    names_all(a, b) && names_all(b, a)
}
