//! Cost of the settings tree: parsing, building views, applying changes and exchanging them.

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

/// Numbers of services at which cost is measured: one to four quarters of the target size.
const SERVICE_COUNTS: [usize; 4] = [475, 950, 1_425, 1_900];
/// Numbers of services in the subtree of one account at which its size is measured.
const SERVICES_PER_ACCOUNT: [usize; 5] = [1, 6, 12, 25, 50];
/// Services of a mean account at target size: 1,900 services over 300 accounts, rounded.
const MEAN_SERVICES_PER_ACCOUNT: usize = 6;
/// Number of runs of which the median time is taken.
const RUNS: usize = 5;

/// Runs all measurements and returns their series.
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

/// Memory in bytes of a balancer's settings: YAML, parsed specs, view and keys.
///
/// Errors: the kernel does not report the memory in use, or the settings are incomplete.
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

/// Bytes of the body of a typical fetched change: one weight in the middle of the subtree of a mean
/// account.
pub(crate) fn typical_delta_bytes() -> u64 {
    delta_bytes(MEAN_SERVICES_PER_ACCOUNT, set_weight) as u64
}

/// Size of one account's YAML and of the deltas for three typical changes.
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

/// Runs one measurement at each size and returns the series.
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

/// Time to parse and validate all settings and to build the view, as at the start of a balancer.
fn start_ms(services: usize) -> f64 {
    let subtrees = subtree_yamls(DeploymentSize::with_services(services));
    median_ms(|| {
        std::hint::black_box(load_settings(&subtrees).view());
    })
}

/// Time to apply one changed weight: parse and validate the subtree, and build the new view.
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

/// Changes a weight in the middle of the YAML. The delta also covers the version, which is in the
/// second line.
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
    // Encoding cannot fail: the values consist only of lists, numbers and text.
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

/// Median processor time of several runs of `work`, in milliseconds.
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
