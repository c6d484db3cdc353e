//! Daemons among each other: membership, configuration, leases, orders and draining.
