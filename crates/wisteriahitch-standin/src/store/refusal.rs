//! Why a store refuses something.

/// Says why the table refuses something.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StoreRefusal {
    Gone,
    Full,
    WrongLength,
}
