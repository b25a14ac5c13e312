//! Which peers a host exchanges statuses with.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{Bench, address, chunk, confirm};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, FleetOutput, PeerInfo};

/// Hosts of a large site, in domains of equal size.
const HOSTS: u8 = 240;

/// Most neighbours that a host has on average, whatever the number of hosts: it
/// chooses three of its own domain and one of each of seven others, and is
/// chosen by as many.
const MAX_MEAN_NEIGHBOURS: usize = 20;

fn domain(host: u8, domains: u8) -> String {
    format!("d{}", host % domains)
}

fn site(hosts: u8, domains: u8) -> Vec<PeerInfo> {
    let place = |host| PeerInfo {
        host_id: format!("entry-{host}"),
        address: address(host),
        failure_domain: domain(host, domains),
    };
    (1..=hosts).map(place).collect()
}

/// Creates a host of a site that has just learned of the others.
fn host(number: u8, domains: u8, site: &[PeerInfo]) -> Bench {
    let mut bench = Bench::in_domain(number, &domain(number, domains));
    bench.step(FleetInput::Peers(site.to_vec()));
    bench
}

/// Gets the hosts that get a batch within four heartbeats, or have got one that
/// is not answered yet.
fn told(bench: &mut Bench) -> BTreeSet<String> {
    let mut told = BTreeSet::new();
    for _ in 0..4 {
        bench.skip(200);
        for output in std::mem::take(&mut bench.outputs) {
            if let FleetOutput::SendBatch(host, _, _) = output {
                bench.step(FleetInput::BatchEnded(host.clone(), true));
                told.insert(host);
            }
        }
    }
    told
}

fn neighbours(hosts: u8, domains: u8) -> BTreeMap<String, BTreeSet<String>> {
    let site = site(hosts, domains);
    let of = |number| {
        let told = told(&mut host(number, domains, &site));
        (format!("entry-{number}"), told)
    };
    (1..=hosts).map(of).collect()
}

/// Guards against statuses that cost every host more with each host that is
/// added, and against a host that gives tasks to a peer that does not tell it
/// of its room.
#[gtest]
fn statuses_go_to_a_bounded_number_of_neighbours_both_ways() {
    let neighbours = neighbours(HOSTS, 8);
    for (host, told) in &neighbours {
        for other in told {
            expect_that!(neighbours[other].contains(host), eq(true), "{host} {other}");
        }
    }
    let all: usize = neighbours.values().map(BTreeSet::len).sum();
    expect_that!(all / usize::from(HOSTS), le(MAX_MEAN_NEIGHBOURS));
}

/// Guards against a host that knows nobody in some failure domain, so that the
/// loss of its own one, or a crowd in it, leaves it without room.
#[gtest]
fn each_host_has_neighbours_in_every_domain() {
    for (hosts, domains) in [(12, 4), (35, 5), (HOSTS, 8)] {
        for (host, told) in neighbours(hosts, domains) {
            let number = |id: &String| id["entry-".len()..].parse::<u8>().expect("a number");
            let reached: BTreeSet<u8> = told.iter().map(|id| number(id) % domains).collect();
            expect_that!(reached.len(), eq(usize::from(domains)), "{host}");
        }
    }
}

/// Guards against a host that keeps to neighbours that are gone.
#[gtest]
fn neighbours_that_are_gone_are_replaced() {
    let site = site(35, 5);
    let mut bench = host(1, 5, &site);
    let before = told(&mut bench);
    let left: Vec<PeerInfo> = site
        .iter()
        .filter(|place| place.host_id == "entry-1" || !before.contains(&place.host_id))
        .cloned()
        .collect();
    for _ in 0..40 {
        bench.skip(100);
        bench.step(FleetInput::Peers(left.clone()));
    }
    told(&mut bench);
    let after = told(&mut bench);
    expect_that!(after.len(), ge(5));
    expect_that!(after.intersection(&before).count(), eq(0));
}

/// Guards against tasks that their origin gives up although they run, because
/// it is no neighbour and hears nothing.
#[gtest]
fn origin_of_a_running_task_is_told_although_it_is_no_neighbour() {
    let site = site(35, 5);
    let mut bench = host(1, 5, &site);
    let neighbours = told(&mut bench);
    let is_other = |number: &u8| !neighbours.contains(&format!("entry-{number}"));
    let origin = (2..=35)
        .find(is_other)
        .expect("a host that is no neighbour");
    bench.own("w1");
    bench.receive(origin, 1, vec![]);
    bench.step(FleetInput::BatchEnded(format!("entry-{origin}"), true));
    let status = bench.batch(origin, 2, vec![common::waiting_status()]);
    bench.step(FleetInput::Batch(status));
    confirm(&mut bench, origin);
    bench.receive(origin, 3, vec![chunk(5, 1)]);
    let order = bench.starts().remove(0);
    bench.accept(&order);
    bench.outputs.clear();
    let mut last = bench.now;
    for _ in 0..600 {
        bench.skip(1);
        for output in std::mem::take(&mut bench.outputs) {
            if let FleetOutput::SendBatch(host, _, _) = output {
                if host == format!("entry-{origin}") {
                    last = bench.now;
                }
                bench.step(FleetInput::BatchEnded(host, true));
            }
        }
        assert_that!(bench.now - last, le(Duration::from_millis(250)));
    }
}
