//! Finds which instance has which version in force, and which instances lag.

use shell::settings_sync::instances::Kind;

use crate::fleet::{Answer, Event, Status};

/// Kind of the events that record when an instance accepted a version.
const ACCEPTED: &str = "settings_accepted";

/// The version of an account's settings that an instance has in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct InstalledVersion {
    pub(super) instance: String,
    pub(super) account: String,
    /// `None` if the instance should have settings of the account but has none.
    pub(super) version: Option<u64>,
}

/// One line of the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Row {
    pub(super) installed: InstalledVersion,
    pub(super) lags: bool,
    /// When the first instance accepted a newer version, in milliseconds since 1970. `None` if this
    /// instance does not lag or no event states the time.
    pub(super) since_ms: Option<u64>,
}

/// Versions on all instances that answered. A balancer should have the settings of every account,
/// an agent those of its own.
pub(super) fn installed(answers: &[Answer<Status>]) -> Vec<InstalledVersion> {
    let answered = || answers.iter().filter_map(|a| Some((a, a.result.as_ref().ok()?)));
    let mut accounts: Vec<&str> = answered()
        .flat_map(|(_, status)| status.settings.iter().map(|entry| entry.account.as_str()))
        .collect();
    accounts.sort_unstable();
    accounts.dedup();
    let of_instance = |(answer, status): (&Answer<Status>, &Status)| -> Vec<InstalledVersion> {
        let own_account = answer.target.served_upstream().map(|served| served.account.as_str());
        let is_balancer = status.kind == "balancer" || answer.target.kind() == Some(Kind::Balancer);
        let expected = |account: &str| is_balancer || own_account == Some(account);
        let version_of = |account: &&str| {
            let entry = status.settings.iter().find(|entry| entry.account == **account);
            let version = entry.map(|entry| entry.version);
            let installed = InstalledVersion {
                instance: status.instance.clone(),
                account: (*account).to_owned(),
                version,
            };
            (version.is_some() || expected(account)).then_some(installed)
        };
        accounts.iter().filter_map(version_of).collect()
    };
    answered().flat_map(of_instance).collect()
}

/// The newest version of each account, on any instance or published by the platform, sorted by
/// account.
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

/// Whether a newer version than the installed one exists.
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

/// When the first instance accepted a version newer than the installed one.
fn since(installed: &InstalledVersion, events: &[Event]) -> Option<u64> {
    let newer = |event: &&Event| {
        let version = event.fields.get("version").and_then(serde_json::Value::as_u64);
        event.kind == ACCEPTED
            && event.account == installed.account
            && version.is_some_and(|version| version > installed.version.unwrap_or(0))
    };
    events.iter().filter(newer).map(Event::wall_ms).min()
}
