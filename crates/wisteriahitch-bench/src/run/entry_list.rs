//! The addresses that a workspace's callers use, asked of the system and kept a while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::caller::Caller;

/// Callers of one workspace, each of which keeps an answer of its own.
const CALLERS: usize = 4;

/// How long an answer is kept; the layout's configuration says the same.
const KEPT: Duration = Duration::from_secs(2);

/// Keeps the lists of one workspace's callers.
#[derive(Debug)]
pub(crate) struct EntryList {
    /// Addresses from the settings of the callers, which are asked first.
    seeds: Vec<SocketAddr>,
    lists: Mutex<Vec<Vec<SocketAddr>>>,
}

impl EntryList {
    pub(crate) fn new(seeds: Vec<SocketAddr>) -> Self {
        let lists = Mutex::new(vec![seeds.clone(); CALLERS]);
        Self { seeds, lists }
    }

    /// Returns the addresses that one of the callers tries, in its order.
    pub(crate) fn of_some_caller(&self) -> Vec<SocketAddr> {
        let caller = rand::rng().random_range(0..CALLERS);
        self.lists.lock()[caller].clone()
    }

    /// Asks again whenever an answer has run out, until the task is ended.
    pub(crate) async fn renew(self: Arc<Self>, caller: Caller) {
        loop {
            for number in 0..CALLERS {
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
            tokio::time::sleep(KEPT).await;
        }
    }
}
