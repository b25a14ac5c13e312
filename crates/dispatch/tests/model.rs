//! Model test: several dispatchers and fake servers in one virtual time, with
//! random losses at every point of an exchange.

#[path = "model/backend.rs"]
mod backend;
mod common;
#[path = "model/plan.rs"]
mod plan;
#[path = "model/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use common::history::check;
use world::World;

/// Gets fixed seeds, so that every run gives the same verdict, unless
/// `PROPTEST_CASES` asks for a search with new ones.
fn config() -> ProptestConfig {
    if std::env::var_os("PROPTEST_CASES").is_some() {
        return ProptestConfig::default();
    }
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a task that starts twice, a job without exactly one
    /// sound answer, a refused job that started, work for a server that left,
    /// exceeded limits, and work that never ends.
    #[test]
    fn guarantees_hold(plan in plan::plans()) {
        let world = World::run(&plan);
        let violations = check(&world.history);
        prop_assert!(violations.is_empty(), "{violations:?}\n{}", world.trace.join("\n"));
        let leftovers = world.leftovers();
        prop_assert!(leftovers.is_empty(), "{leftovers:?}\n{}", world.trace.join("\n"));
    }
}
