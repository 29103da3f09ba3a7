//! Cost of the settings tree: texts, views, changes and what is exchanged about them.

use std::sync::Arc;
use std::time::Duration;

use decision::keys::{AccountId, Version};
use decision::view::{self, AccountSpec};
use settings::ActiveSettings;
use wire::delta::Delta;
use wire::exchange::{Digest, DigestEntry};
use wire::sealed::{AccountKeyring, KeyId};

use super::{list, processor_time, resident_bytes};
use crate::control::exchange_overhead_bytes;
use crate::results::{Results, Series};
use crate::world::{DeploymentSize, account_name, account_yaml, root_yaml};

/// Quarters of the target: services at which slopes are taken.
const SERVICE_COUNTS: [usize; 4] = [475, 950, 1_425, 1_900];
/// Services in one account's subtree.
const SERVICES_PER_ACCOUNT: [usize; 5] = [1, 6, 12, 25, 50];
/// Services of the target's mean account: 1,900 over 300.
const MEAN_SERVICES_PER_ACCOUNT: usize = 6;
/// Every time is the median of so many runs.
const RUNS: usize = 5;

/// Measures everything and returns the series.
pub fn measure() -> Results {
    let x = "services (and accounts and upstreams in proportion)";
    let mut series = vec![
        series_over("view_build_ms", x, "ms of processor", &SERVICE_COUNTS, view_build_ms),
        series_over("keys_derive_ms", x, "ms of processor", &SERVICE_COUNTS, keys_derive_ms),
        series_over("start_ms", x, "ms of processor", &SERVICE_COUNTS, start_ms),
        series_over("change_ms", x, "ms of processor a change", &SERVICE_COUNTS, change_ms),
        series_over("tree_bytes", x, "B of YAML", &SERVICE_COUNTS, tree_bytes),
        series_over("digest_bytes", x, "B a full digest", &SERVICE_COUNTS, digest_bytes),
    ];
    let exchange = [(1.0, exchange_overhead_bytes() as f64)];
    series.push(Series::new("exchange_bytes", "exchanges", "B besides the body", &exchange));
    series.extend(account_series());
    series.extend(list::series());
    Results { command: "gooseberrysill-load tree".into(), series }
}

/// Memory of a balancer's settings: texts, checked specs, view and keys.
///
/// Errors: the kernel does not say how much memory is in use.
pub fn memory(services: u64) -> anyhow::Result<f64> {
    let size = DeploymentSize::with_services(services as usize);
    let before = resident_bytes()?;
    let active = load_settings(&subtree_yamls(size));
    let view = active.view();
    let keys = derive_keys(size.accounts);
    let used = resident_bytes()? - before;
    anyhow::ensure!(view.services().len() == size.services && keys.len() == size.accounts);
    Ok(used as f64)
}

/// Body of one fetched change of a mean account: one weight in the middle of the subtree.
pub(crate) fn typical_delta_bytes() -> u64 {
    delta_bytes(MEAN_SERVICES_PER_ACCOUNT, set_weight) as u64
}

/// Sizes of one account's text and of three usual changes.
fn account_series() -> [Series; 4] {
    let x = "services of the account (6 upstreams each)";
    let delta = |edit: fn(&mut AccountSpec)| move |services: usize| delta_bytes(services, edit);
    [
        series_over("subtree_bytes", x, "B of YAML", &SERVICES_PER_ACCOUNT, |services| {
            account_yaml(&account_spec(services)).len() as f64
        }),
        series_over(
            "delta_weight_bytes",
            x,
            "B of delta",
            &SERVICES_PER_ACCOUNT,
            delta(set_weight),
        ),
        series_over("delta_add_bytes", x, "B of delta", &SERVICES_PER_ACCOUNT, delta(add_upstream)),
        series_over(
            "delta_replace_bytes",
            x,
            "B of delta",
            &SERVICES_PER_ACCOUNT,
            delta(set_all_weights),
        ),
    ]
}

/// A series of one measurement over sizes.
pub(super) fn series_over(
    name: &str,
    x: &str,
    y: &str,
    sizes: &[usize],
    measure: impl Fn(usize) -> f64,
) -> Series {
    let points: Vec<(f64, f64)> = sizes.iter().map(|&size| (size as f64, measure(size))).collect();
    Series::new(name, x, y, &points)
}

fn view_build_ms(services: usize) -> f64 {
    let accounts = DeploymentSize::with_services(services).accounts();
    median_ms(|| {
        std::hint::black_box(view::build(&accounts));
    })
}

