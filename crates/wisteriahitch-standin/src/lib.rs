//! Stand-ins for the platform, engines, services and stores, for development only.
