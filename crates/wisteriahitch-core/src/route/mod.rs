//! Where a request runs: candidates, load, cost, admission and retries.
