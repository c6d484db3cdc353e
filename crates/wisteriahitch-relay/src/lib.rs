//! Routes callers' opaque calls and streams to endpoints that a platform registers.
//!
//! `decide` makes the decisions and does no input or output. `shell` carries them out over the
//! network. The traits of `border` hide the wire formats of a site, so that an adapter can be
//! plugged in. `docs/design/platform.md` follows a call through the modules.

mod border;
mod clock;
mod decide;
mod observe;
mod settings;
mod shell;
mod site;

pub use border::{
    AnswerHead, CallCodec, CallHead, DecodeError, EndpointIdentity, EngineControl, EngineReport,
    ExcessQueue, OrderOutcome, OrderPermit, OutgoingCall, PartChanges, PartEvent, PartListing,
    PartStoreControl, Refusal, SiteCodec, Statement, StoredPart, WeightOrder,
};
pub use clock::BootClock;
pub use decide::answer_progress::{AnswerProgress, WritingTime};
pub use decide::answer_schedule::{AnswerSchedule, Serving};
pub use decide::backlog::{Load, LoadReport};
pub use decide::blocked_attributes::{CallAdmission, TrialUpdate};
pub use decide::brittle_services::{BrittleSection, BrittleServices, BrittleUpdate};
pub use decide::call_work::{CallWork, WorkRates};
pub use decide::caller_pause::CallerPauses;
pub use decide::cold_limit::ColdState;
pub use decide::crash_evidence::{
    BrokenCall, BrokenCallVerdict, ConnectFailure, CrashEvidence, Liveness,
};
pub use decide::drain_admission::{CallDuration, DrainAdmission};
pub use decide::endpoint_admission::{Admission, CallPermits, LimitCause, ServiceColdLimit};
pub use decide::endpoint_links::{ConnectionPath, EndpointLinks, LinkChange};
pub use decide::endpoint_pace::{EndpointPace, WorkPercent, reported_factor};
pub use decide::endpoint_round::{EndpointRound, RoundPeer, RoundScope, RoundTarget};
pub use decide::endpoint_row::{EndpointRow, EndpointState};
pub use decide::endpoint_statements::EndpointStatements;
pub use decide::endpoint_table::{EndpointChange, EndpointTable, Registration};
pub use decide::engine_rates::{EngineRates, PaceLesson, ServicePace};
pub use decide::evacuated_zones::{EvacuatedZones, ZoneChange};
pub use decide::first_event_fit::{FirstEventFit, FirstEventRates, FirstEventWork};
pub use decide::forwarders::{Forwarders, RefusalReason};
pub use decide::gossip_message::{
    BlockedUpdate, ClearedUpdate, CrashUpdate, EndpointUpdate, GossipMessage, KindUpdate,
    LimitUpdate, MemberPhase, MemberUpdate, MembershipUpdate, PartUpdate, StoreUpdate,
    StoredPartUpdate, SuspectUpdate,
};
pub use decide::gossip_schedule::GossipSchedule;
pub use decide::hint_accuracy::HintAccuracy;
pub use decide::hubs::{HubCandidate, HubPlan};
pub use decide::link_slowdowns::LinkSlowdowns;
pub use decide::member_rows::{EntryPoint, MemberReport, PeerRow};
pub use decide::member_updates::{ReportReceiver, add_member_updates};
pub use decide::members::{PeerTable, ReceiveOutcome};
pub use decide::message_delay::MessageDelay;
pub use decide::message_sections::{MessageSections, SectionContent, SectionError};
pub use decide::named_limit::{LimitNotice, LimitOutcome, NamedLimit, StatedLimit};
pub use decide::object_sources::{HEARD_SOURCE_BACKOFF_US, ObjectSources, StoreAnswer};
pub use decide::outlier::{OutlierDetector, OutlierOptions};
pub use decide::overload::{UrgencyLevel, UrgencyLevels};
pub use decide::part_stores::{FreeOrder, PartStores, StoreFetch};
pub use decide::parts::{CachedPart, EngineMemory, PartCache, PartKey, PartKeyHasher};
pub use decide::permit_shares::{MinorityShare, PermitShare, PermitShares, ViewObservation};
pub use decide::placement::{Placement, place};
pub use decide::placement_candidate::MainFetch;
pub use decide::placement_request::PlacementRequest;
pub use decide::promised_room::PromisedRoom;
pub use decide::rate_limit::{RateBound, RateLimit, ReservedPermits};
pub use decide::rates_section::{FirstEventUpdate, RatesSection, RatesUpdate};
pub use decide::recent_durations::RecentDurations;
pub use decide::registration_listing::registration_listing_interval;
pub use decide::retry_lending::{LendingBudget, RetrySearch, is_usable};
pub use decide::retry_share::max_saved_retries;
pub use decide::rollout::{Rollout, RolloutRow, RolloutStep};
pub use decide::rollout_concurrency::{ConcurrencyOptions, Overrun, Remaining, RolloutConcurrency};
pub use decide::room_lending::{
    EndpointRoom, LoanEnd, LoanId, RoomLender, RoomRequest, room_lender,
};
pub use decide::route_services::{RouteKey, RouteServices, SoleService};
pub use decide::service_capacity::service_capacity;
pub use decide::staleness::{QueryRank, StalenessLimits, answered_as_of};
pub use decide::store_outages::{AbsenceCause, StoreOutages};
pub use decide::store_retry::{BACKOFF_JITTER, store_retry_backoff};
pub use decide::stream_events::{EventFramer, FramedEvents, FramingError};
pub use decide::stream_size::{StreamSize, StreamTooLarge};
pub use decide::stream_versions::{
    OriginAnswer, OriginSource, RecordError, StreamKey, StreamOrigin, StreamRecord, StreamVersions,
    UnknownOrigin, find_origin,
};
pub use decide::suspects::{BlockChanges, CRASHES_TO_BLOCK, Crash, NewBlock, SuspectTable};
pub use decide::timely_answers::{ProcessActivity, WatchAnswer};
pub use decide::unread_orders::UnreadOrders;
pub use decide::wanted_weights::{OldWeightsLimits, WantedFreshness, WantedVersions};
pub use decide::water_level::{RankDemand, WorkspaceDemand};
pub use decide::work_report::{RankWork, WorkReport};
pub use decide::work_shares::{AskedCall, ServiceCapacity, ShareRefusal, WorkShares, rank};
pub use observe::{BoundedLabel, CallEnded, Event, EventLog, FreedModel, LogBudget, ProcessUsage};
pub use settings::{
    BoundSettings, Bounds, LoadManagement, LoadManagementError, RelaySettings, SettingsError,
};
pub use shell::daemon::{Borders, Daemon};
pub use shell::peer_client::PEER_REQUEST_TIMEOUT;
pub use shell::peers::GOSSIP_INTERVAL;
pub use shell::watch::ENDPOINT_CHANGES_DEBOUNCE;
pub use site::{
    AllowedZones, CallAttribute, CallAttributes, CallKind, CallerLimits, ColdStartSpec, Endpoint,
    EngineSpec, ModelWeights, PartStore, PromptPart, PromptShape, RegionMap, RequestFingerprint,
    Route, RouteTable, Service, SharedPart, SiteConfig, WantedWeights, Workspace,
};
