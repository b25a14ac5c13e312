//! Selection of the neighbours with which a host exchanges statuses.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{Harness, acknowledge_batch, address, chunk};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, FleetOutput, PeerInfo};

/// Hosts of a large site, in failure domains of equal size.
const HOSTS: u8 = 240;

/// Largest mean number of neighbours, whatever the number of hosts. Each host
/// selects three in its own domain and one in each of seven others, and is
/// selected by as many.
const MAX_MEAN_NEIGHBOURS: usize = 20;

fn domain(host: u8, domains: u8) -> String {
    format!("d{}", host % domains)
}

fn site(hosts: u8, domains: u8) -> Vec<PeerInfo> {
    let info = |host| PeerInfo {
        host_id: format!("entry-{host}"),
        address: address(host),
        failure_domain: domain(host, domains),
    };
    (1..=hosts).map(info).collect()
}

/// Creates a host of a site that has just been told of the other hosts.
fn host(number: u8, domains: u8, site: &[PeerInfo]) -> Harness {
    let mut harness = Harness::in_domain(number, &domain(number, domains));
    harness.step(FleetInput::Peers(site.to_vec()));
    harness
}

/// Gets the hosts that are sent a batch within four heartbeats, or were sent
/// one that is not answered yet.
fn notified(harness: &mut Harness) -> BTreeSet<String> {
    let mut notified = BTreeSet::new();
    for _ in 0..4 {
        harness.advance_at_once(200);
        for output in std::mem::take(&mut harness.outputs) {
            if let FleetOutput::SendBatch(host, _, _, _) = output {
                harness.step(FleetInput::BatchEnded(host.clone(), true));
                notified.insert(host);
            }
        }
    }
    notified
}

fn neighbours(hosts: u8, domains: u8) -> BTreeMap<String, BTreeSet<String>> {
    let site = site(hosts, domains);
    let of = |number| {
        let notified = notified(&mut host(number, domains, &site));
        (format!("entry-{number}"), notified)
    };
    (1..=hosts).map(of).collect()
}

/// Guards against a cost of statuses per host that grows with the number of
/// hosts, and against a host that sends tasks to a peer whose status it does
/// not get.
#[gtest]
fn statuses_go_to_a_bounded_number_of_neighbours_both_ways() {
    let neighbours = neighbours(HOSTS, 8);
    for (host, notified) in &neighbours {
        for other in notified {
            expect_that!(neighbours[other].contains(host), eq(true), "{host} {other}");
        }
    }
    let all: usize = neighbours.values().map(BTreeSet::len).sum();
    expect_that!(all / usize::from(HOSTS), le(MAX_MEAN_NEIGHBOURS));
}

/// Guards against a host without neighbours in some failure domain, which has
/// nowhere to send tasks if its own domain is lost or overloaded.
#[gtest]
fn each_host_has_neighbours_in_every_domain() {
    for (hosts, domains) in [(12, 4), (35, 5), (HOSTS, 8)] {
        for (host, notified) in neighbours(hosts, domains) {
            let number = |id: &String| id["entry-".len()..].parse::<u8>().expect("a number");
            let reached: BTreeSet<u8> = notified.iter().map(|id| number(id) % domains).collect();
            expect_that!(reached.len(), eq(usize::from(domains)), "{host}");
        }
    }
}

/// Guards against a host that keeps neighbours that have left.
#[gtest]
fn lost_neighbours_are_replaced() {
    let site = site(35, 5);
    let mut harness = host(1, 5, &site);
    let before = notified(&mut harness);
    let left: Vec<PeerInfo> = site
        .iter()
        .filter(|info| info.host_id == "entry-1" || !before.contains(&info.host_id))
        .cloned()
        .collect();
    for _ in 0..40 {
        harness.advance_at_once(100);
        harness.step(FleetInput::Peers(left.clone()));
    }
    notified(&mut harness);
    let after = notified(&mut harness);
    expect_that!(after.len(), ge(5));
    expect_that!(after.intersection(&before).count(), eq(0));
}

