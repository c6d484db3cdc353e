//! The router, as the daemon's shell uses it.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use wisteriahitch_types::TimeUs;

use super::{
    Choice, Directory, DirectorySnapshot, EndpointSnapshot, EndpointTable, LinkView, Policy,
    RouteRefusal, RouteRequest, View,
};

/// Number of directory segments that are swept each tick; 256 are a full sweep.
const SWEEP_SEGMENTS_PER_TICK: usize = 1;

/// Chooses where requests run, and holds the state that the choices are based on.
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
    /// State and load of all endpoints.
    pub endpoints: EndpointTable,
    /// Directory of the blocks that endpoints and store VMs hold; its entries are hints.
    pub directory: Directory,
    policy: Box<dyn Policy>,
    rng: ChaCha8Rng,
}

/// Snapshot of a router for the operators' dump.
#[derive(Clone, Debug, Serialize)]
pub struct RouterSnapshot {
    /// Name of the policy.
    pub policy: &'static str,
    /// Endpoints, ordered by id.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Size of the directory.
    pub directory: DirectorySnapshot,
}

impl Router {
    /// Creates a router without endpoints.
    ///
    /// Daemons need different seeds; with the same seed they would break ties alike.
    pub fn new(policy: Box<dyn Policy>, seed: u64) -> Self {
        Self {
            endpoints: EndpointTable::default(),
            directory: Directory::default(),
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses where a request runs. The same sequence of calls gives the same choices.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no endpoint was chosen; the request was not run. See [`RouteRefusal`].
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

    /// Runs the periodic work of the endpoint table and the directory.
    pub fn tick(&mut self, now: TimeUs) {
        self.endpoints.tick(now);
        for endpoint in std::mem::take(&mut self.endpoints.removed_since_tick) {
            // An endpoint that only moved to another address was listed anew, or will be.
            if self.endpoints.get_state(&endpoint).is_none() {
                self.directory.remove_endpoint(&endpoint);
            }
        }
        self.directory.sweep(SWEEP_SEGMENTS_PER_TICK);
    }

    /// Returns a snapshot of the whole state.
    pub fn snapshot(&self) -> RouterSnapshot {
        RouterSnapshot {
            policy: self.policy.name(),
            endpoints: self.endpoints.snapshot(),
            directory: self.directory.snapshot(),
        }
    }
}
