//! The membership protocol in a simulated cluster with seeded random faults.
//!
//! Guards against wrong member states, lost versions and lost records after message loss, delays,
//! partitions, crashes and restarts, and against traffic that grows with the fleet.

use std::collections::BTreeMap;

use base::prelude::*;
use member::Protocol;
use member::protocol::{Action, MAX_CHANGED_MEMBERS, Settings};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use store::Listing;
use wire::message::{Gossip, Member, Record, State};

/// Ticks after the last fault or change within which all members must agree.
const SETTLE_TICKS: u64 = 60;

enum Event {
    HeartbeatRequest(usize, String, Gossip),
    HeartbeatReply(usize, String, Option<Gossip>),
    ProbeRequest(usize, String, String, String),
    ProbeReply(usize, String, bool),
}

struct Cluster {
    settings: Settings,
    nodes: Vec<Option<Protocol>>,
    partition_side: Vec<bool>,
    loss_rate: f64,
    max_delay_ticks: u64,
    rng: StdRng,
    tick: u64,
    queue: BTreeMap<(u64, u64), Event>,
    last_event_id: u64,
    sent_count: u64,
    max_members_sent: usize,
}

fn name(node: usize) -> String {
    format!("n{node:03}")
}

fn number(name: &str) -> usize {
    name[1..].parse().unwrap()
}

fn listing(node: usize) -> Listing {
    Listing {
        instance: name(node),
        address: name(node),
        peer_address: name(node),
        domain: format!("d{}", node % 3),
        leaving: false,
    }
}

impl Cluster {
    fn open(count: usize, seed: u64) -> Self {
        let mut cluster = Self {
            settings: Settings::default(),
            nodes: Vec::new(),
            partition_side: vec![false; count],
            loss_rate: 0.0,
            max_delay_ticks: 0,
            rng: StdRng::seed_from_u64(seed),
            tick: 1,
            queue: BTreeMap::new(),
            last_event_id: 0,
            sent_count: 0,
            max_members_sent: 0,
        };
        cluster.nodes.resize_with(count, || None);
        (0..count).for_each(|node| cluster.start(node));
        cluster
    }

    fn start(&mut self, node: usize) {
        let own = Member {
            instance: name(node),
            address: name(node),
            peer_address: name(node),
            incarnation: self.tick,
            ..Member::default()
        };
        let mut protocol = Protocol::open(own, self.settings, Vec::new());
        let listed: Vec<Listing> = (0..self.nodes.len()).map(listing).collect();
        protocol.update_listed(&listed, self.now());
        self.nodes[node] = Some(protocol);
    }

    fn now(&self) -> Duration {
        self.settings.heartbeat_interval * u32::try_from(self.tick).unwrap()
    }

    fn send(&mut self, from: usize, to: usize, event: Event, on_loss: Event) {
        self.sent_count += 1;
        let is_lost = self.partition_side[from] != self.partition_side[to]
            || self.rng.random_bool(self.loss_rate);
        let delay = self.rng.random_range(0..=self.max_delay_ticks);
        self.last_event_id += 1;
        let event = if is_lost { on_loss } else { event };
        self.queue.insert((self.tick + delay, self.last_event_id), event);
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Heartbeat { target, gossip, .. } => {
                    self.max_members_sent = self.max_members_sent.max(gossip.members.len());
                    let on_loss = Event::HeartbeatReply(node, target.clone(), None);
                    self.send(
                        node,
                        number(&target),
                        Event::HeartbeatRequest(node, target, gossip),
                        on_loss,
                    );
                }
                Action::Probe { helper_address, target, target_address } => {
                    let on_loss = Event::ProbeReply(node, target.clone(), false);
                    let request =
                        Event::ProbeRequest(node, helper_address.clone(), target, target_address);
                    self.send(node, number(&helper_address), request, on_loss);
                }
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::HeartbeatRequest(from, to, gossip) => {
                let node = number(&to);
                let answer = self.nodes[node]
                    .as_mut()
                    .map(|protocol| protocol.receive_heartbeat(gossip, now, 0));
                let on_loss = Event::HeartbeatReply(from, to.clone(), None);
                self.send(node, from, Event::HeartbeatReply(from, to, answer), on_loss);
            }
            Event::HeartbeatReply(node, from, answer) => {
                let Some(protocol) = &mut self.nodes[node] else { return };
                let actions = match answer {
                    Some(gossip) => {
                        protocol.merge_gossip(gossip, now, 0);
                        Vec::new()
                    }
                    None => protocol.heartbeat_failed(&from, now, &mut self.rng),
                };
                self.execute(node, actions);
            }
            Event::ProbeRequest(from, helper, target, address) => {
                let (helper, target_node) = (number(&helper), number(&address));
                let reached = self.nodes[helper].is_some()
                    && self.nodes[target_node].is_some()
                    && self.partition_side[helper] == self.partition_side[target_node];
                let on_loss = Event::ProbeReply(from, target.clone(), false);
                self.send(helper, from, Event::ProbeReply(from, target, reached), on_loss);
            }
            Event::ProbeReply(node, target, reached) => {
                if let Some(protocol) = &mut self.nodes[node] {
                    protocol.probe_finished(&target, reached, now);
                }
            }
        }
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            for node in 0..self.nodes.len() {
                let now = self.now();
                let Some(protocol) = &mut self.nodes[node] else { continue };
                let actions = protocol.tick(now, 0, &mut self.rng);
                self.execute(node, actions);
            }
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.tick {
                    break;
                }
                let event = entry.remove();
                self.deliver(event);
            }
            self.tick += 1;
        }
    }

    /// Returns one line for each wrong member state at a running node.
    ///
    /// Running nodes on the same side must be alive, all others dead.
    fn wrong_states(&self) -> Vec<String> {
        let mut wrong_states = Vec::new();
        for (node, protocol) in self.nodes.iter().enumerate() {
            let Some(protocol) = protocol else { continue };
            for (other, other_protocol) in self.nodes.iter().enumerate() {
                let state = protocol.members().find(|member| member.instance == name(other));
                let state = state.map_or(State::Dead, |member| member.state);
                let reachable = other_protocol.is_some()
                    && self.partition_side[node] == self.partition_side[other];
                let is_correct =
                    if reachable { state == State::Alive } else { state == State::Dead };
                if !is_correct {
                    wrong_states.push(format!("{node} sees {other} as {state:?}"));
                }
            }
        }
        wrong_states
    }
}

