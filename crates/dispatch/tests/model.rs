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

use common::history::check;
use world::World;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

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
