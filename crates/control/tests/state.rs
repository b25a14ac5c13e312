//! The replicated state: claims compared with a model, and bounded history.

mod common;

use std::collections::BTreeMap;

use common::{change_command, fixed_cases};
use hornbeam_control::{
    CLAIM_CLOCK_SKEW_MARGIN_MS, ChangeResult, ClaimCommand, ClaimResult, Command, CommandResult,
    ControlState, MAX_EARLIER_CONFIGURATIONS,
};
use proptest::prelude::*;

/// Maximum time in the cases, in ms, so that claims expire within a case.
const MAX_TIME_MS: u64 = 3 * CLAIM_CLOCK_SKEW_MARGIN_MS;

fn claims() -> impl Strategy<Value = Vec<ClaimCommand>> {
    let claim = (0..3u8, 0..3u8, 0..MAX_TIME_MS, 0..MAX_TIME_MS);
    let command =
        claim.prop_map(
            |(request, token, valid_until_unix_ms, now_unix_ms)| ClaimCommand {
                key: format!("r{request}"),
                token: format!("job{token}"),
                valid_until_unix_ms,
                now_unix_ms,
            },
        );
    prop::collection::vec(command, 1..40)
}

/// Computes the result of a claim from the claims held before.
fn expected(
    clock_ms: u64,
    held: &mut BTreeMap<String, (String, u64)>,
    claim: &ClaimCommand,
) -> ClaimResult {
    held.retain(|_, (_, valid_until)| *valid_until + CLAIM_CLOCK_SKEW_MARGIN_MS > clock_ms);
    if claim.valid_until_unix_ms <= clock_ms {
        return ClaimResult::Expired;
    }
    let holder = held.entry(claim.key.clone());
    let (token, valid_until) = holder.or_insert_with(|| (claim.token.clone(), 0));
    if *token != claim.token {
        return ClaimResult::AlreadyClaimed;
    }
    *valid_until = claim.valid_until_unix_ms.max(*valid_until);
    ClaimResult::Recorded
}

proptest! {
    #![proptest_config(fixed_cases(300))]

    /// Guards against a claim that is dropped while its request may still run or
    /// that is kept forever, also with leader clocks that go back and with a
    /// state that is restored from a snapshot.
    #[test]
    fn claims_expire_by_the_largest_clock(claims in claims()) {
        let mut state = ControlState::default();
        let mut held = BTreeMap::new();
        let mut clock_ms = 0;
        for claim in &claims {
            clock_ms = claim.now_unix_ms.max(clock_ms);
            let result = state.apply(&Command::Claim(claim.clone()));
            let expected = expected(clock_ms, &mut held, claim);
            prop_assert_eq!(result, CommandResult::Claim(expected));
            prop_assert_eq!(state.claim_count(), held.len());
            let encoded = state.encode().expect("a state encodes");
            state = ControlState::decode(&encoded).expect("it decodes");
        }
    }
}

/// Guards against a state that grows without bound, and against a snapshot that
/// loses the results for repeated changes or the configurations for a rollback.
#[test]
fn earlier_configurations_are_bounded() {
    let mut state = ControlState::default();
    let last = MAX_EARLIER_CONFIGURATIONS as u64 + 2;
    for version in 0..last {
        state.apply(&change_command(version, &format!("c{version}"), "op"));
    }
    let encoded = state.encode().expect("a state encodes");
    let mut state = ControlState::decode(&encoded).expect("it decodes");
    assert_eq!(state.configuration_at(1), None);
    assert_eq!(
        state.configuration_at(2).map(|kept| kept.site.as_str()),
        Some("c1")
    );
    let first_again = state.apply(&change_command(0, "c0", "op"));
    assert_eq!(
        first_again,
        CommandResult::Change(ChangeResult::Accepted(1))
    );
    assert_eq!(state.version(), last);
}
