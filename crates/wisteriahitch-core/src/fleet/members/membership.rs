//! The member table and the entry points of membership.

use std::collections::BTreeMap;
use std::net::IpAddr;

use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use wisteriahitch_types::{ConfigVersion, DaemonId, Incarnation, TimeUs};

use super::membership_update_queue::MembershipUpdateQueue;
use super::{
    Member, MemberState, MembershipCommand, MembershipEvent, MembershipSettings, MembershipUpdate,
};

/// Membership view of this daemon. Decides which members to probe and which updates to send.
///
/// Safety never depends on membership: a wrong view makes the fleet slower but never incorrect.
///
/// ```
/// use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
/// use wisteriahitch_core::fleet::{
///     Member, MemberAddresses, MemberState, Membership, MembershipCommand, MembershipEvent,
///     MembershipSettings,
/// };
/// use wisteriahitch_types::{ConfigVersion, Incarnation, TimeUs};
///
/// let addresses = MemberAddresses {
///     caller: "127.0.0.1:1".parse()?,
///     peer: "127.0.0.1:2".parse()?,
///     operator: "127.0.0.1:3".parse()?,
/// };
/// let me = Member {
///     daemon: "entry-1".parse()?,
///     incarnation: Incarnation::new(7),
///     update_number: 1,
///     state: MemberState::Alive,
///     addresses,
///     availability_zone: "colombo-a".parse()?,
///     config_version: ConfigVersion::new(0),
///     load_permille: 0,
///     changed_at_us: TimeUs::ZERO,
///     is_vm_leaving: false,
/// };
/// let settings = MembershipSettings {
///     seeds: vec!["127.0.0.1:12".parse()?],
///     ..MembershipSettings::default()
/// };
/// let mut members = Membership::new(settings, me, ChaCha8Rng::seed_from_u64(1));
/// let commands = members.handle(MembershipEvent::Tick, TimeUs::ZERO);
/// assert!(matches!(commands[0], MembershipCommand::Probe { .. }));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Serialize)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    /// Incarnation of this daemon.
    pub(super) me: Incarnation,
    /// All known members, including this daemon, and dead and departed members until they expire.
    pub(super) members: BTreeMap<Incarnation, Member>,
    #[serde(rename = "queue")]
    pub(super) update_queue: MembershipUpdateQueue,
    /// Number of probe rounds since the start.
    pub(super) rounds: u64,
    pub(super) next_round_at_us: TimeUs,
    /// Members still to be probed in the current shuffled order; probed from the end.
    pub(super) probe_order: Vec<Incarnation>,
    /// Members whose direct probe failed, with the number of peers that have not yet answered the
    /// request for an indirect probe.
    #[serde(rename = "indirect")]
    pub(super) pending_indirect_probes: BTreeMap<Incarnation, usize>,
    /// VMs of the platform's list, with whether each is leaving.
    pub(super) vm_addresses: BTreeMap<IpAddr, bool>,
    /// Index of the next rediscovery address to probe, modulo their number.
    #[serde(rename = "lost_turn")]
    pub(super) next_rediscovery_index: usize,
    /// Bytes of updates sent since the start of the round.
    #[serde(rename = "round_news_bytes")]
    pub(super) round_update_bytes: usize,
    /// Last incarnation received by the sync of the member list; `None` if no sync is in progress.
    pub(super) sync_after: Option<Incarnation>,
    /// Whether this daemon has served a page of the member list in this round.
    pub(super) is_sync_served: bool,
    /// Load in the last update that was published because of a load change.
    #[serde(rename = "told_load_permille")]
    pub(super) published_load_permille: u32,
    #[serde(rename = "told_load_at_us")]
    pub(super) load_published_at_us: TimeUs,
    #[serde(skip)]
    pub(super) rng: ChaCha8Rng,
}

