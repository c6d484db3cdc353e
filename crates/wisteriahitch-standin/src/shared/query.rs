//! Query parameters.

use std::str::FromStr;

use http::Uri;

/// Returns the value of the query parameter `name`, or `None` if it is absent or doesn't parse.
pub(crate) fn get_query<T: FromStr>(uri: &Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    value.parse().ok()
}
