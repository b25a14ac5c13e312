//! The replicated state: claims against a plain model, and bounded history.

mod common;

use std::collections::BTreeMap;

use common::{change_command, fixed_cases};
use hornbeam_control::{
    CLAIM_MARGIN_MS, CONFIGURATIONS_KEPT, ChangeResult, ClaimCommand, ClaimResult, Command,
    CommandResult, ControlState,
};
use proptest::prelude::*;

/// Largest time in the cases, in ms; validities end around expiries.
const HORIZON_MS: u64 = 3 * CLAIM_MARGIN_MS;

fn claims() -> impl Strategy<Value = Vec<ClaimCommand>> {
    let claim = (0..3u8, 0..3u8, 0..HORIZON_MS, 0..HORIZON_MS);
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

/// Decides a claim from all earlier ones that were recorded.
fn expected(
    clock_ms: u64,
    held: &mut BTreeMap<String, (String, u64)>,
    claim: &ClaimCommand,
) -> ClaimResult {
    held.retain(|_, (_, valid_until)| *valid_until + CLAIM_MARGIN_MS > clock_ms);
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

    /// Guards against a claim that is forgotten while its request may still
    /// run, or kept for ever, also when leaders' clocks go back and when the
    /// state goes through a snapshot.
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

/// Guards against a state that grows with every change, and against a resend
/// or a rollback that a snapshot makes impossible.
#[test]
fn earlier_configurations_are_bounded() {
    let mut state = ControlState::default();
    let last = CONFIGURATIONS_KEPT as u64 + 2;
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
