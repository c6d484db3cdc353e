//! The routing core as the daemon's shell drives it.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use wisteriahitch_types::TimeUs;

use super::{
    Choice, Directory, DirectorySnapshot, EndpointSnapshot, EndpointTable, LinkView, Policy,
    RouteRefusal, RouteRequest, View,
};

/// Parts of the directory that are swept each tick; 256 make it whole.
const SWEEP_SEGMENTS_PER_TICK: usize = 1;

/// Decides where requests run.
///
/// ```
/// use wisteriahitch_config::{Configuration, Endpoint, Service, ServiceKind};
/// use wisteriahitch_core::route::{
///     CostPolicy, EndpointLoad, NoLinks, PieceChain, RouteRequest, Router,
/// };
/// use wisteriahitch_types::{ByteCount, DurationUs, Share, TimeUs, TokenCount};
///
/// let endpoint = Endpoint {
///     id: "till-1".parse()?,
///     address: "127.0.0.1:7001".parse()?,
///     availability_zone: "colombo-a".parse()?,
///     checks_fence: false,
/// };
/// let service = Service {
///     name: "till".parse()?,
///     kind: ServiceKind::Plain,
///     models: vec![],
///     stores: vec![],
///     repeatable: vec![],
///     endpoints: vec![endpoint.clone()],
/// };
/// let mut configuration = Configuration::default();
/// configuration.services.insert(service.name.clone(), service.clone());
///
/// let mut router = Router::new(Box::new(CostPolicy::default()), 7);
/// let now = TimeUs::new(1_000_000);
/// router.endpoints.apply_endpoint_configuration(&configuration, now);
/// router.endpoints.record_report(&endpoint.id, EndpointLoad::default(), now);
///
/// let request = RouteRequest {
///     service: service.name,
///     model: None,
///     adapter: None,
///     weight_version: None,
///     chain: PieceChain::default(),
///     max_tokens: TokenCount::ZERO,
///     first_token_weight: Share::ONE,
///     priority: 5,
///     deadline_us: DurationUs::from_ms(2_000),
///     availability_zone: "colombo-a".parse()?,
///     exclude: vec![],
///     explain: false,
///     bytes_per_token: ByteCount::ZERO,
/// };
/// let choice = router.choose(&request, &NoLinks, now)?;
/// assert_eq!(choice.endpoint, endpoint.id);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Router {
    /// Endpoints: their life and their load.
    pub endpoints: EndpointTable,
    /// Hints of where blocks lie.
    pub directory: Directory,
    policy: Box<dyn Policy>,
    rng: ChaCha8Rng,
}

/// Shows a router, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct RouterSnapshot {
    /// Policy in force.
    pub policy: &'static str,
    /// Endpoints in the order of their names.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Size of the directory.
    pub directory: DirectorySnapshot,
}

impl Router {
    /// Builds a router without endpoints.
    ///
    /// Daemons need different seeds, since equal ones would break ties alike.
    pub fn new(policy: Box<dyn Policy>, seed: u64) -> Self {
        Self {
            endpoints: EndpointTable::default(),
            directory: Directory::default(),
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses where a request runs; the same calls give the same choices.
    ///
    /// # Errors
    ///
    /// A refusal means that the request was not run; see [`RouteRefusal`].
    pub fn choose(
        &mut self,
        request: &RouteRequest,
        links: &dyn LinkView,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal> {
        let view = View {
            endpoints: &self.endpoints,
            directory: &self.directory,
            links,
            random_seed: self.rng.next_u64(),
        };
        self.policy.choose(request, &view, now)
    }

    /// Runs the systems of the tables.
    pub fn tick(&mut self, now: TimeUs) {
        self.endpoints.tick(now);
        for endpoint in std::mem::take(&mut self.endpoints.removed_since_tick) {
            // One that was only moved to another address has been listed anew, or will be.
            if self.endpoints.get_state(&endpoint).is_none() {
                self.directory.remove_endpoint(&endpoint);
            }
        }
        self.directory.sweep(SWEEP_SEGMENTS_PER_TICK);
    }

    /// Shows the whole state.
    pub fn snapshot(&self) -> RouterSnapshot {
        RouterSnapshot {
            policy: self.policy.name(),
            endpoints: self.endpoints.snapshot(),
            directory: self.directory.snapshot(),
        }
    }
}