#[derive(Debug, Clone)]
enum Step {
    Crash(usize),
    Restart(usize),
    Partition(usize),
    Heal,
    Loss(f64),
    Delay(u64),
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_usize..64).prop_map(Step::Crash),
        (0_usize..64).prop_map(Step::Restart),
        (1_usize..64).prop_map(Step::Partition),
        Just(Step::Heal),
        (0.0..0.4).prop_map(Step::Loss),
        (0_u64..6).prop_map(Step::Delay),
        (1_u64..40).prop_map(Step::Run),
    ]
}

fn apply(cluster: &mut Cluster, step: &Step) {
    let count = cluster.nodes.len();
    match step {
        Step::Crash(node) => cluster.nodes[node % count] = None,
        Step::Restart(node) => cluster.start(node % count),
        Step::Partition(at) => {
            for node in 0..count {
                cluster.partition_side[node] = node < at % count;
            }
        }
        Step::Heal => cluster.partition_side.fill(false),
        Step::Loss(loss) => cluster.loss_rate = *loss,
        Step::Delay(delay) => cluster.max_delay_ticks = *delay,
        Step::Run(ticks) => cluster.run(*ticks),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn member_states_converge_in_bounded_time_once_messages_arrive(
        count in 2_usize..28,
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(), 1..16),
        cut in 0_usize..28,
    ) {
        let mut cluster = Cluster::open(count, seed);
        for step in &steps {
            apply(&mut cluster, step);
        }
        cluster.loss_rate = 0.0;
        cluster.max_delay_ticks = 0;
        apply(&mut cluster, &Step::Partition(cut));
        cluster.run(SETTLE_TICKS);
        prop_assert_eq!(cluster.wrong_states(), Vec::<String>::new());
        apply(&mut cluster, &Step::Heal);
        cluster.run(2 * SETTLE_TICKS);
        prop_assert_eq!(cluster.wrong_states(), Vec::<String>::new());
    }

    #[test]
    fn crashed_member_is_declared_dead_under_message_loss(
        count in 3_usize..28,
        seed in any::<u64>(),
        loss in 0.0..0.2,
    ) {
        let mut cluster = Cluster::open(count, seed);
        cluster.loss_rate = loss;
        cluster.run(20);
        cluster.nodes[0] = None;
        cluster.run(SETTLE_TICKS);
        for protocol in cluster.nodes.iter().flatten() {
            let dead = protocol.members().find(|member| member.instance == name(0)).unwrap();
            prop_assert_eq!(dead.state, State::Dead);
        }
    }

    #[test]
    fn newest_version_reaches_all_members_under_message_loss(
        count in 2_usize..28,
        seed in any::<u64>(),
        loss in 0.0..0.3,
    ) {
        let mut cluster = Cluster::open(count, seed);
        cluster.loss_rate = loss;
        for version in 1..4 {
            let node = cluster.rng.random_range(0..count);
            cluster.nodes[node].as_mut().unwrap().set_version(version, 0);
            cluster.run(5);
        }
        cluster.run(SETTLE_TICKS);
        for protocol in cluster.nodes.iter().flatten() {
            let newest = protocol
                .newest_version()
                .map_or(protocol.own().version, |(version, _)| version);
            prop_assert_eq!(newest, 3);
        }
    }
}

#[test]
fn messages_per_tick_and_message_size_are_independent_of_fleet_size() {
    for count in [6, 48, 200] {
        let mut cluster = Cluster::open(count, 1);
        cluster.run(20);
        let before = cluster.sent_count;
        cluster.run(40);
        let per_tick = (cluster.sent_count - before).div_ceil(40 * count as u64);
        assert!(per_tick <= 2, "{count} nodes: {per_tick} messages per node and tick");
        assert!(
            cluster.max_members_sent <= MAX_CHANGED_MEMBERS + 4,
            "{} members in a message",
            cluster.max_members_sent
        );
    }
}

#[test]
fn leaving_state_and_record_reach_all_members() {
    let mut cluster = Cluster::open(24, 2);
    cluster.run(5);
    cluster.nodes[3].as_mut().unwrap().leave();
    let record = Record { topic: 1, key: vec![1], value: vec![2], expires: 9 };
    cluster.nodes[4].as_mut().unwrap().add_record(record.clone(), 0);
    cluster.run(20);
    for protocol in cluster.nodes.iter().flatten() {
        let member = protocol.members().find(|member| member.instance == name(3)).unwrap();
        assert_eq!(member.state, State::Leaving);
        assert_eq!(protocol.records(0), std::slice::from_ref(&record));
    }
}