impl Membership {
    /// Creates a view that contains only `me`. `rng` selects the members to probe.
    pub fn new(settings: MembershipSettings, me: Member, rng: ChaCha8Rng) -> Self {
        let incarnation = me.incarnation;
        let mut update_queue = MembershipUpdateQueue::default();
        update_queue.push(incarnation);
        Self {
            settings,
            me: incarnation,
            members: BTreeMap::from([(incarnation, me)]),
            update_queue,
            rounds: 0,
            next_round_at_us: TimeUs::ZERO,
            probe_order: Vec::new(),
            pending_indirect_probes: BTreeMap::new(),
            vm_addresses: BTreeMap::new(),
            next_rediscovery_index: 0,
            round_update_bytes: 0,
            sync_after: Some(Incarnation::new(0)),
            is_sync_served: false,
            published_load_permille: 0,
            load_published_at_us: TimeUs::ZERO,
            rng,
        }
    }

    /// Processes an event at time `now` and returns the actions to perform.
    pub fn handle(&mut self, event: MembershipEvent, now: TimeUs) -> Vec<MembershipCommand> {
        let mut commands = Vec::new();
        match event {
            MembershipEvent::Tick => self.tick(now, &mut commands),
            MembershipEvent::ProbeAnswered {
                address,
                meant_for,
                answered_by,
                updates,
            } => {
                self.apply_updates(&updates, Some(answered_by), now, &mut commands);
                self.handle_probe_answer(address, meant_for, answered_by, now, &mut commands);
                self.advance_sync(&updates);
            }
            MembershipEvent::ProbeFailed { meant_for } => {
                self.handle_probe_failure(meant_for, now, &mut commands);
            }
            MembershipEvent::IndirectAnswered {
                target,
                is_reached,
                updates,
            } => {
                self.apply_updates(&updates, None, now, &mut commands);
                self.handle_indirect_answer(target, is_reached, now, &mut commands);
            }
            MembershipEvent::VmList(vms) => self.apply_vm_list(&vms),
            MembershipEvent::Load(permille) => self.record_load(permille, now),
            MembershipEvent::ConfigApplied(version) => self.record_config_version(version),
            MembershipEvent::Drain => {
                self.announce_state(MemberState::Draining, now, &mut commands)
            }
            MembershipEvent::Leave => self.announce_state(MemberState::Left, now, &mut commands),
        }
        commands
    }

    /// Applies the updates of a probe from `sender` and returns the updates to answer with.
    ///
    /// With `sync_after` the sender requests the page of the member list that follows this
    /// incarnation. At most one page is served per probe round, so that many starting daemons
    /// cannot use up the byte budget.
    pub fn answer_probe(
        &mut self,
        sender: Incarnation,
        updates: &[MembershipUpdate],
        sync_after: Option<Incarnation>,
        now: TimeUs,
    ) -> (Vec<MembershipUpdate>, Vec<MembershipCommand>) {
        let mut commands = Vec::new();
        self.apply_updates(updates, Some(sender), now, &mut commands);
        let reply = match sync_after {
            Some(after) if self.can_serve_sync() => self.build_sync_page(after),
            _ => self.select_updates(Some(sender)),
        };
        (reply, commands)
    }

    /// Returns this daemon's own entry as it is published to the others.
    pub fn me(&self) -> &Member {
        &self.members[&self.me]
    }

    /// Returns a member by its incarnation, including dead and departed members.
    pub fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    /// Returns the present incarnation of a daemon, or `None` if none is known.
    pub fn by_daemon(&self, daemon: &DaemonId) -> Option<&Member> {
        self.present().find(|member| member.daemon == *daemon)
    }

    /// Returns all members in the order of their incarnations, including dead and departed members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members that are neither dead nor departed, including this daemon.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state.is_present())
    }

    /// Returns the present members without this daemon.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        let me = self.me;
        self.present()
            .filter(move |member| member.incarnation != me)
    }

    /// Returns the members that share work: alive and not on a leaving VM, including this daemon.
    pub fn workers(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.accepts_callers())
    }

    /// Returns the highest configuration version that any present peer is known to have in force.
    pub fn highest_peer_config(&self) -> Option<ConfigVersion> {
        self.peers().map(|member| member.config_version).max()
    }
}