/// Counts the batches to each host within some seconds, each of which is
/// accepted.
fn count_batches(harness: &mut Harness, seconds: u64) -> BTreeMap<String, u64> {
    let mut batches = BTreeMap::new();
    for _ in 0..seconds * 100 {
        harness.advance_at_once(10);
        for output in std::mem::take(&mut harness.outputs) {
            if let FleetOutput::SendBatch(host, _, _, _) = output {
                harness.step(FleetInput::BatchEnded(host.clone(), true));
                *batches.entry(host).or_default() += 1;
            }
        }
    }
    batches
}

/// Guards against heartbeats that take most of the processor time of a host
/// without work: 16 neighbours at 5 a second did so in the large site.
#[gtest]
fn idle_neighbours_get_few_heartbeats() {
    let site = site(240, 6);
    let mut harness = host(1, 6, &site);
    for (neighbour, batches) in count_batches(&mut harness, 2) {
        expect_that!(batches, le(6), "{neighbour}");
    }
}

/// Guards against tasks that are given up at the loss of one batch, because the
/// peers that exchange tasks are told too seldom that the other one lives.
#[gtest]
fn peers_that_exchange_tasks_get_frequent_heartbeats() {
    let mut harness = host(1, 1, &site(2, 1));
    harness.add_worker("w1");
    harness.receive_batch(2, 1, vec![]);
    count_batches(&mut harness, 1);
    harness.receive_batch(2, 2, vec![chunk(5, 1)]);
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    let batches = count_batches(&mut harness, 1);
    expect_that!(batches.get("entry-2"), some(ge(&5)));
}

/// Guards against tasks that are sent to a host that has just stopped to answer,
/// where they are lost.
#[gtest]
fn a_peer_that_does_not_accept_batches_gets_no_tasks() {
    let mut harness = host(1, 1, &site(2, 1));
    let free = common::free_status();
    harness.receive_batch(2, 1, vec![free.clone()]);
    harness.step(FleetInput::BatchEnded("entry-2".into(), false));
    harness.outputs.clear();
    harness.submit(1, 1);
    let has_task = |batch: &hornbeam_fleet::PeerBatch| {
        let is_task = |message: &_| matches!(message, hornbeam_fleet::PeerMessage::Run(_));
        batch.messages.iter().any(is_task)
    };
    expect_that!(harness.batches().iter().any(has_task), eq(false));
    harness.advance_at_once(40);
    harness.receive_batch(2, 2, vec![free]);
    acknowledge_batch(&mut harness, 2);
    harness.advance_at_once(5);
    expect_that!(harness.batches().iter().any(has_task), eq(true));
}

/// Guards against tasks that their origin gives up while they run, because the
/// origin is not a neighbour and gets no batches.
#[gtest]
fn origin_of_a_running_task_gets_heartbeats_without_being_a_neighbour() {
    let site = site(35, 5);
    let mut harness = host(1, 5, &site);
    let neighbours = notified(&mut harness);
    let is_other = |number: &u8| !neighbours.contains(&format!("entry-{number}"));
    let origin = (2..=35)
        .find(is_other)
        .expect("a host that is no neighbour");
    harness.add_worker("w1");
    harness.receive_batch(origin, 1, vec![]);
    harness.step(FleetInput::BatchEnded(format!("entry-{origin}"), true));
    let status = harness.batch(origin, 2, vec![common::waiting_status()]);
    harness.step(FleetInput::Batch(status, None));
    acknowledge_batch(&mut harness, origin);
    harness.receive_batch(origin, 3, vec![chunk(5, 1)]);
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    // A heartbeat goes out as soon as the task arrives.
    let is_to_origin = |output: &FleetOutput| match output {
        FleetOutput::SendBatch(host, _, _, _) => *host == format!("entry-{origin}"),
        _ => false,
    };
    expect_that!(harness.outputs.iter().any(is_to_origin), eq(true));
    harness.outputs.clear();
    acknowledge_batch(&mut harness, origin);
    let mut last = harness.now;
    for _ in 0..600 {
        harness.advance_at_once(1);
        for output in std::mem::take(&mut harness.outputs) {
            if let FleetOutput::SendBatch(host, _, _, _) = output {
                if host == format!("entry-{origin}") {
                    last = harness.now;
                }
                harness.step(FleetInput::BatchEnded(host, true));
            }
        }
        assert_that!(harness.now - last, le(Duration::from_millis(250)));
    }
}