fn keys_derive_ms(services: usize) -> f64 {
    let accounts = DeploymentSize::with_services(services).accounts;
    median_ms(|| {
        std::hint::black_box(derive_keys(accounts));
    })
}

fn derive_keys(accounts: usize) -> Vec<AccountKeyring> {
    let masters = [(KeyId(1), [7; 32]), (KeyId(2), [8; 32])];
    let ids = (0..accounts).map(|account| AccountId::of(&account_name(account)));
    ids.filter_map(|id| AccountKeyring::derive(&masters, id)).collect()
}

/// Parsing, checking and building everything, as at the start of a balancer.
fn start_ms(services: usize) -> f64 {
    let subtrees = subtree_yamls(DeploymentSize::with_services(services));
    median_ms(|| {
        std::hint::black_box(load_settings(&subtrees).view());
    })
}

/// One changed weight: parsing and checking the subtree, and the new view.
fn change_ms(services: usize) -> f64 {
    let size = DeploymentSize::with_services(services);
    let mut active = load_settings(&subtree_yamls(size));
    let mut spec = size.accounts().swap_remove(0);
    median_ms(|| {
        spec.version = Version(spec.version.0 + 1);
        spec.services[0].upstreams[0].weight += 1;
        let outcome = active.accept_account(&spec.name, &account_yaml(&spec));
        assert_eq!(outcome, settings::Outcome::Accepted(spec.version));
        std::hint::black_box(active.view());
    })
}

fn tree_bytes(services: usize) -> f64 {
    let subtrees = subtree_yamls(DeploymentSize::with_services(services));
    subtrees.iter().map(|(_, yaml)| yaml.len()).sum::<usize>() as f64
}

fn digest_bytes(services: usize) -> f64 {
    let accounts = DeploymentSize::with_services(services).accounts;
    let entry = |account| DigestEntry { account: account_name(account).into(), version: 3_800 };
    let digest = Digest {
        current: true,
        confirmed_age_ms: 9_000,
        root_version: 9,
        accounts: (0..accounts).map(entry).collect(),
    };
    encoded_bytes(&digest)
}

fn account_spec(services: usize) -> AccountSpec {
    DeploymentSize { accounts: 1, services, upstreams: services * 6 }.accounts().swap_remove(0)
}

fn delta_bytes(services: usize, edit: fn(&mut AccountSpec)) -> f64 {
    let old = account_spec(services);
    let mut new = old.clone();
    new.version = Version(2);
    edit(&mut new);
    let (old_yaml, new_yaml) = (account_yaml(&old), account_yaml(&new));
    let delta = Delta::between(old.version, &old_yaml, &new_yaml);
    assert_eq!(delta.apply(&old_yaml).as_ref(), Some(&new_yaml));
    encoded_bytes(&delta)
}

/// In the middle of the text; the version stands in its second line.
fn set_weight(account: &mut AccountSpec) {
    let middle = account.services.len() / 2;
    account.services[middle].upstreams[3].weight = 50;
}

fn add_upstream(account: &mut AccountSpec) {
    let middle = account.services.len() / 2;
    let upstreams = &mut account.services[middle].upstreams;
    let mut added = upstreams[0].clone();
    added.name = "upstream-added".into();
    upstreams.push(added);
}

fn set_all_weights(account: &mut AccountSpec) {
    for service in &mut account.services {
        service.upstreams.iter_mut().for_each(|upstream| upstream.weight = 90);
    }
}

fn encoded_bytes(value: &impl serde::Serialize) -> f64 {
    // Plain lists of numbers and text can always be encoded.
    rmp_serde::to_vec(value).map_or(0, |bytes| bytes.len()) as f64
}

fn subtree_yamls(size: DeploymentSize) -> Vec<(Arc<str>, String)> {
    size.accounts().iter().map(|spec| (spec.name.clone(), account_yaml(spec))).collect()
}

fn load_settings(subtrees: &[(Arc<str>, String)]) -> ActiveSettings {
    let mut active = ActiveSettings::default();
    active.accept_root(&root_yaml(subtrees.len()));
    for (name, yaml) in subtrees {
        let outcome = active.accept_account(name, yaml);
        assert!(matches!(outcome, settings::Outcome::Accepted(_)), "{outcome:?}");
    }
    active
}

/// Median processor time of a few runs.
pub(super) fn median_ms(mut work: impl FnMut()) -> f64 {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = processor_time();
            work();
            processor_time() - start
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2].as_secs_f64() * 1e3
}
