//! Command line: one subcommand for each stand-in.

use std::net::SocketAddr;

use wisteriahitch_standin::engine::{EngineOptions, LoadedModel};
use wisteriahitch_standin::platform::PlatformOptions;
use wisteriahitch_standin::service::ServiceOptions;
use wisteriahitch_standin::store::StoreOptions;
use wisteriahitch_types::{
    AdapterName, ByteCount, ByteRate, DurationUs, EndpointId, TokenCount, TokenRate,
};
use wisteriahitch_wire::platform::CallRate;

xflags::xflags! {
    /// Stand-ins for the systems around wisteriahitch, for development only.
    cmd wisteriahitch-standin {
        /// Loopback address to serve; port 0 picks a free port.
        optional --listen address: SocketAddr

        /// Serves the platform's object API and its delayed list of VMs.
        cmd platform {
            /// Delay before a new VM list becomes visible, in milliseconds.
            optional --vm-lag-ms ms: u64
            /// Maximum rate of writes, per second.
            optional --writes-per-s rate: CallRate
            /// Maximum rate of reads and watches, per second.
            optional --reads-per-s rate: CallRate
        }

        /// Serves a plain service that counts how often each request ran.
        cmd service {
            /// How long a request runs, in milliseconds.
            optional --work-ms ms: u64
            /// Maximum number of requests that run at once.
            optional --slots count: usize
        }

        /// Serves a model engine whose answers callers can compute themselves.
        cmd engine {
            /// Name of the endpoint, included in the first line of output.
            optional --id id: EndpointId
            /// Model that is loaded at the start, such as hist-7b@v1.
            repeated --model model: LoadedModel
            /// Adapter that is loaded for each of these models.
            repeated --adapter adapter: AdapterName
            /// Role at the start.
            optional --role role: String
            /// Prompt tokens that are prefilled before a request of higher priority may preempt.
            optional --piece-tokens count: TokenCount
            /// Length of the KV cache of one token, in bytes.
            optional --kv-bytes-per-token bytes: u64
            /// Rate at which prompts are prefilled, shared by all requests.
            optional --prefill-tokens-per-s rate: TokenRate
            /// Time between two tokens of one answer, in microseconds.
            optional --decode-us-per-token us: DurationUs
            /// Maximum number of requests that run at once.
            optional --batch-slots count: u64
            /// Capacity of the prefix cache, in tokens.
            optional --kv-capacity-tokens count: TokenCount
            /// Interval between load reports, in milliseconds; zero measures each one afresh.
            optional --load-lag-ms ms: u64
            /// Delay before a cache event is published, in milliseconds.
            optional --event-lag-ms ms: u64
            /// Maximum number of cache events that are retained.
            optional --event-keep count: usize
            /// Refuses orders with an old fencing number.
            optional --checks-fence
            /// Time to load a version of a model, in milliseconds.
            optional --load-model-ms ms: u64
            /// Seed of the incarnation's name; without it, or with zero, the name is random.
            optional --seed seed: u64
        }

        /// Serves a store VM with memory and disk behind one link of limited rate.
        cmd store {
            /// Capacity of the memory tier, in bytes.
            optional --memory-bytes bytes: ByteCount
            /// Capacity of the disk tier, in bytes.
            optional --disk-bytes bytes: ByteCount
            /// Rate of the link, in bytes per second.
            optional --link-bytes-per-s rate: ByteRate
            /// Time after which a pin expires, in milliseconds.
            optional --pin-timeout-ms ms: u64
            /// Time after which a reservation expires unless its write has begun, in milliseconds.
            optional --reserve-timeout-ms ms: u64
        }
    }
}

impl Platform {
    pub(crate) fn into_options(self, listen: Option<SocketAddr>) -> PlatformOptions {
        let default = PlatformOptions::default();
        PlatformOptions {
            listen: listen.unwrap_or(default.listen),
            vm_lag_us: self
                .vm_lag_ms
                .map_or(default.vm_lag_us, DurationUs::from_ms),
            writes_per_s: self.writes_per_s.unwrap_or(default.writes_per_s),
            reads_per_s: self.reads_per_s.unwrap_or(default.reads_per_s),
        }
    }
}

impl Service {
    pub(crate) fn into_options(self, listen: Option<SocketAddr>) -> ServiceOptions {
        let default = ServiceOptions::default();
        ServiceOptions {
            listen: listen.unwrap_or(default.listen),
            run_time_us: self
                .work_ms
                .map_or(default.run_time_us, DurationUs::from_ms),
            slots: self.slots.unwrap_or(default.slots),
        }
    }
}

impl Engine {
    pub(crate) fn into_options(self, listen: Option<SocketAddr>) -> EngineOptions {
        let default = EngineOptions::default();
        let from_ms = |ms: Option<u64>, default| ms.map_or(default, DurationUs::from_ms);
        EngineOptions {
            listen: listen.unwrap_or(default.listen),
            id: self.id,
            models: self.model,
            adapters: self.adapter,
            role: self.role.unwrap_or(default.role),
            piece_tokens: self.piece_tokens.unwrap_or(default.piece_tokens),
            kv_bytes_per_token: self
                .kv_bytes_per_token
                .unwrap_or(default.kv_bytes_per_token),
            prefill_tokens_per_s: self
                .prefill_tokens_per_s
                .unwrap_or(default.prefill_tokens_per_s),
            decode_us_per_token: self
                .decode_us_per_token
                .unwrap_or(default.decode_us_per_token),
            batch_slots: self.batch_slots.unwrap_or(default.batch_slots),
            kv_capacity_tokens: self
                .kv_capacity_tokens
                .unwrap_or(default.kv_capacity_tokens),
            load_lag_us: from_ms(self.load_lag_ms, default.load_lag_us),
            event_lag_us: from_ms(self.event_lag_ms, default.event_lag_us),
            max_retained_events: self.event_keep.unwrap_or(default.max_retained_events),
            checks_fence: self.checks_fence,
            load_model_us: from_ms(self.load_model_ms, default.load_model_us),
            seed: self.seed.unwrap_or(default.seed),
        }
    }
}

impl Store {
    pub(crate) fn into_options(self, listen: Option<SocketAddr>) -> StoreOptions {
        let default = StoreOptions::default();
        let from_ms = |ms: Option<u64>, default| ms.map_or(default, DurationUs::from_ms);
        StoreOptions {
            listen: listen.unwrap_or(default.listen),
            memory_bytes: self.memory_bytes.unwrap_or(default.memory_bytes),
            disk_bytes: self.disk_bytes.unwrap_or(default.disk_bytes),
            link_bytes_per_s: self.link_bytes_per_s.unwrap_or(default.link_bytes_per_s),
            pin_timeout_us: from_ms(self.pin_timeout_ms, default.pin_timeout_us),
            reserve_timeout_us: from_ms(self.reserve_timeout_ms, default.reserve_timeout_us),
        }
    }
}
