//! Building a view from validated subtrees.

use super::{Account, AccountSpec, Service, ServiceSpec, Upstream, UpstreamState, View};
use crate::keys::{
    AccountId, AccountKey, BucketIndex, ServiceId, ServiceKey, UpstreamId, UpstreamKey,
};
use crate::rank;

/// Builds a view. The subtrees must have been validated: names are unique, endpoints disjoint.
///
/// ```
/// use decision::{keys::Version, view};
/// let spec = view::AccountSpec { name: "cascadia".into(), version: Version(3), services: vec![] };
/// assert_eq!(view::build(&[spec]).accounts()[0].version, Version(3));
/// ```
pub fn build(specs: &[AccountSpec]) -> View {
    let mut accounts: Vec<Account> = specs.iter().map(account).collect();
    accounts.sort_by_key(|account| account.id);
    let mut view = View { accounts, ..View::default() };
    let mut services: Vec<(ServiceId, &AccountSpec, &ServiceSpec)> = specs
        .iter()
        .flat_map(|spec| spec.services.iter().map(move |service| (spec, service)))
        .map(|(spec, service)| (ServiceId::of(&spec.name, &service.name), spec, service))
        .collect();
    services.sort_by_key(|(id, _, _)| *id);
    for (id, spec, service) in services {
        push_service(&mut view, id, spec, service);
    }
    view.endpoints.sort_by_key(|(endpoint, _)| *endpoint);
    view
}

fn account(spec: &AccountSpec) -> Account {
    Account { id: AccountId::of(&spec.name), name: spec.name.clone(), version: spec.version }
}

fn push_service(view: &mut View, id: ServiceId, account: &AccountSpec, spec: &ServiceSpec) {
    let key = ServiceKey(view.services.len() as u32);
    let start = view.upstreams.len() as u32;
    let mut upstreams: Vec<Upstream> = spec
        .upstreams
        .iter()
        .map(|upstream| Upstream {
            id: UpstreamId::of(&account.name, &spec.name, &upstream.name),
            service: key,
            spec: upstream.clone(),
        })
        .collect();
    upstreams.sort_by_key(|upstream| upstream.id);
    let (ranking, ranks_per_bucket) = rank_buckets(id, start, &upstreams);
    view.upstreams.append(&mut upstreams);
    view.endpoints.extend(spec.endpoints.iter().map(|endpoint| (*endpoint, key)));
    let account_key = view.find_account(AccountId::of(&account.name)).unwrap_or(AccountKey(0));
    view.services.push(Service {
        id,
        account: account_key,
        spec: spec.clone(),
        upstreams: start..view.upstreams.len() as u32,
        ranking,
        ranks_per_bucket,
    });
}

fn rank_buckets(id: ServiceId, start: u32, upstreams: &[Upstream]) -> (Vec<UpstreamKey>, usize) {
    let candidates: Vec<(UpstreamId, u32)> = upstreams
        .iter()
        .filter(|upstream| upstream.spec.state != UpstreamState::Retired)
        .map(|upstream| (upstream.id, upstream.spec.weight.max(1)))
        .collect();
    let key_of = |id: UpstreamId| {
        let index = upstreams.partition_point(|upstream| upstream.id < id);
        UpstreamKey(start + index as u32)
    };
    let ranking = (0..rank::BUCKET_COUNT)
        .flat_map(|bucket| rank::order(id, BucketIndex(bucket), &candidates))
        .map(key_of)
        .collect();
    (ranking, candidates.len())
}
