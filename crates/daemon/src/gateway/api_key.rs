//! Verifies API keys, at the arrival of a request and again before it is sent to an upstream.

use std::sync::Arc;

use balsamjunction_directory::{ApiKeyOwner, Route, RouteTable};

/// Why an API key is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRejection {
    /// The configuration may be outdated, so that the key may have been revoked or added.
    Outdated,
    /// The key is absent or not assigned to any workspace.
    Unknown,
}

/// Returns the owner of a request's API key; none if the route needs no key and the key has no owner.
///
/// `current` is whether the configuration is fresh enough to accept keys.
pub fn find_owner<'t>(
    table: &'t RouteTable,
    current: bool,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'t Arc<ApiKeyOwner>>, KeyRejection> {
    let owner = key.and_then(|key| table.api_key_owner(key));
    if route.public || !table.requires_api_keys() {
        return Ok(owner);
    }
    match (current, owner) {
        (false, _) => Err(KeyRejection::Outdated),
        (true, None) => Err(KeyRejection::Unknown),
        (true, owner) => Ok(owner),
    }
}

/// Verifies that a request that was admitted for `admitted_for` is still admitted for the same workspace.
///
/// A request with an owner needs a current configuration on every route, since its workspace is stated to the upstream.
/// One that was admitted without an owner may have brought a key that has one now, so its caller may try again.
pub fn verify_again(
    table: &RouteTable,
    current: bool,
    route: &Route,
    key: Option<&str>,
    admitted_for: Option<&ApiKeyOwner>,
) -> Result<(), KeyRejection> {
    let owner = find_owner(table, current, route, key);
    let Some(admitted_for) = admitted_for else {
        return owner.map(|_| ()).map_err(|_| KeyRejection::Outdated);
    };
    let owner = owner?;
    let same = owner.is_some_and(|owner| {
        owner.workspace == admitted_for.workspace
            && owner.allowed_regions == admitted_for.allowed_regions
    });
    match current && same {
        true => Ok(()),
        false => Err(KeyRejection::Outdated),
    }
}
