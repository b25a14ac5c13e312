//! Tests of the loader, the table of settings and the configuration files of the
//! sites.

use std::fmt::Write as _;
use std::path::PathBuf;

use goldenfile::Mint;
use googletest::prelude::*;
use hornbeam_config::{MAX_FINDINGS, SETTINGS, Setting, SettingKind, load};
use hornbeam_core::Error;
use hornbeam_core::api::operator::{CheckRequest, SourceFile};
use hornbeam_core::config::{Institution, Service, Team};
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};

const VALID_BASE: &str = include_str!("../../../config/base.toml");
const DALA: &str = include_str!("../../../config/sites/dala.toml");
const WICKMARATNE: &str = include_str!("../../../config/sites/wickmaratne.toml");

fn files(base: &str, overlay: &str) -> CheckRequest {
    let file = |name: &str, text: &str| SourceFile {
        name: name.into(),
        text: text.into(),
    };
    CheckRequest {
        base: file("base.toml", base),
        overlay: file("site.toml", overlay),
    }
}

fn findings_of(base: &str, overlay: &str) -> Vec<String> {
    match load(&files(base, overlay)) {
        Err(Error::Invalid(findings)) => findings.iter().map(ToString::to_string).collect(),
        other => panic!("findings expected, got {other:?}"),
    }
}

/// Guards against shipping site files that the loader rejects, or that swap the
/// two users' terms for message count and response time.
#[gtest]
fn site_files_are_valid() {
    let dala = load(&files(VALID_BASE, DALA)).unwrap();
    expect_that!(dala.failure_domains, len(eq(4)));
    expect_that!(dala.services["subscribe"].institution, eq("dala"));
    expect_that!(dala.institutions["dala"].max_tasks_per_exchange, gt(1));
    let wickmaratne = load(&files(VALID_BASE, WICKMARATNE)).unwrap();
    let terms = &wickmaratne.institutions["wickmaratne"];
    expect_that!(terms.max_tasks_per_exchange, eq(1));
    expect_that!(terms.teams.len(), gt(1));
    expect_that!(
        wickmaratne.services.keys().collect::<Vec<_>>(),
        contains(eq(&"parish-orders"))
    );
    expect_that!(
        wickmaratne.services.keys().collect::<Vec<_>>(),
        contains(eq(&"smoke-test"))
    );
}

/// Guards against a merge that loses keys of the base, concatenates arrays, or
/// lets the base override the overlay.
#[gtest]
fn overlay_is_merged_recursively_and_takes_precedence() {
    let overlay = "failure_domains = ['z']\nservices.subscribe.max_timeout_ms = 700\n\
                   [institutions.dala.teams.pricing]\nquota_slots = 7\n";
    let base = format!("entry_hosts = 3\n{DALA}");
    let merged = load(&files(&base, overlay)).unwrap();
    expect_that!(merged.failure_domains, elements_are![eq("z")]);
    expect_that!(merged.services["subscribe"].max_timeout_ms, eq(700));
    expect_that!(merged.services["subscribe"].max_tasks_per_job, eq(570));
    let teams = &merged.institutions["dala"].teams;
    expect_that!(teams["pricing"].quota_slots, eq(7));
    expect_that!(teams["pricing"].weight, eq(2));
    expect_that!(teams.len(), eq(3));
}

/// Guards against findings that are lost, name the wrong file, or change their
/// text or location unnoticed. Each pair of files has one golden file.
#[gtest]
fn findings_of_invalid_files_match_the_golden_files() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let mut mint = Mint::new(&folder);
    for name in ["broken", "syntax", "missing"] {
        let read = |role: &str| std::fs::read_to_string(folder.join(format!("{name}-{role}.toml")));
        let findings = findings_of(&read("base").unwrap(), &read("site").unwrap());
        let mut golden = mint.new_goldenfile(format!("{name}.findings")).unwrap();
        std::io::Write::write_all(&mut golden, (findings.join("\n") + "\n").as_bytes()).unwrap();
    }
}

/// Guards against unbounded answers and run time for a file full of errors.
#[gtest]
fn number_of_findings_is_bounded() {
    let mut overlay = String::new();
    for number in 0..MAX_FINDINGS * 2 {
        writeln!(overlay, "unknown-{number} = 1").unwrap();
    }
    let findings = findings_of(VALID_BASE, &overlay);
    expect_that!(findings, len(eq(MAX_FINDINGS)));
    expect_that!(
        findings.last().unwrap(),
        contains_substring("more findings are not listed")
    );
    let findings = findings_of(VALID_BASE, &" ".repeat(2 << 20));
    expect_that!(
        findings,
        elements_are![contains_substring("larger than 1048576 bytes")]
    );
}

