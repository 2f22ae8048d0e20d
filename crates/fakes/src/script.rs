//! The standard site and script of the fault matrix.

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use reelreel_core::settings::{
    ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsPath, SettingsTree,
    read_tree,
};

use crate::{
    engine::EngineConfig,
    fault::FaultPlan,
    site::{CallerRequest, FakeSite, SiteAction, SiteConfig, SiteMutation},
};

/// The adapters of the site; more than its engines have slots for.
const ADAPTERS: [(&str, &str); 7] = [
    ("north", "brakes"),
    ("north", "chains"),
    ("north", "bells"),
    ("south", "receipts"),
    ("south", "audits"),
    ("south", "claims"),
    ("south", "travel"),
];

/// The parameters of the script.
#[derive(Debug, Clone, Copy)]
pub struct SiteScript {
    /// The seed of the callers and the site.
    pub seed: u64,
    /// When the random requests, which start after 3 s, stop, in milliseconds.
    pub calls_until: u64,
    /// The mean interval between random requests, in milliseconds.
    pub mean_call_interval_ms: u64,
    /// The end of the run, in milliseconds.
    pub end: u64,
    /// Whether engine 2 checks fences.
    pub fenced: bool,
    /// The disabled mechanism, if any.
    pub mutation: Option<SiteMutation>,
}

impl SiteScript {
    /// Returns the parameters of the fault matrix.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            calls_until: 32_000,
            mean_call_interval_ms: 120,
            end: 60_000,
            fenced: true,
            mutation: None,
        }
    }
}

/// Returns the initial settings of the site.
pub fn standard_tree() -> SettingsTree {
    let mut text = String::from(
        "deadline_ms = 8000\n[service.assist]\nbase_model = \"base\"\n\
         [service.orders]\nkind = \"plain\"\npath_prefix = \"/orders\"\nrepeatable = false\n",
    );
    for (organisation, adapter) in ADAPTERS {
        let table = format!("service.assist.organisation.{organisation}.adapter.{adapter}");
        text.push_str("\n[");
        text.push_str(&table);
        text.push_str("]\nversion = 1\nversions = [1, 2]\n");
    }
    // Never fails: the text is fixed.
    read_tree(&text).unwrap_or_default()
}

fn publication(id: &str, base_revision: u64, edits: Vec<SettingsEdit>) -> ChangeRecord {
    ChangeRecord {
        format: 1,
        change_id: id.to_owned(),
        base_revision,
        author: String::from("script"),
        message: String::new(),
        edits,
    }
}

/// Creates the site of the fault matrix: two halls with two hosts each, three engines with two
/// slots each, two plain servers and seven adapters with two versions each.
pub fn standard_site(script: SiteScript, plan: FaultPlan) -> FakeSite {
    let engine = |engine, hall, checks_fence| EngineConfig {
        engine,
        hall,
        service: String::from("assist"),
        slots: 2,
        streams: 8,
        checks_fence,
    };
    let mut config = SiteConfig::new(script.seed);
    config.hosts = vec![(1, 1), (2, 1), (3, 2), (4, 2)];
    config.engines = vec![engine(1, 1, true), engine(2, 1, script.fenced), engine(3, 2, true)];
    config.servers = vec![(1, 1), (2, 2)];
    config.mutation = script.mutation;
    let mut site = FakeSite::new(config, plan);
    let edits = SettingsTree::default().diff_edits(&standard_tree());
    site.schedule_action(10, SiteAction::Publish(publication("first", 0, edits)));
    schedule_publications(&mut site);
    site.schedule_action(12_000, SiteAction::DrainHost(2));
    site.schedule_action(18_000, SiteAction::DrainEngine(3));
    schedule_requests(&mut site, script);
    site
}

/// How long before the end the final requests start, in milliseconds.
pub(crate) const FINAL_REQUESTS_MS: u64 = 20_000;

fn schedule_publications(site: &mut FakeSite) {
    let path = SettingsPath::site().child("assist").child("north").child("brakes");
    let versions = [(6_000, 2), (14_000, 1), (22_000, 2)];
    for (index, (at, version)) in versions.into_iter().enumerate() {
        let action = EditAction::Set(SettingKey::Version, SettingValue::Integer(version));
        let edits = vec![SettingsEdit { path: path.clone(), action }];
        // Only changes of the same path conflict, so changes of other paths do not reject these.
        let base = u64::try_from(index).unwrap_or(0) + 1;
        let record = publication(&format!("version-{index}"), base, edits);
        site.schedule_action(at, SiteAction::Publish(record));
    }
}

fn schedule_requests(site: &mut FakeSite, script: SiteScript) {
    let mut rng = Pcg64Mcg::seed_from_u64(script.seed ^ 0x5eed);
    let mut at = 3_000;
    let mut number = 0;
    while at < script.calls_until {
        number += 1;
        schedule_random_request(site, &mut rng, at, number);
        at += rng.random_range(1..2 * script.mean_call_interval_ms);
    }
    // The final requests name no more adapters than fit into the slots and must be answered once
    // no fault is active.
    let cached_adapters = ADAPTERS.iter().take(4).cycle();
    for (index, (organisation, adapter)) in (0..20).zip(cached_adapters) {
        let request = CallerRequest {
            adapter: format!("assist/{organisation}/{adapter}"),
            version: Some(1),
            repeatable: Some(true),
            max_wait_ms: 9_000,
            ..random_request(&mut rng)
        };
        site.schedule_request(script.end - FINAL_REQUESTS_MS + index * 500, request);
    }
}

fn random_request(rng: &mut Pcg64Mcg) -> CallerRequest {
    let index = rng.random_range(0..ADAPTERS.len()).min(rng.random_range(0..ADAPTERS.len()));
    let (organisation, adapter) = ADAPTERS[index];
    CallerRequest {
        host: None,
        adapter: format!("assist/{organisation}/{adapter}"),
        version: [None, None, Some(1), Some(2)].choose(rng).copied().flatten(),
        key: None,
        repeatable: [None, Some(true), Some(false)].choose(rng).copied().flatten(),
        max_wait_ms: rng.random_range(2_000..9_000),
        tokens: rng.random_range(5..250),
    }
}

fn schedule_random_request(site: &mut FakeSite, rng: &mut Pcg64Mcg, at: u64, number: u64) {
    let mut request = random_request(rng);
    match rng.random_range(0..10) {
        // The same idempotency key is sent twice, possibly to different hosts.
        0 => {
            request.key = Some(format!("key-{number}"));
            request.repeatable = None;
            site.schedule_request(at, request.clone());
            site.schedule_request(at + rng.random_range(0..400), request);
        }
        1 => {
            request.adapter = String::new();
            request.version = None;
            request.repeatable = None;
            site.schedule_request(at, request);
        }
        _ => site.schedule_request(at, request),
    }
}
