//! What to tell which peer, and what to make of the answer.
//!
//! Once a round a host picks one peer and both tell each other their news.
//! The cost for a host therefore depends on how much changes, not on how many
//! hosts there are. Time, random numbers and the calls themselves come from
//! outside.

use {
    crate::{
        budget::{Budget, Purpose},
        rumour::Rumours,
        table::{group_of, GROUPS},
        Entry, Fact, FactKey, Facts, GroupId, Member, Merged, Message, Progress, Rumour, Standing,
        Table, WireMessage,
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

/// Pause between two exchanges that a host begins.
pub const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Pause between the rounds of a host that has just started.
const JOIN_PAUSE: Duration = Duration::from_millis(100);
/// Share of the rounds that stay in the host's own region.
const OWN_REGION_SHARE: f64 = 0.75;
/// Share of the rounds that try a host which may be gone, or a seed.
const RETRY_SHARE: f64 = 0.06;
/// Rounds in which a host that has just started asks for whole groups.
const JOIN_ROUNDS: u32 = 16;
/// Largest number of bytes of entries and facts in a message.
const MAX_NEWS_BYTES: usize = 4_096;
/// Largest number of bytes of whole groups for a host that joins.
const MAX_JOIN_BYTES: usize = 16_384;
/// Groups that are compared in every request, whether or not anything changed.
const SAMPLED_GROUPS: usize = 3;
/// Bytes of the budget that repairs leave to news.
const REPAIR_RESERVE_BYTES: usize = 8_192;
/// Time for which a group is reported after one of its revisions became known.
const BUSY_TIME: Duration = Duration::from_secs(4);
/// Bytes that the call itself adds to a message, on average over both ways.
const ENVELOPE_BYTES: usize = 260;
/// Bytes of an entry apart from its names.
const ENTRY_BYTES: usize = 70;

/// An exchange that a host begins.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Address of the peer.
    pub addr: SocketAddr,
    /// Name of the peer, if it is known.
    pub id: Option<HostId>,
    /// What the host tells.
    pub message: Message,
    told: Vec<Rumour>,
}

/// What an exchange brought that other parts of the host want to know.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Learned {
    /// Facts that are news.
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
    rumours: Rumours,
    budget: Budget,
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    revision: Revision,
    joins_left: u32,
    busy_until: [Instant; GROUPS],
}

impl Exchange {
    /// Creates the state of a host that has just started.
    pub fn new(own: Entry, rng: StdRng, now: Instant) -> Self {
        Self {
            table: Table::new(own, now),
            facts: Facts::default(),
            rumours: Rumours::default(),
            budget: Budget::new(now),
            rng,
            seeds: Vec::new(),
            revision: 0,
            joins_left: JOIN_ROUNDS,
            busy_until: [now; GROUPS],
        }
    }

