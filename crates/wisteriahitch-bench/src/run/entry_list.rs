//! Entry addresses that the callers of a workspace fetch from the system and refresh regularly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::caller::Caller;

/// Simulated callers of one workspace, each with its own list of addresses.
const CALLERS_PER_WORKSPACE: usize = 4;

/// Time after which a list is fetched again; equal to the value in the layout's configuration.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Entry addresses known to each caller of one workspace.
#[derive(Debug)]
pub(crate) struct EntryList {
    /// Configured addresses: used until the first list is fetched, and as a fallback afterwards.
    seeds: Vec<SocketAddr>,
    lists: Mutex<Vec<Vec<SocketAddr>>>,
}

impl EntryList {
    pub(crate) fn new(seeds: Vec<SocketAddr>) -> Self {
        let lists = Mutex::new(vec![seeds.clone(); CALLERS_PER_WORKSPACE]);
        Self { seeds, lists }
    }

    /// Returns the addresses of a caller that is picked at random, in the order to try them.
    pub(crate) fn for_random_caller(&self) -> Vec<SocketAddr> {
        let caller = rand::rng().random_range(0..CALLERS_PER_WORKSPACE);
        self.lists.lock()[caller].clone()
    }

    /// Fetches all lists again at each interval; runs until the task is aborted.
    pub(crate) async fn refresh_forever(self: Arc<Self>, caller: Caller) {
        loop {
            for number in 0..CALLERS_PER_WORKSPACE {
                let known = self.lists.lock()[number].clone();
                let random = self.seeds.choose(&mut rand::rng()).copied();
                for entry in known.first().copied().into_iter().chain(random) {
                    let Ok(listed) = caller.entries(entry).await else {
                        continue;
                    };
                    if !listed.is_empty() {
                        self.lists.lock()[number] = listed;
                        break;
                    }
                }
            }
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    }
}
