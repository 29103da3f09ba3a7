//! Reads the settings that the platform publishes.

use decision::view::AccountSpec;
use settings::{Fault, Root, account, root};

use super::{Fleet, ask};

impl Fleet {
    /// Reads the root document with one request to the platform.
    ///
    /// Errors: a human-readable line.
    pub(crate) fn published_root(&self) -> Result<Root, String> {
        root::parse(&self.read_document("/v1/root")?)
            .map_err(|faults| invalid_document("the root", &faults))
    }

    /// Reads an account's subtree with one request to the platform.
    ///
    /// Errors: a human-readable line.
    pub(crate) fn published_account(&self, name: &str) -> Result<AccountSpec, String> {
        let yaml = self.read_document(&format!("/v1/accounts/{name}"))?;
        account::parse_without_root(&yaml, name).map_err(|faults| invalid_document(name, &faults))
    }

    fn read_document(&self, path: &str) -> Result<String, String> {
        let platform = self.platform.ok_or("the platform's address is not known")?;
        let body = ask::get_bytes(&self.client, platform, path).map_err(|error| error.text)?;
        String::from_utf8(body).map_err(|error| format!("http://{platform}{path}: {error}"))
    }
}

fn invalid_document(what: &str, faults: &[Fault]) -> String {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    format!("{what} as published is invalid: {first}")
}