    /// Replaces the addresses at which peers may be found.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) {
        let own = self.table.own().member.peer_addr;
        seeds.retain(|seed| *seed != own);
        self.seeds = seeds;
    }

    /// Notes the revision that this host has in force.
    pub fn set_revision(&mut self, revision: Revision, now: Instant) {
        self.revision = revision;
        let own_id = self.table.own().member.id.clone();
        self.note_revision(&own_id, revision, now);
    }

    fn note_revision(&mut self, id: &str, revision: Revision, now: Instant) {
        if self.table.note_revision(id, revision) {
            self.busy_until[group_of(id)] = now + BUSY_TIME;
        }
    }

    /// Notes a fact that this host has learned; returns whether it is news.
    pub fn tell(&mut self, fact: Fact, now: Instant) -> bool {
        let key = fact.key.clone();
        let is_news = self.facts.merge(fact, now);
        if is_news {
            self.rumours.add(Rumour::Fact(key));
        }
        is_news
    }

    /// Returns a fact that holds.
    pub fn fact(&self, key: &FactKey, now: Instant) -> Option<Fact> {
        self.facts.get(key, now)
    }

    /// Notes that this host takes no new work.
    pub fn drain(&mut self, now: Instant) {
        self.table.change_own(now, |own| own.is_draining = true);
    }

    /// Notes that this host leaves for good.
    pub fn leave(&mut self, now: Instant) {
        self.table
            .change_own(now, |own| own.standing = Standing::Left);
    }

    /// Notes that a host gave no answer; returns whether that is news.
    pub fn on_silence(&mut self, id: &str, now: Instant) -> bool {
        let is_news = self.table.suspect(id, now);
        if is_news {
            self.rumours.add(Rumour::Member(id.to_owned()));
        }
        is_news
    }

    /// Returns the pause until the next round.
    pub fn pause(&self) -> Duration {
        if self.joins_left > 0 {
            JOIN_PAUSE
        } else {
            ROUND_PAUSE
        }
    }

    /// Returns the table of hosts.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the hosts that take work.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        self.table.members(now)
    }

    /// Returns how far a revision has come.
    pub fn progress(&self, revision: Revision, now: Instant) -> Progress {
        self.table.progress(revision, now)
    }

    /// Returns the number of rumours still to be told.
    pub fn backlog(&self) -> usize {
        self.rumours.len()
    }

    /// Begins a round; returns `None` if there is no peer or no budget.
    pub fn begin(&mut self, now: Instant) -> Option<Outgoing> {
        self.table.evict(now);
        self.facts.evict(now);
        if self.budget.left_bytes(self.purpose(), now) < ENVELOPE_BYTES {
            return None;
        }
        let (addr, id) = self.pick_peer(now)?;
        self.joins_left = self.joins_left.saturating_sub(1);
        let is_joining = self.joins_left > 0;
        let sampled_groups = if is_joining { GROUPS } else { SAMPLED_GROUPS };
        let mut message = self.empty_message(sampled_groups, now);
        message.is_joining = is_joining;
        let purpose = self.purpose();
        let told = self.add_news(&mut message, id.as_deref(), purpose, now);
        self.charge(&message, purpose, now);
        Some(Outgoing {
            addr,
            id,
            message,
            told,
        })
    }

    /// Takes what a peer tells and returns the answer.
    pub fn on_request(&mut self, request: &Message, now: Instant) -> (Message, Learned) {
        let mut known = Vec::new();
        let learned = self.take(request, &mut known, now);
        let mut answer = self.empty_message(0, now);
        answer.is_joining = self.joins_left > 0;
        answer.known = known;
        let differing = self.take_reports(request, now);
        let purpose = if request.is_joining {
            Purpose::Joining
        } else {
            Purpose::News
        };
        if self.budget.left_bytes(purpose, now) > ENVELOPE_BYTES {
            let peer = Some(request.sender.member.id.as_str());
            self.add_news(&mut answer, peer, purpose, now);
            self.add_groups(&mut answer, &differing, purpose, now);
            if request.facts_fingerprint != self.facts.fingerprint() {
                self.add_any_fact(&mut answer, now);
            }
        }
        self.charge(&answer, purpose, now);
        (answer, learned)
    }

    /// Takes the answer of a peer.
    pub fn on_answer(&mut self, outgoing: &Outgoing, answer: &Message, now: Instant) -> Learned {
        for position in &answer.known {
            if let Some(rumour) = outgoing.told.get(usize::from(*position)) {
                self.rumours.on_known(rumour);
            }
        }
        let learned = self.take(answer, &mut Vec::new(), now);
        // A host joins for as long as whole groups bring news.
        if learned.members_changed && !answer.whole_groups.is_empty() && self.budget.is_young(now) {
            self.joins_left = self.joins_left.max(JOIN_ROUNDS / 2);
        }
        self.take_reports(answer, now);
        // What a host that joins still lacks is news to nobody else.
        if !answer.is_joining {
            for group in &answer.whole_groups {
                self.retell_missing(*group, &answer.entries);
            }
        }
        learned
    }

    /// Notes that a peer could not be reached; returns whether that is news.
    pub fn on_failure(&mut self, outgoing: &Outgoing, now: Instant) -> bool {
        let id = outgoing.id.as_deref();
        id.is_some_and(|id| self.on_silence(id, now))
    }

    /// Returns what the requests of this host are for.
    fn purpose(&self) -> Purpose {
        if self.joins_left > 0 {
            Purpose::Joining
        } else {
            Purpose::News
        }
    }

    fn pick_peer(&mut self, now: Instant) -> Option<(SocketAddr, Option<HostId>)> {
        let is_retry = self.rng.random_bool(RETRY_SHARE);
        let is_near = self.rng.random_bool(OWN_REGION_SHARE);
        let own = &self.table.own().member;
        let members: Vec<_> = self
            .table
            .entries()
            .filter(|e| e.member.id != own.id && self.table.is_member(&e.member.id, now))
            .collect();
        if members.is_empty() || is_retry {
            if let Some(retry) = self.retries(&members).choose(&mut self.rng) {
                return Some(retry.clone());
            }
        }
        let wanted = in_region(&members, &own.region, is_near);
        let candidates = if wanted.is_empty() { &members } else { &wanted };
        candidates.choose(&mut self.rng).map(|entry| target(entry))
    }

    /// Returns the hosts that may have come back, and the seeds that are no members.
    fn retries(&self, members: &[&Entry]) -> Vec<(SocketAddr, Option<HostId>)> {
        let known: HashSet<_> = members.iter().map(|e| e.member.peer_addr).collect();
        let own_id = &self.table.own().member.id;
        let is_gone = |e: &&Entry| {
            let addr = e.member.peer_addr;
            e.standing != Standing::Left && e.member.id != *own_id && !known.contains(&addr)
        };
        let gone = self.table.entries().filter(is_gone).map(target);
        let seeds = self.seeds.iter().filter(|seed| !known.contains(seed));
        gone.chain(seeds.map(|seed| (*seed, None))).collect()
    }

    fn empty_message(&mut self, sampled_groups: usize, now: Instant) -> Message {
        let reported_revision = self.table.top_revision();
        let mut groups: Vec<_> = (0..GROUPS).collect();
        groups.shuffle(&mut self.rng);
        let (sampled, others) = groups.split_at(sampled_groups);
        let busy = others.iter().filter(|group| now < self.busy_until[**group]);
        let groups = sampled.iter().chain(busy);
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

    /// Adds rumours to a message, as many as its size and the budget allow.
    fn add_news(
        &mut self,
        message: &mut Message,
        peer: Option<&str>,
        purpose: Purpose,
        now: Instant,
    ) -> Vec<Rumour> {
        let mut room = MAX_NEWS_BYTES.min(self.budget.left_bytes(purpose, now));
        let members = self.table.entries().count();
        let mut told = Vec::new();
        // A suspected peer has to hear of it to refute it.
        let suspicion = peer.and_then(|id| self.table.get(id));
        if let Some(entry) = suspicion.filter(|e| e.standing == Standing::Suspect) {
            message.entries.push(entry.clone());
            told.push(Rumour::Member(entry.member.id.clone()));
        }
        for rumour in self.rumours.next() {
            if told.contains(&rumour) {
                continue;
            }
            let Some(size) = self.add_rumour(message, &rumour, room, now) else {
                self.rumours.remove(&rumour);
                continue;
            };
            if size > room {
                break;
            }
            room -= size;
            self.rumours.on_told(&rumour, members);
            told.push(rumour);
        }
        // Positions count facts first, whatever the order of the queue.
        told.sort_by_key(|rumour| matches!(rumour, Rumour::Member(_)));
        told
    }

    /// Adds one rumour if it fits, and returns its size unless it is no longer true.
    fn add_rumour(
        &self,
        message: &mut Message,
        rumour: &Rumour,
        room: usize,
        now: Instant,
    ) -> Option<usize> {
        match rumour {
            Rumour::Fact(key) => {
                let fact = self.facts.get(key, now)?;
                let size = fact_bytes(&fact);
                if size <= room {
                    message.facts.push(fact);
                }
                Some(size)
            }
            Rumour::Member(id) => {
                let entry = self.table.get(id)?;
                let size = entry_bytes(entry);
                if size <= room {
                    message.entries.push(entry.clone());
                }
                Some(size)
            }
        }
    }

    fn take(&mut self, message: &Message, known: &mut Vec<u16>, now: Instant) -> Learned {
        let mut learned = Learned {
            revision: message.revision,
            ..Learned::default()
        };
        for (position, fact) in message.facts.iter().enumerate() {
            if self.tell(fact.clone(), now) {
                learned.facts.push(fact.clone());
            } else {
                self.rumours.on_known(&Rumour::Fact(fact.key.clone()));
                known.extend(u16::try_from(position));
            }
        }
        let first = message.facts.len();
        let is_repair = !message.whole_groups.is_empty();
        learned.members_changed |= self.take_entry(&message.sender, false, now) == Merged::News;
        for (position, entry) in message.entries.iter().enumerate() {
            match self.take_entry(entry, is_repair, now) {
                Merged::Known => known.extend(u16::try_from(first + position)),
                Merged::News | Merged::Refuted => learned.members_changed = true,
            }
        }
        let sender = &message.sender.member.id;
        self.note_revision(sender, message.revision, now);
        learned
    }

    fn take_entry(&mut self, entry: &Entry, is_repair: bool, now: Instant) -> Merged {
        let merged = self.table.merge(entry.clone(), now);
        // What a host learns as it joins is news to nobody else.
        if !(is_repair && self.joins_left > 0) {
            self.rumours.on_merged(&entry.member.id, merged);
        }
        merged
    }

    /// Takes the reports of a peer and returns the groups that differ.
    fn take_reports(&mut self, message: &Message, now: Instant) -> Vec<GroupId> {
        let mut differing = Vec::new();
        for report in &message.reports {
            match self.table.merge_report(report, message.reported_revision) {
                Some(true) => self.busy_until[usize::from(report.group)] = now + BUSY_TIME,
                Some(false) => {}
                None => differing.push(report.group),
            }
        }
        differing
    }

    /// Tells whole groups in which the peer differs, one at least if there is room.
    fn add_groups(
        &mut self,
        answer: &mut Message,
        differing: &[GroupId],
        purpose: Purpose,
        now: Instant,
    ) {
        let left = self.budget.left_bytes(purpose, now);
        let most = match purpose {
            Purpose::Joining => MAX_JOIN_BYTES,
            Purpose::News => MAX_NEWS_BYTES,
        };
        let mut room = left.saturating_sub(REPAIR_RESERVE_BYTES).min(most);
        let mut differing = differing.to_vec();
        differing.shuffle(&mut self.rng);
        for group in differing {
            let entries: Vec<_> = self.table.group(group).cloned().collect();
            let size: usize = entries.iter().map(entry_bytes).sum();
            let is_first = answer.whole_groups.is_empty();
            if room == 0 || size > room && !is_first {
                return;
            }
            room = room.saturating_sub(size);
            answer.entries.extend(entries);
            answer.whole_groups.push(group);
        }
    }

    /// Tells one fact, whichever it is, to a peer whose facts differ.
    fn add_any_fact(&mut self, answer: &mut Message, now: Instant) {
        let keys: Vec<_> = self.facts.keys().collect();
        let fact = keys
            .choose(&mut self.rng)
            .and_then(|key| self.facts.get(key, now));
        if let Some(fact) = fact.filter(|f| answer.facts.iter().all(|other| other.key != f.key)) {
            answer.facts.push(fact);
        }
    }

    /// Tells again what a peer lacks in a group that it has shown in full.
    fn retell_missing(&mut self, group: GroupId, shown: &[Entry]) {
        let is_missing = |entry: &&Entry| {
            let of_host = shown.iter().find(|s| s.member.id == entry.member.id);
            of_host.is_none_or(|shown| entry.is_newer_than(shown))
        };
        let missing = self.table.group(group).filter(is_missing);
        let ids: Vec<_> = missing.map(|entry| entry.member.id.clone()).collect();
        for id in ids {
            self.rumours.add(Rumour::Member(id));
        }
    }

    fn charge(&mut self, message: &Message, purpose: Purpose, now: Instant) {
        self.budget.on_sent(message_bytes(message), purpose, now);
    }
}

/// Returns the size of a message on the wire.
pub fn message_bytes(message: &Message) -> usize {
    let wire = WireMessage::from(message.clone());
    let body = serde_json::to_vec(&wire).map_or(0, |text| text.len());
    body + ENVELOPE_BYTES
}

fn entry_bytes(entry: &Entry) -> usize {
    let member = &entry.member;
    ENTRY_BYTES + member.id.len() + member.region.len() + member.zone.len()
}

fn fact_bytes(fact: &Fact) -> usize {
    ENTRY_BYTES + fact.key.topic.len() + fact.key.subject.len() + fact.value.len()
}

fn target(entry: &Entry) -> (SocketAddr, Option<HostId>) {
    (entry.member.peer_addr, Some(entry.member.id.clone()))
}

fn in_region<'a>(entries: &[&'a Entry], region: &RegionId, is_near: bool) -> Vec<&'a Entry> {
    let chosen = entries
        .iter()
        .filter(|e| (e.member.region == *region) == is_near);
    chosen.copied().collect()
}
