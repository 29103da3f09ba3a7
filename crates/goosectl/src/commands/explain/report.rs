//! Text output of `goosectl explain`.

use std::io::{self, Write};

use settings::codes;

use super::steps::{Explanation, Rank, ServiceSteps};
use crate::output::Table;

/// Writes one line for each step, and the ranking as a table.
pub(super) fn text(out: &mut dyn Write, explanation: &Explanation) -> io::Result<()> {
    let Explanation { packet, flow, account, version, .. } = explanation;
    writeln!(out, "packet   {packet}")?;
    writeln!(out, "account  {account}: owns the destination, settings version {version}")?;
    let Some(service) = &explanation.service else {
        let code = codes::NO_SERVICE;
        return writeln!(out, "service  none: balancers drop the packet ({code} {})", code.name());
    };
    writeln!(out, "service  {}", service.name)?;
    writeln!(out, "flow     {flow}: keyed hash of the packet's addresses, ports and transport")?;
    writeln!(out, "bucket   {} of {}: by flow id", service.bucket, decision::rank::BUCKET_COUNT)?;
    writeln!(out, "ranking  of the bucket, by weighted rendezvous hashing:")?;
    write!(out, "{}", ranking(&service.ranking))?;
    steps(out, service)
}

fn steps(out: &mut dyn Write, service: &ServiceSteps) -> io::Result<()> {
    let (home, holder) = (&service.home, &service.holder);
    let name = |name: &Option<String>| name.clone().unwrap_or_else(|| "nobody".to_owned());
    writeln!(out, "home     {}: {}", name(&home.upstream), home.reason)?;
    let differs = |other: &str| home.upstream.as_deref() != Some(other);
    for choice in home.balancers.iter().filter(|choice| differs(&choice.home)) {
        match choice.version {
            Some(_) => writeln!(out, "           {} sends to {}", choice.instance, choice.home)?,
            None => {
                writeln!(out, "           {} did not answer: {}", choice.instance, choice.home)?
            }
        }
    }
    let answered = home.balancers.iter().filter(|choice| choice.version.is_some()).count();
    writeln!(out, "           {answered} of {} balancer(s) answered", home.balancers.len())?;
    let state = holder.state.as_ref().map(|state| format!(" ({state})")).unwrap_or_default();
    writeln!(out, "holder   {}{state}: {}", name(&holder.upstream), holder.reason)?;
    writeln!(out, "next     {}", holder.next)?;
    match service.silent.is_empty() {
        true => Ok(()),
        false => {
            let code = codes::INSTANCE_UNREACHABLE;
            writeln!(out, "{code}: no answer from the agents of {}", service.silent.join(", "))
        }
    }
}

fn ranking(ranks: &[Rank]) -> Table {
    let mut table = Table::new(["", "RANK", "UPSTREAM", "ZONE", "WEIGHT", "STATE", "AGENT"]);
    for (index, rank) in ranks.iter().enumerate() {
        table.push_row([
            String::from("      "),
            (index + 1).to_string(),
            rank.upstream.clone(),
            rank.zone.clone(),
            rank.weight.to_string(),
            rank.state.to_owned(),
            rank.passed_over.clone().unwrap_or_else(|| "up".to_owned()),
        ]);
    }
    table
}
