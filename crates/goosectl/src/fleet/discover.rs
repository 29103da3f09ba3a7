//! Finds the instances: from the platform's list, a settings file, or the command line.

use std::net::SocketAddr;

use settings::codes;
use shell::http::client::Client;
use shell::settings_sync::instances::{Instance, InstanceList};

use super::options::{self, Options};
use super::{Fleet, ListEntry, ServedUpstream, Target, ask};
use crate::exit::{Exit, Failure};

/// Environment variable with the platform's address, used if no option gives it.
const PLATFORM_VARIABLE: &str = "GOOSECTL_PLATFORM";

impl Fleet {
    /// Finds the instances that the options select.
    ///
    /// Errors: [`codes::USAGE`] if they select none, [`codes::FILE_UNREADABLE`] if the settings
    /// file cannot be read, [`codes::INSTANCE_UNREACHABLE`] if the platform does not answer or
    /// lists no instance, and the options name none themselves.
    pub(crate) fn find(options: &Options) -> Result<Self, Failure> {
        let client = Client::new(options.timeout);
        let file = options.settings.as_deref().map(options::read).transpose()?;
        let platform = match (options.platform, &file) {
            (None, Some(file)) => Some(file.platform),
            (None, None) if options.instances.is_empty() => platform_of_environment()?,
            (named, _) => named,
        };
        let mut fleet = Self { targets: Vec::new(), notes: Vec::new(), platform, client };
        fleet.add_listed();
        fleet.add_named(&options.instances);
        if fleet.targets.is_empty() {
            fleet.add_named(&file.map(|file| file.control_addresses).unwrap_or_default());
        }
        if fleet.targets.is_empty() {
            return Err(fleet.no_targets());
        }
        fleet.targets.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(fleet)
    }

    fn add_listed(&mut self) {
        let Some(platform) = self.platform else { return };
        match ask::get::<InstanceList>(&self.client, platform, "/v1/instances") {
            Ok(list) => self.targets = list.instances.into_iter().map(Target::from).collect(),
            Err(error) => self.notes.push(format!("no list from the platform: {}", error.text)),
        }
    }

    /// Whether the platform's list contains an instance now; `None` if the list cannot be read.
    pub(crate) fn is_listed(&self, name: &str) -> Option<bool> {
        let list: InstanceList = ask::get(&self.client, self.platform?, "/v1/instances").ok()?;
        Some(list.instances.iter().any(|instance| &*instance.name == name))
    }

    fn add_named(&mut self, addresses: &[SocketAddr]) {
        for control in addresses {
            if self.targets.iter().all(|known| known.control != *control) {
                let name = control.to_string();
                self.targets.push(Target { name, control: *control, listed: None });
            }
        }
    }

    fn no_targets(&self) -> Failure {
        match (self.platform, self.notes.first()) {
            (None, _) => Failure::usage(
                "no instances: give --platform, --settings or --instance, or set GOOSECTL_PLATFORM",
            ),
            (Some(_), Some(note)) => {
                Failure::new(codes::INSTANCE_UNREACHABLE, Exit::Unreachable, note.clone())
            }
            (Some(_), None) => Failure::new(
                codes::INSTANCE_UNREACHABLE,
                Exit::Unreachable,
                "the platform lists no instance",
            ),
        }
    }
}

fn platform_of_environment() -> Result<Option<SocketAddr>, Failure> {
    let Ok(text) = std::env::var(PLATFORM_VARIABLE) else { return Ok(None) };
    let bad = |_| Failure::usage(format!("{PLATFORM_VARIABLE} is not IP:PORT: `{text}`"));
    text.parse().map(Some).map_err(bad)
}

impl From<Instance> for Target {
    fn from(instance: Instance) -> Self {
        let served_upstream = match (&instance.account, &instance.service, &instance.upstream) {
            (Some(account), Some(service), Some(upstream)) => Some(ServedUpstream {
                account: account.to_string(),
                service: service.to_string(),
                upstream: upstream.to_string(),
            }),
            _ => None,
        };
        let listed = ListEntry {
            kind: instance.kind,
            state: instance.state,
            zone: instance.zone.to_string(),
            data: instance.data_address,
            served_upstream,
        };
        let name = instance.name.to_string();
        Self { name, control: instance.control_address, listed: Some(listed) }
    }
}
