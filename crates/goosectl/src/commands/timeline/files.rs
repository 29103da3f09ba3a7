//! Reads timelines that were saved in a folder.

use std::fmt::Display;
use std::fs;
use std::path::{Path, PathBuf};

use settings::codes;
use settings::process::agent;

use super::names::Names;
use crate::exit::{Exit, Failure};
use crate::fleet::{Event, ServedUpstream};

const SUFFIX: &str = ".timeline.json";

/// Reads the timelines in a folder, and the names of upstreams from the agents' settings in it.
///
/// Errors: [`codes::FILE_UNREADABLE`] if the folder has no timeline or one cannot be decoded.
pub(super) fn read(folder: &Path) -> Result<(Vec<Vec<Event>>, Names), Failure> {
    let (mut lists, mut names) = (Vec::new(), Names::default());
    for path in files(folder)? {
        let name = path.to_string_lossy();
        if name.ends_with(SUFFIX) {
            let text = fs::read_to_string(&path).map_err(|error| unreadable(&path, &error))?;
            lists.push(serde_json::from_str(&text).map_err(|error| unreadable(&path, &error))?);
        } else if name.ends_with(".yaml") {
            // Files other than agents' settings contain no names and are skipped.
            let served = fs::read_to_string(&path).ok().as_deref().and_then(served_upstream);
            served.iter().for_each(|served| names.add(served));
        }
    }
    match lists.is_empty() {
        true => Err(unreadable(folder, &format!("no file *{SUFFIX}"))),
        false => Ok((lists, names)),
    }
}

fn files(folder: &Path) -> Result<Vec<PathBuf>, Failure> {
    let entries = fs::read_dir(folder).map_err(|error| unreadable(folder, &error))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    paths.sort();
    Ok(paths)
}

fn served_upstream(yaml: &str) -> Option<ServedUpstream> {
    let settings = agent::parse(yaml).ok()?;
    Some(ServedUpstream {
        account: settings.account.to_string(),
        service: settings.service.to_string(),
        upstream: settings.upstream.to_string(),
    })
}

fn unreadable(path: &Path, error: &dyn Display) -> Failure {
    Failure::new(codes::FILE_UNREADABLE, Exit::File, format!("{}: {error}", path.display()))
}
