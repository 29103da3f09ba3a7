//! Who runs which version, and who lags.

use shell::settings_sync::instances::Kind;

use crate::fleet::{Answer, Event, Status};

/// Kind of the events that tell when an instance took a version.
const ACCEPTED: &str = "settings_accepted";

/// One account's settings on one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct InstalledVersion {
    pub(super) instance: String,
    pub(super) account: String,
    /// `None` if the instance should have settings of the account and has none.
    pub(super) version: Option<u64>,
}

/// One line of the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Row {
    pub(super) installed: InstalledVersion,
    pub(super) lags: bool,
    /// When some instance took a newer version, in milliseconds since 1970.
    pub(super) since_ms: Option<u64>,
}

/// Settings on all instances that answered: every account on a balancer, its own on an agent.
pub(super) fn installed(answers: &[Answer<Status>]) -> Vec<InstalledVersion> {
    let answered = || answers.iter().filter_map(|a| Some((a, a.result.as_ref().ok()?)));
    let mut accounts: Vec<&str> = answered()
        .flat_map(|(_, status)| status.settings.iter().map(|entry| entry.account.as_str()))
        .collect();
    accounts.sort_unstable();
    accounts.dedup();
    let of_instance = |(answer, status): (&Answer<Status>, &Status)| -> Vec<InstalledVersion> {
        let listed = answer.target.served_upstream().map(|served| served.account.as_str());
        let is_balancer = status.kind == "balancer" || answer.target.kind() == Some(Kind::Balancer);
        let expected = |account: &str| is_balancer || listed == Some(account);
        let one = |account: &&str| {
            let entry = status.settings.iter().find(|entry| entry.account == **account);
            let version = entry.map(|entry| entry.version);
            let installed = InstalledVersion {
                instance: status.instance.clone(),
                account: (*account).to_owned(),
                version,
            };
            (version.is_some() || expected(account)).then_some(installed)
        };
        accounts.iter().filter_map(one).collect()
    };
    answered().flat_map(of_instance).collect()
}

/// Newest version of each account on any instance or at the platform, sorted by account.
pub(super) fn newest(
    installed: &[InstalledVersion],
    published: &[(String, u64)],
) -> Vec<(String, u64)> {
    let known = installed.iter().filter_map(|entry| Some((entry.account.clone(), entry.version?)));
    let mut versions: Vec<(String, u64)> = known.chain(published.iter().cloned()).collect();
    versions.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
    versions.dedup_by(|later, earlier| later.0 == earlier.0);
    versions
}

/// Whether a newer version exists.
pub(super) fn is_behind(installed: &InstalledVersion, newest: &[(String, u64)]) -> bool {
    let found = newest.iter().find(|(account, _)| *account == installed.account);
    found.is_some_and(|(_, version)| installed.version.is_none_or(|own| own < *version))
}

/// The report's lines, sorted by account and instance.
pub(super) fn rows(
    installed: Vec<InstalledVersion>,
    newest: &[(String, u64)],
    events: &[Event],
) -> Vec<Row> {
    let row = |installed: InstalledVersion| {
        let lags = is_behind(&installed, newest);
        let since_ms = if lags { since(&installed, events) } else { None };
        Row { installed, lags, since_ms }
    };
    let mut rows: Vec<Row> = installed.into_iter().map(row).collect();
    rows.sort_by(|a, b| {
        (&a.installed.account, &a.installed.instance)
            .cmp(&(&b.installed.account, &b.installed.instance))
    });
    rows
}

/// When the first instance took a version newer than the one installed.
fn since(installed: &InstalledVersion, events: &[Event]) -> Option<u64> {
    let newer = |event: &&Event| {
        let version = event.fields.get("version").and_then(serde_json::Value::as_u64);
        event.kind == ACCEPTED
            && event.account == installed.account
            && version.is_some_and(|version| version > installed.version.unwrap_or(0))
    };
    events.iter().filter(newer).map(Event::wall_ms).min()
}