fn default_text(setting: &Setting) -> String {
    let default = setting.default.map(|value| value.to_string());
    default.unwrap_or_else(|| "required".into())
}

fn kind_text(kind: SettingKind) -> &'static str {
    match kind {
        SettingKind::Id => "id",
        SettingKind::IdList => "array of ids",
        SettingKind::InstitutionId => "id of an institution",
        SettingKind::Integer => "integer",
        SettingKind::Map => "table by id",
    }
}

/// Guards against a settings page that lacks a setting, or states units, defaults
/// or bounds that differ from those that the loader enforces.
#[gtest]
fn page_lists_every_setting() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = SETTINGS
        .iter()
        .map(|setting| {
            format!(
                "| `{}` | {} | {} | {} | {} to {} | {} |",
                setting.path,
                kind_text(setting.kind),
                setting.unit,
                default_text(setting),
                setting.bounds.min,
                setting.bounds.max,
                setting.meaning,
            )
        })
        .collect();
    expect_that!(rows.join("\n"), eq(&expected.join("\n")));
}

/// Guards against defaults in the table of settings that differ from those of the
/// configuration types.
#[gtest]
fn defaults_agree_with_the_types() {
    let minimal = "site = 's'\nfailure_domains = ['a']\nentry_hosts = 1\n\
                   services.x.institution = 'i'\ninstitutions.i.teams.t = {}\n";
    let loaded = load(&files(minimal, "")).unwrap();
    let service = Service {
        institution: "i".into(),
        ..Service::default()
    };
    let institution = Institution {
        teams: [("t".into(), Team::default())].into_iter().collect(),
        ..Institution::default()
    };
    expect_that!(loaded.services["x"], eq(&service));
    expect_that!(loaded.institutions["i"], eq(&institution));
}

/// Builds an overlay that sets one integer of a valid file.
fn overlay_with(setting: &Setting, value: i128) -> String {
    let path = setting.path.replace("<service>", "subscribe");
    let path = path
        .replace("<institution>", "dala")
        .replace("<team>", "orders");
    // The maximum payload is only allowed for jobs with few tasks.
    let extra = if path.ends_with("max_payload_bytes") {
        "services.subscribe.max_tasks_per_job = 1\n"
    } else {
        ""
    };
    format!("{extra}{path} = {value}\n")
}

/// Guards against bounds that are off by one or not enforced at all.
#[gtest]
fn bounds_of_every_integer_are_enforced() {
    let base = format!("entry_hosts = 3\n{DALA}");
    for setting in SETTINGS.iter().filter(|s| s.kind == SettingKind::Integer) {
        let (min, max) = (setting.bounds.min.into(), setting.bounds.max.into());
        for value in [min, max] {
            let loaded = load(&files(&base, &overlay_with(setting, value)));
            expect_that!(loaded, ok(anything()), "{} = {value}", setting.path);
        }
        for value in [min - 1, max + 1, -1, i128::from(i64::MIN)] {
            let findings = findings_of(&base, &overlay_with(setting, value));
            expect_that!(
                findings,
                elements_are![all!(
                    starts_with("site.toml:"),
                    contains_substring("out of range")
                )],
                "{} = {value}",
                setting.path
            );
        }
    }
}

/// Generates texts that are close to valid files, so that every part of the
/// loader runs.
fn config_texts() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just("[services.a]".to_owned()),
        Just("[[institutions]]".to_owned()),
        Just("[institutions.\"é\\n\".teams.t]".to_owned()),
        Just("failure_domains = ['x', 'x', 3, 'é']".to_owned()),
        "(site|entry_hosts|services|institutions|teams|weight|quota_slots|institution)(\\.[a-c])? = \
         (1|-1|1e3|'a'|true|\\{\\}|\\{ teams = 1 \\}|\\[\\]|2026-12-04|\"\\PC{0,3}\")",
        "\\PC{0,20}",
    ];
    let lines = proptest::collection::vec(line, 0..8).prop_map(|lines| lines.join("\n"));
    let truncated = (
        Just(VALID_BASE.to_owned() + DALA),
        any::<proptest::sample::Index>(),
    )
        .prop_map(|(text, index)| text.chars().take(index.index(text.len())).collect());
    prop_oneof![lines, truncated, any::<String>()]
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Guards against a panic on any input, and against findings that differ
    /// between runs or name no file.
    #[test]
    fn any_text_loads_or_has_findings(base in config_texts(), overlay in config_texts()) {
        let request = files(&base, &overlay);
        let result = load(&request);
        prop_assert_eq!(&result, &load(&request));
        if let Err(Error::Invalid(findings)) = result {
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.iter().all(|f| f.place.line > 0 && !f.place.source.is_empty()));
        } else {
            prop_assert!(result.is_ok());
        }
    }
}