/// Gets the neighbours of every host of a site after an evacuation.
fn neighbours_after_evacuation(
    hosts: u8,
    domains: u8,
    evacuated: &[&str],
) -> BTreeMap<String, BTreeSet<String>> {
    let site = site(hosts, domains);
    let of = |number| {
        let mut harness = host(number, domains, &site);
        notified(&mut harness);
        harness.evacuate(1, evacuated);
        harness.step(FleetInput::Peers(site.clone()));
        let notified = notified(&mut harness);
        (format!("entry-{number}"), notified)
    };
    (1..=hosts).map(of).collect()
}

/// Guards against a host without serving workers whose neighbours have none
/// either, against the tasks of a whole domain that go to a few hosts, and against
/// a cost of statuses that grows with the number of evacuated hosts.
#[gtest]
fn hosts_in_an_evacuated_domain_are_spread_over_the_others() {
    let sites: [(u8, u8, &[&str]); 5] = [
        (45, 3, &["d1"]),
        (33, 4, &["d0"]),
        (45, 3, &["d0", "d2"]),
        (HOSTS, 8, &["d3"]),
        (HOSTS, 8, &["d1", "d2", "d3", "d4", "d5", "d6", "d7"]),
    ];
    for (hosts, domains, evacuated) in sites {
        let neighbours = neighbours_after_evacuation(hosts, domains, evacuated);
        let number = |id: &String| id["entry-".len()..].parse::<u8>().expect("a number");
        let is_evacuated = |id: &&String| evacuated.contains(&domain(number(id), domains).as_str());
        let mut attached = Vec::new();
        for (host, notified) in &neighbours {
            let inside = notified.iter().filter(is_evacuated).count();
            if is_evacuated(&host) {
                expect_that!(inside, eq(0), "{host}, evacuated {evacuated:?}");
                expect_that!(notified.len(), ge(2), "{host}, evacuated {evacuated:?}");
            } else {
                attached.push(inside);
                expect_that!(notified.len() - inside, ge(3), "{host}");
            }
            for other in notified {
                expect_that!(neighbours[other].contains(host), eq(true), "{host} {other}");
            }
        }
        // Selections that follow the ranks stay the same when other hosts join or
        // leave, so some hosts are selected less often than others.
        let mean = attached.iter().sum::<usize>() as f64 / attached.len() as f64;
        let (least, most) = (attached.iter().min(), attached.iter().max());
        let least_and_most = (
            *least.expect("a host") as f64,
            *most.expect("a host") as f64,
        );
        let bounds = (ge((mean / 2.0).floor()), le(mean.ceil() + 1.0));
        expect_that!(least_and_most, bounds, "{evacuated:?}: {attached:?}");
        expect_that!(most, some(le(&14)), "evacuated {evacuated:?}");
        let all: usize = neighbours.values().map(BTreeSet::len).sum();
        expect_that!(all / usize::from(hosts), le(MAX_MEAN_NEIGHBOURS));
    }
}

/// Guards against neighbours of an evacuation that stay after the return to
/// service, and against a site that falls apart when all domains are evacuated.
#[gtest]
fn neighbours_are_the_former_ones_without_a_remaining_domain_or_after_a_return() {
    let site = site(45, 3);
    let mut harness = host(1, 3, &site);
    let before = notified(&mut harness);
    let lists: [&[&str]; 4] = [&["d1"], &[], &["d0", "d1", "d2"], &["elsewhere"]];
    for (revision, evacuated) in (1..).zip(lists) {
        harness.evacuate(revision, evacuated);
        harness.step(FleetInput::Peers(site.clone()));
        let is_former = notified(&mut harness) == before;
        expect_that!(
            is_former,
            eq(evacuated != ["d1"]),
            "evacuated {evacuated:?}"
        );
    }
}
