//! Contract with the platform's configuration service, which a fake server stands in for.

mod common;

use std::sync::Arc;

use common::{root, serve, store, subtree, unused_address, versions};
use rstest::rstest;
use shell::http::client::ClientError;
use shell::http::routes::{Reply, Routes};
use shell::settings_sync::Scope;
use shell::settings_sync::instances::Instances;
use shell::settings_sync::platform::{PlatformReader, ReadError};

/// Responses of the fake server. An empty body stands for status 404.
#[derive(Clone, Default)]
struct Fake {
    watch: &'static str,
    root: String,
    cascadia: String,
    bajio: String,
    status: u16,
}

const ALL_CHANGED: &str = r#"{"index":5,"changed":["root","cascadia","bajio"]}"#;

fn fake() -> Fake {
    Fake {
        watch: ALL_CHANGED,
        root: root(3),
        cascadia: subtree("cascadia", 7),
        bajio: subtree("bajio", 2),
        status: 200,
    }
}

fn reply(body: &str, status: u16) -> Reply {
    match (body, status) {
        ("", _) => Reply::error(404, "none"),
        (_, 200) => Reply::text(body),
        _ => Reply::error(status, "refused"),
    }
}

fn routes(fake: Fake) -> Routes {
    let Fake { watch, root, cascadia, bajio, status } = fake;
    Routes::default()
        .get("/v1/watch", move |_| reply(watch, 200))
        .get("/v1/root", move |_| reply(&root, 200))
        .get("/v1/accounts/cascadia", move |_| reply(&cascadia, status))
        .get("/v1/accounts/bajio", move |_| reply(&bajio, 200))
}

fn busy(status: u16) -> ReadError {
    ReadError::Client(ClientError::Busy { status, retry_after_ms: 0 })
}

/// `held` and `expected` are the versions in force before and after one poll. If a read fails, the
/// poll fails, so that the same index is polled again.
#[rstest]
#[case::first_read(fake(), Scope::All, &[], Ok(5), &[("bajio", 2), ("cascadia", 7)])]
#[case::nothing_changed(
    Fake { watch: r#"{"index":5,"changed":[]}"#, ..fake() },
    Scope::All, &[("cascadia", 6)], Ok(5), &[("cascadia", 6)],
)]
#[case::only_own_account(
    fake(), Scope::Account("cascadia".into()), &[], Ok(5), &[("cascadia", 7)],
)]
#[case::platform_has_older_version(
    Fake { cascadia: subtree("cascadia", 5), watch: r#"{"index":2,"changed":["cascadia"]}"#, ..fake() },
    Scope::All, &[("cascadia", 6)], Ok(2), &[("cascadia", 6)],
)]
#[case::over_budget(
    Fake { status: 429, ..fake() }, Scope::All, &[("cascadia", 6)], Err(busy(429)), &[("cascadia", 6)],
)]
#[case::server_error(
    Fake { status: 503, ..fake() }, Scope::All, &[], Err(busy(503)), &[],
)]
#[case::account_withdrawn(
    Fake { cascadia: String::new(), ..fake() }, Scope::All, &[], Ok(5), &[("bajio", 2)],
)]
#[case::bad_subtree_keeps_older(
    Fake { cascadia: "account: cascadia\nversion: 9\nservices: 4\n".into(), ..fake() },
    Scope::All, &[("cascadia", 6)], Ok(5), &[("bajio", 2), ("cascadia", 6)],
)]
#[case::subtree_of_other_account(
    Fake { cascadia: subtree("bajio", 9), ..fake() },
    Scope::All, &[("cascadia", 6)], Ok(5), &[("bajio", 2), ("cascadia", 6)],
)]
#[case::bad_root_keeps_older(
    Fake { root: "version: 4\naccounts: {}\n".into(), ..fake() },
    Scope::All, &[("cascadia", 6)], Ok(5), &[("bajio", 2), ("cascadia", 7)],
)]
#[case::watch_not_json(
    Fake { watch: "<html>", ..fake() }, Scope::All, &[], Err(ReadError::Decode), &[],
)]
#[case::watch_missing(
    Fake { watch: "", ..fake() }, Scope::All, &[],
    Err(ReadError::Client(ClientError::Status(404))), &[],
)]
fn poll_once(
    #[case] fake: Fake,
    #[case] scope: Scope,
    #[case] held: &[(&str, u64)],
    #[case] result: Result<u64, ReadError>,
    #[case] expected: &[(&str, u64)],
) {
    let store = store(scope, held);
    let reader = PlatformReader::new(serve(routes(fake)), store.clone(), Arc::default());
    assert_eq!(reader.poll(4), result);
    let expected: Vec<(String, u64)> =
        expected.iter().map(|(name, version)| ((*name).to_owned(), *version)).collect();
    assert_eq!(versions(&store), expected);
    store.mark_peers_asked();
    assert_eq!(store.is_current(), result.is_ok());
}

#[test]
fn poll_unreachable_platform() {
    let store = store(Scope::All, &[]);
    let reader = PlatformReader::new(unused_address(), store.clone(), Arc::default());
    assert!(matches!(reader.poll(0), Err(ReadError::Client(ClientError::Transport(_)))));
    store.mark_peers_asked();
    assert!(!store.is_current());
}

const BALANCER: &str = r#"{"instances":[{"name":"bal-c1","kind":"balancer","data_address":"127.0.0.1:1","control_address":"127.0.0.1:2","zone":"pnw-a","region":"pnw","state":"live"}]}"#;

#[rstest]
#[case::one_balancer(BALANCER, Ok(BALANCER.len()), 1)]
#[case::unknown_state(r#"{"instances":[{"state":"odd"}]}"#, Err(ReadError::Decode), 0)]
#[case::no_list("", Err(ReadError::Client(ClientError::Status(404))), 0)]
fn read_instance_list_once(
    #[case] body: &'static str,
    #[case] result: Result<usize, ReadError>,
    #[case] entries: usize,
) {
    let instances: Arc<Instances> = Arc::default();
    let address = serve(Routes::default().get("/v1/instances", move |_| reply(body, 200)));
    let reader = PlatformReader::new(address, store(Scope::All, &[]), instances.clone());
    assert_eq!(reader.read_instance_list(), result);
    assert_eq!(instances.list().len(), entries);
    assert_eq!(instances.generation(), entries as u64);
}
