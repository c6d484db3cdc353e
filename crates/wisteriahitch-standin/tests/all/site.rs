use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};
use wisteriahitch_standin::engine::{
    AnswerSource, EngineControl, EngineCounters, EngineFault, EngineOptions, EngineStandin,
};
use wisteriahitch_standin::store::{
    StoreControl, StoreCounters, StoreFault, StoreOptions, StoreStandin,
};
use wisteriahitch_types::{
    AttemptNumber, BlockKey, ByteCount, DurationUs, TokenCount, TokenRate, WeightVersion,
};
use wisteriahitch_wire::engine::{
    BlockRef, CompletionHead, CompletionRequest, Engine, EngineError, HttpEngine, LoadReport,
    Token, TokenStream,
};
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};
use wisteriahitch_wire::store::HttpStore;

/// Timeout of [`eventually`], far above the time that any state takes to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: DurationUs = DurationUs::from_ms(30_000);

pub(crate) const PIECE: TokenCount = TokenCount::new(10);

pub(crate) fn key(number: u8) -> BlockKey {
    BlockKey::from_bytes([number; 16])
}

pub(crate) fn version(name: &str) -> WeightVersion {
    name.parse().unwrap()
}

/// Returns options for an engine that has `hist-7b@v1` loaded and adds no noticeable delays.
pub(crate) fn fast_engine() -> EngineOptions {
    EngineOptions {
        models: vec!["hist-7b@v1".parse().unwrap()],
        adapters: vec!["parts".parse().unwrap()],
        piece_tokens: PIECE,
        prefill_tokens_per_s: TokenRate::new(1_000_000),
        decode_us_per_token: DurationUs::new(100),
        load_lag_us: DurationUs::ZERO,
        event_lag_us: DurationUs::ZERO,
        load_model_us: DurationUs::from_ms(20),
        ..EngineOptions::default()
    }
}

/// Builds a request whose prompt consists of one block for each of `keys`, then one more word.
pub(crate) fn request(id: &str, keys: &[u8]) -> CompletionRequest {
    let words: Vec<String> = keys
        .iter()
        .map(|key| format!("k{key} ").repeat(10))
        .collect();
    CompletionRequest {
        request_id: id.parse().unwrap(),
        attempt: AttemptNumber::new(1),
        model: "hist-7b".parse().unwrap(),
        adapter: None,
        weight_version: version("v1"),
        prompt: format!("{}end", words.concat()),
        max_tokens: TokenCount::new(4),
        priority: 3,
        position: 0,
        blocks: chain(keys),
    }
}

/// Builds a request that occupies its batch slot until it is cancelled.
pub(crate) fn endless_request(id: &str) -> CompletionRequest {
    CompletionRequest {
        max_tokens: TokenCount::new(u64::MAX),
        ..request(id, &[])
    }
}

fn chain(keys: &[u8]) -> Vec<BlockRef> {
    let to_block = |number: &u8| BlockRef {
        key: key(*number),
        tokens: PIECE,
    };
    keys.iter().map(to_block).collect()
}

/// Returns the texts of the tokens that the engine must answer with.
pub(crate) fn expected_texts(request: &CompletionRequest) -> Vec<String> {
    let adapter = request.adapter.as_ref();
    let version = &request.weight_version;
    let source = AnswerSource::new(&request.prompt, &request.model, adapter, version);
    let positions = request.position..request.max_tokens.get();
    positions.map(|position| source.token(position)).collect()
}

/// Polls `check` until it returns `Some`; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn eventually<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            sleep(Duration::from_millis(2)).await;
        }
    };
    let Ok(found) = timeout(WAIT_TIMEOUT, wait).await else {
        panic!("timed out after {WAIT_TIMEOUT:?} waiting until {what}");
    };
    found
}

/// One engine and one store, with clients of both.
pub(crate) struct Site {
    engine_standin: EngineStandin,
    store_standin: StoreStandin,
    pub(crate) engine: HttpEngine,
    pub(crate) store: HttpStore,
    pub(crate) http: HttpClient,
}

impl Site {
    pub(crate) async fn start(engine: EngineOptions, store: StoreOptions) -> Self {
        let http = HttpClient::new(HttpClientOptions::default());
        Self {
            engine_standin: EngineStandin::start(engine).await.unwrap(),
            store_standin: StoreStandin::start(store).await.unwrap(),
            engine: HttpEngine::new(http.clone()),
            store: HttpStore::new(http.clone()),
            http,
        }
    }

    pub(crate) async fn start_engine(options: EngineOptions) -> Self {
        Self::start(options, StoreOptions::default()).await
    }

    pub(crate) async fn start_store(options: StoreOptions) -> Self {
        Self::start(fast_engine(), options).await
    }

    pub(crate) fn engine_address(&self) -> SocketAddr {
        self.engine_standin.address()
    }

    pub(crate) fn store_address(&self) -> SocketAddr {
        self.store_standin.address()
    }

    pub(crate) fn store_standin(&self) -> &StoreStandin {
        &self.store_standin
    }

    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Response<Bytes> {
        let request = Request::builder().method(method).uri(path);
        let request = request.body(body.into()).unwrap();
        let answer = self
            .http
            .fetch(address, request, CALL_TIMEOUT, ByteCount::MAX);
        answer.await.unwrap()
    }

    pub(crate) async fn start_run(
        &self,
        request: CompletionRequest,
    ) -> Result<(CompletionHead, TokenStream), EngineError> {
        let address = self.engine_address();
        self.engine.complete(address, request, CALL_TIMEOUT).await
    }

    /// Runs a request to its end and returns all its tokens.
    pub(crate) async fn complete(
        &self,
        request: CompletionRequest,
    ) -> (CompletionHead, Vec<Token>) {
        let (head, tokens) = self.start_run(request).await.unwrap();
        (head, tokens.map(Result::unwrap).collect().await)
    }

    /// Runs a request with `keys` and returns the number of its tokens that were cached.
    pub(crate) async fn visit(&self, id: &str, keys: &[u8]) -> u64 {
        let (head, _) = self.complete(request(id, keys)).await;
        head.cached_tokens.get()
    }

    pub(crate) async fn load(&self) -> LoadReport {
        self.engine.load(self.engine_address()).await.unwrap()
    }

    pub(crate) async fn cached_keys(&self) -> Vec<BlockKey> {
        let listing = self.engine.cache_listing(self.engine_address());
        listing.await.unwrap().keys
    }

    pub(crate) async fn engine_fault(&self, fault: EngineFault, count: Option<u64>) {
        let control = EngineControl {
            fault: Some(fault),
            count,
            leaving: None,
        };
        self.control(self.engine_address(), &control).await;
    }

    pub(crate) async fn store_fault(&self, fault: StoreFault) {
        let control = StoreControl {
            fault: Some(fault),
            leaving: None,
        };
        self.control(self.store_address(), &control).await;
    }

    pub(crate) async fn control(&self, address: SocketAddr, control: &impl Serialize) {
        let body = serde_json::to_vec(control).unwrap();
        let answer = self.call(address, Method::POST, "/control", body).await;
        assert!(answer.status().is_success(), "{answer:?}");
    }

    pub(crate) async fn engine_counters(&self) -> EngineCounters {
        self.counters(self.engine_address()).await
    }

    pub(crate) async fn store_counters(&self) -> StoreCounters {
        self.counters(self.store_address()).await
    }

    async fn counters<T: DeserializeOwned>(&self, address: SocketAddr) -> T {
        let answer = self.call(address, Method::GET, "/control", "").await;
        serde_json::from_slice(answer.body()).unwrap()
    }
}
