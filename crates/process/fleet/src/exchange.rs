//! The gossip protocol: selects peers, builds messages and merges the answers.
//!
//! In each round a host picks one peer and both send each other their updates.
//! The cost for a host therefore depends on the rate of changes, not on the
//! number of hosts. Time and random numbers are passed in, and the caller sends
//! the messages.

use {
    crate::{
        budget::{Budget, Purpose},
        table::{group_of, GROUPS},
        update_queue::UpdateQueue,
        Entry, Fact, FactKey, Facts, GroupId, Liveness, Member, MergeOutcome, Message, Progress,
        Table, Update, WireMessage,
    },
    rand::{
        rngs::StdRng,
        seq::{IndexedRandom, SliceRandom},
        Rng,
    },
    record::{HostId, RegionId, Revision},
    std::{
        collections::HashSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Pause between two exchanges that a host initiates.
pub const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Pause between the rounds of a host that has just started.
const JOIN_PAUSE: Duration = Duration::from_millis(100);
/// Share of the rounds that stay in the host's own region.
const OWN_REGION_SHARE: f64 = 0.75;
/// Share of the rounds that contact a host that may be gone, or a seed.
const RETRY_SHARE: f64 = 0.06;
/// Rounds in which a host that has just started requests whole groups.
const JOIN_ROUNDS: u32 = 16;
/// Maximum size of the entries and facts in a message, in bytes.
const MAX_UPDATE_BYTES: usize = 4_096;
/// Maximum size of the whole groups sent to a host that joins, in bytes.
const MAX_JOIN_BYTES: usize = 16_384;
/// Number of random groups reported in every request, whether or not they changed.
const SAMPLED_GROUPS: usize = 3;
/// Bytes of the budget that whole groups leave for updates.
const REPAIR_RESERVE_BYTES: usize = 8_192;
/// Time for which a group is reported after the revision of one of its hosts changed.
const REPORT_TIME: Duration = Duration::from_secs(4);
/// Overhead of the call for each message, in bytes, averaged over both directions.
const CALL_OVERHEAD_BYTES: usize = 260;
/// Size of an entry or a fact without its strings, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 70;

/// An exchange that a host initiates.
#[derive(Clone, Debug)]
pub struct OutgoingExchange {
    /// Address of the peer.
    pub addr: SocketAddr,
    /// Name of the peer, if known.
    pub id: Option<HostId>,
    /// Message to send.
    pub message: Message,
    sent_updates: Vec<Update>,
}

/// Changes from an exchange that concern other components of the host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExchangeChanges {
    /// New facts.
    pub facts: Vec<Fact>,
    /// Revision that the peer has in force.
    pub revision: Revision,
    /// Whether any entry has changed.
    pub members_changed: bool,
}

/// The state of the exchange on one host.
#[derive(Debug)]
pub struct Exchange {
    table: Table,
    facts: Facts,
    updates: UpdateQueue,
    budget: Budget,
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    revision: Revision,
    join_rounds_left: u32,
    report_until: [Instant; GROUPS],
}

impl Exchange {
    /// Creates the state of a host that has just started.
    pub fn new(own: Entry, rng: StdRng, now: Instant) -> Self {
        Self {
            table: Table::new(own, now),
            facts: Facts::default(),
            updates: UpdateQueue::default(),
            budget: Budget::new(now),
            rng,
            seeds: Vec::new(),
            revision: 0,
            join_rounds_left: JOIN_ROUNDS,
            report_until: [now; GROUPS],
        }
    }

    /// Replaces the addresses used to discover peers.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) {
        let own = self.table.own().member.peer_addr;
        seeds.retain(|seed| *seed != own);
        self.seeds = seeds;
    }

    /// Sets the revision that this host has in force.
    pub fn set_revision(&mut self, revision: Revision, now: Instant) {
        self.revision = revision;
        let own_id = self.table.own().member.id.clone();
        self.note_revision(&own_id, revision, now);
    }

    fn note_revision(&mut self, id: &str, revision: Revision, now: Instant) {
        if self.table.note_revision(id, revision) {
            self.report_until[group_of(id)] = now + REPORT_TIME;
        }
    }

    /// Adds a fact to share with peers; returns whether it was new.
    pub fn add_fact(&mut self, fact: Fact, now: Instant) -> bool {
        let key = fact.key.clone();
        let is_new = self.facts.merge(fact, now);
        if is_new {
            self.updates.add(Update::Fact(key));
        }
        is_new
    }

    /// Returns a fact that has not expired.
    pub fn fact(&self, key: &FactKey, now: Instant) -> Option<Fact> {
        self.facts.get(key, now)
    }

    /// Marks this host as draining.
    pub fn drain(&mut self, now: Instant) {
        self.table.change_own(now, |own| own.is_draining = true);
    }

    /// Marks this host as departed.
    pub fn leave(&mut self, now: Instant) {
        self.table
            .change_own(now, |own| own.standing = Liveness::Left);
    }

    /// Suspects a host that did not answer; returns whether its standing changed.
    pub fn on_no_response(&mut self, id: &str, now: Instant) -> bool {
        let is_new = self.table.suspect(id, now);
        if is_new {
            self.updates.add(Update::Member(id.to_owned()));
        }
        is_new
    }

    /// Returns the pause until the next round.
    pub fn next_round_delay(&self) -> Duration {
        if self.join_rounds_left > 0 {
            JOIN_PAUSE
        } else {
            ROUND_PAUSE
        }
    }

    /// Returns the table of hosts.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the hosts that accept requests.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        self.table.members(now)
    }

    /// Returns how many members have a revision in force.
    pub fn progress(&self, revision: Revision, now: Instant) -> Progress {
        self.table.progress(revision, now)
    }

    /// Returns the number of updates in the queue.
    pub fn queued_updates(&self) -> usize {
        self.updates.len()
    }

    /// Starts a round; returns `None` if there is no peer or no budget.
    pub fn start_round(&mut self, now: Instant) -> Option<OutgoingExchange> {
        self.table.remove_expired(now);
        self.facts.remove_expired(now);
        if self.budget.left_bytes(self.purpose(), now) < CALL_OVERHEAD_BYTES {
            return None;
        }
        let (addr, id) = self.pick_peer(now)?;
        self.join_rounds_left = self.join_rounds_left.saturating_sub(1);
        let is_joining = self.join_rounds_left > 0;
        let sampled_groups = if is_joining { GROUPS } else { SAMPLED_GROUPS };
        let mut message = self.new_message(sampled_groups, now);
        message.is_joining = is_joining;
        let purpose = self.purpose();
        let sent_updates = self.add_updates(&mut message, id.as_deref(), purpose, now);
        self.charge(&message, purpose, now);
        Some(OutgoingExchange {
            addr,
            id,
            message,
            sent_updates,
        })
    }

    /// Handles a request of a peer and returns the answer.
    pub fn on_request(&mut self, request: &Message, now: Instant) -> (Message, ExchangeChanges) {
        let mut known = Vec::new();
        let learned = self.apply(request, &mut known, now);
        let mut answer = self.new_message(0, now);
        answer.is_joining = self.join_rounds_left > 0;
        answer.known = known;
        let differing_groups = self.merge_reports(request, now);
        let purpose = if request.is_joining {
            Purpose::Joining
        } else {
            Purpose::Gossip
        };
        if self.budget.left_bytes(purpose, now) > CALL_OVERHEAD_BYTES {
            let peer = Some(request.sender.member.id.as_str());
            self.add_updates(&mut answer, peer, purpose, now);
            self.add_groups(&mut answer, &differing_groups, purpose, now);
            if request.facts_fingerprint != self.facts.fingerprint() {
                self.add_random_fact(&mut answer, now);
            }
        }
        self.charge(&answer, purpose, now);
        (answer, learned)
    }

    /// Handles the answer of a peer.
    pub fn on_answer(
        &mut self,
        outgoing: &OutgoingExchange,
        answer: &Message,
        now: Instant,
    ) -> ExchangeChanges {
        for position in &answer.known {
            if let Some(update) = outgoing.sent_updates.get(usize::from(*position)) {
                self.updates.on_known(update);
            }
        }
        let learned = self.apply(answer, &mut Vec::new(), now);
        // A host keeps joining for as long as whole groups bring changes.
        if learned.members_changed
            && !answer.whole_groups.is_empty()
            && self.budget.is_starting(now)
        {
            self.join_rounds_left = self.join_rounds_left.max(JOIN_ROUNDS / 2);
        }
        self.merge_reports(answer, now);
        // Entries missing on a joining host are known to all other hosts.
        if !answer.is_joining {
            for group in &answer.whole_groups {
                self.queue_missing(*group, &answer.entries);
            }
        }
        learned
    }

    /// Handles an exchange that failed; returns whether the standing of the peer changed.
    pub fn on_failure(&mut self, outgoing: &OutgoingExchange, now: Instant) -> bool {
        let id = outgoing.id.as_deref();
        id.is_some_and(|id| self.on_no_response(id, now))
    }

    /// Returns the purpose to which this host's requests are charged.
    fn purpose(&self) -> Purpose {
        if self.join_rounds_left > 0 {
            Purpose::Joining
        } else {
            Purpose::Gossip
        }
    }

    fn pick_peer(&mut self, now: Instant) -> Option<(SocketAddr, Option<HostId>)> {
        let is_retry = self.rng.random_bool(RETRY_SHARE);
        let is_local = self.rng.random_bool(OWN_REGION_SHARE);
        let own = &self.table.own().member;
        let members: Vec<_> = self
            .table
            .entries()
            .filter(|e| e.member.id != own.id && self.table.is_member(&e.member.id, now))
            .collect();
        if members.is_empty() || is_retry {
            if let Some(retry) = self.retry_targets(&members).choose(&mut self.rng) {
                return Some(retry.clone());
            }
        }
        let preferred = in_region(&members, &own.region, is_local);
        let candidates = if preferred.is_empty() {
            &members
        } else {
            &preferred
        };
        candidates
            .choose(&mut self.rng)
            .map(|entry| peer_target(entry))
    }

    /// Returns hosts that are not members but may have come back, and seeds that
    /// are not members.
    fn retry_targets(&self, members: &[&Entry]) -> Vec<(SocketAddr, Option<HostId>)> {
        let member_addrs: HashSet<_> = members.iter().map(|e| e.member.peer_addr).collect();
        let own_id = &self.table.own().member.id;
        let is_gone = |e: &&Entry| {
            let addr = e.member.peer_addr;
            e.standing != Liveness::Left && e.member.id != *own_id && !member_addrs.contains(&addr)
        };
        let gone = self.table.entries().filter(is_gone).map(peer_target);
        let seeds = self
            .seeds
            .iter()
            .filter(|seed| !member_addrs.contains(seed));
        gone.chain(seeds.map(|seed| (*seed, None))).collect()
    }

    fn new_message(&mut self, sampled_groups: usize, now: Instant) -> Message {
        let reported_revision = self.table.max_revision();
        let mut groups: Vec<_> = (0..GROUPS).collect();
        groups.shuffle(&mut self.rng);
        let (sampled, others) = groups.split_at(sampled_groups);
        let recently_changed = others
            .iter()
            .filter(|group| now < self.report_until[**group]);
        let groups = sampled.iter().chain(recently_changed);
        let reports = groups.filter_map(|g| self.table.report(*g as GroupId, reported_revision));
        Message {
            sender: self.table.own().clone(),
            revision: self.revision,
            reported_revision,
            is_joining: false,
            entries: Vec::new(),
            whole_groups: Vec::new(),
            facts: Vec::new(),
            facts_fingerprint: self.facts.fingerprint(),
            reports: reports.collect(),
            known: Vec::new(),
        }
    }

    /// Adds queued updates to a message, up to its size limit and the budget.
    fn add_updates(
        &mut self,
        message: &mut Message,
        peer: Option<&str>,
        purpose: Purpose,
        now: Instant,
    ) -> Vec<Update> {
        let mut remaining_bytes = MAX_UPDATE_BYTES.min(self.budget.left_bytes(purpose, now));
        let members = self.table.entries().count();
        let mut sent_updates = Vec::new();
        // A suspected peer must learn of the suspicion to refute it.
        let peer_entry = peer.and_then(|id| self.table.get(id));
        if let Some(entry) = peer_entry.filter(|e| e.standing == Liveness::Suspect) {
            message.entries.push(entry.clone());
            sent_updates.push(Update::Member(entry.member.id.clone()));
        }
        for update in self.updates.next() {
            if sent_updates.contains(&update) {
                continue;
            }
            let Some(size) = self.add_update(message, &update, remaining_bytes, now) else {
                self.updates.remove(&update);
                continue;
            };
            if size > remaining_bytes {
                break;
            }
            remaining_bytes -= size;
            self.updates.on_sent(&update, members);
            sent_updates.push(update);
        }
        // Positions in `Message::known` count facts first, as the message holds them.
        sent_updates.sort_by_key(|update| matches!(update, Update::Member(_)));
        sent_updates
    }

    /// Adds an update if it fits, and returns its size, or `None` if its content
    /// no longer exists.
    fn add_update(
        &self,
        message: &mut Message,
        update: &Update,
        remaining_bytes: usize,
        now: Instant,
    ) -> Option<usize> {
        match update {
            Update::Fact(key) => {
                let fact = self.facts.get(key, now)?;
                let size = fact_bytes(&fact);
                if size <= remaining_bytes {
                    message.facts.push(fact);
                }
                Some(size)
            }
            Update::Member(id) => {
                let entry = self.table.get(id)?;
                let size = entry_bytes(entry);
                if size <= remaining_bytes {
                    message.entries.push(entry.clone());
                }
                Some(size)
            }
        }
    }

    /// Merges the facts and entries of a message; adds the positions of those that
    /// were already known to `known`.
    fn apply(&mut self, message: &Message, known: &mut Vec<u16>, now: Instant) -> ExchangeChanges {
        let mut learned = ExchangeChanges {
            revision: message.revision,
            ..ExchangeChanges::default()
        };
        for (position, fact) in message.facts.iter().enumerate() {
            if self.add_fact(fact.clone(), now) {
                learned.facts.push(fact.clone());
            } else {
                self.updates.on_known(&Update::Fact(fact.key.clone()));
                known.extend(u16::try_from(position));
            }
        }
        let entry_offset = message.facts.len();
        let is_repair = !message.whole_groups.is_empty();
        learned.members_changed |=
            self.merge_entry(&message.sender, false, now) == MergeOutcome::Applied;
        for (position, entry) in message.entries.iter().enumerate() {
            match self.merge_entry(entry, is_repair, now) {
                MergeOutcome::AlreadyKnown => known.extend(u16::try_from(entry_offset + position)),
                MergeOutcome::Applied | MergeOutcome::Refuted => learned.members_changed = true,
            }
        }
        let sender = &message.sender.member.id;
        self.note_revision(sender, message.revision, now);
        learned
    }

    fn merge_entry(&mut self, entry: &Entry, is_repair: bool, now: Instant) -> MergeOutcome {
        let merged = self.table.merge(entry.clone(), now);
        // Entries that a joining host receives are known to all other hosts.
        if !(is_repair && self.join_rounds_left > 0) {
            self.updates.on_merge(&entry.member.id, merged);
        }
        merged
    }

    /// Merges the reports of a peer and returns the groups that differ.
    fn merge_reports(&mut self, message: &Message, now: Instant) -> Vec<GroupId> {
        let mut differing_groups = Vec::new();
        for report in &message.reports {
            match self.table.merge_report(report, message.reported_revision) {
                Some(true) => self.report_until[usize::from(report.group)] = now + REPORT_TIME,
                Some(false) => {}
                None => differing_groups.push(report.group),
            }
        }
        differing_groups
    }

    /// Adds whole groups in which the peer differs; the first one is added even
    /// if it exceeds the remaining bytes.
    fn add_groups(
        &mut self,
        answer: &mut Message,
        differing_groups: &[GroupId],
        purpose: Purpose,
        now: Instant,
    ) {
        let left = self.budget.left_bytes(purpose, now);
        let max_bytes = match purpose {
            Purpose::Joining => MAX_JOIN_BYTES,
            Purpose::Gossip => MAX_UPDATE_BYTES,
        };
        let mut remaining_bytes = left.saturating_sub(REPAIR_RESERVE_BYTES).min(max_bytes);
        let mut differing_groups = differing_groups.to_vec();
        differing_groups.shuffle(&mut self.rng);
        for group in differing_groups {
            let entries: Vec<_> = self.table.group(group).cloned().collect();
            let size: usize = entries.iter().map(entry_bytes).sum();
            let is_first = answer.whole_groups.is_empty();
            if remaining_bytes == 0 || size > remaining_bytes && !is_first {
                return;
            }
            remaining_bytes = remaining_bytes.saturating_sub(size);
            answer.entries.extend(entries);
            answer.whole_groups.push(group);
        }
    }

    /// Adds one random fact, for a peer whose facts differ.
    fn add_random_fact(&mut self, answer: &mut Message, now: Instant) {
        let keys: Vec<_> = self.facts.keys().collect();
        let fact = keys
            .choose(&mut self.rng)
            .and_then(|key| self.facts.get(key, now));
        if let Some(fact) = fact.filter(|f| answer.facts.iter().all(|other| other.key != f.key)) {
            answer.facts.push(fact);
        }
    }

    /// Queues the entries that a peer lacks in a group that it sent in full.
    fn queue_missing(&mut self, group: GroupId, received: &[Entry]) {
        let is_missing = |entry: &&Entry| {
            let received_entry = received.iter().find(|e| e.member.id == entry.member.id);
            received_entry.is_none_or(|received| entry.is_newer_than(received))
        };
        let missing = self.table.group(group).filter(is_missing);
        let ids: Vec<_> = missing.map(|entry| entry.member.id.clone()).collect();
        for id in ids {
            self.updates.add(Update::Member(id));
        }
    }

    fn charge(&mut self, message: &Message, purpose: Purpose, now: Instant) {
        self.budget.on_sent(message_bytes(message), purpose, now);
    }
}

/// Returns the size of a message on the wire, including the overhead of the call.
pub fn message_bytes(message: &Message) -> usize {
    let wire = WireMessage::from(message.clone());
    let body = serde_json::to_vec(&wire).map_or(0, |text| text.len());
    body + CALL_OVERHEAD_BYTES
}

fn entry_bytes(entry: &Entry) -> usize {
    let member = &entry.member;
    ENTRY_OVERHEAD_BYTES + member.id.len() + member.region.len() + member.zone.len()
}

fn fact_bytes(fact: &Fact) -> usize {
    ENTRY_OVERHEAD_BYTES + fact.key.topic.len() + fact.key.subject.len() + fact.value.len()
}

fn peer_target(entry: &Entry) -> (SocketAddr, Option<HostId>) {
    (entry.member.peer_addr, Some(entry.member.id.clone()))
}

/// Returns the entries in `region` if `is_local`, else those in all other regions.
fn in_region<'a>(entries: &[&'a Entry], region: &RegionId, is_local: bool) -> Vec<&'a Entry> {
    let matching = entries
        .iter()
        .filter(|e| (e.member.region == *region) == is_local);
    matching.copied().collect()
}
