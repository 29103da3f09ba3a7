//! Command-line interface of the fuzzer.

use std::path::{Path, PathBuf};
use std::time::Instant;

use anyhow::Context as _;
use lexopt::ValueExt as _;

use crate::campaign::{self, Episode, Limits, Report};
use crate::direct::{self, Size};
use crate::oracle::Violation;
use crate::step::{FAULTS, Step};
use crate::world::Defects;

const HELP: &str = "\
Usage: cargo xtask fuzz [OPTIONS]

Options:
  --steps N      steps to apply, 100000 unless given
  --seed S       seed of the first episode, 1 unless given; the next ones follow
  --episode S    play the episode of seed S; shrink it and print its time line if it breaks a promise
  --replay FILE  play the episode in FILE and print its whole time line
  --trace FILE   where a failing episode is written, fuzz-trace.json unless given
  --failures N   go on until N episodes have broken a promise, 1 unless given
  --list         only list the episodes that break a promise; shrink and trace none
  --direct N     play N minutes of the direct-return path instead, each from a seed of its own
  --world NAME   the world of these: small (unless given), moving, crowded, crowded-moving,
                 returning, crowded-returning, late-lists, crowded-late-lists, overloaded,
                 large or long-answers
  --direct-episode S
                 play the minute of seed S in this world; print the time line of the flow with
                 which it breaks a promise, if it does
  --flow PORT    of this minute, print the time line of the flow from this port of its caller
  --mutants      take out one safeguard after the other and print what catches it
";

struct Options {
    steps: usize,
    seed: u64,
    failures: usize,
    episode: Option<u64>,
    replay: Option<PathBuf>,
    trace: PathBuf,
    list: bool,
    mutants: bool,
    direct: Option<u64>,
    direct_episode: Option<u64>,
    flow: Option<u16>,
    world: Size,
}

/// Simulated duration of an episode of the direct-return path.
const DIRECT_MS: u64 = 60_000;

/// Runs the command; returns true if no promise was violated.
pub fn run() -> anyhow::Result<bool> {
    let Some(options) = parse()? else {
        print!("{HELP}");
        return Ok(true);
    };
    if options.mutants {
        return mutants(options.steps);
    }
    if let Some(episodes) = options.direct {
        return Ok(direct_run(options.world, options.seed, episodes));
    }
    if let Some(seed) = options.direct_episode {
        return direct_episode(options.world, seed, options.flow);
    }
    if let Some(path) = &options.replay {
        return replay(path);
    }
    if let Some(seed) = options.episode {
        return run_episode(seed, &options);
    }
    long_run(&options)
}

fn parse() -> anyhow::Result<Option<Options>> {
    let mut options = Options {
        steps: 100_000,
        seed: 1,
        failures: 1,
        episode: None,
        replay: None,
        trace: "fuzz-trace.json".into(),
        list: false,
        mutants: false,
        direct: None,
        direct_episode: None,
        flow: None,
        world: Size::SMALL,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("steps") => options.steps = parser.value()?.parse()?,
            lexopt::Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("failures") => options.failures = parser.value()?.parse()?,
            lexopt::Arg::Long("episode") => options.episode = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("replay") => options.replay = Some(parser.value()?.into()),
            lexopt::Arg::Long("trace") => options.trace = parser.value()?.into(),
            lexopt::Arg::Long("direct") => options.direct = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("direct-episode") => {
                options.direct_episode = Some(parser.value()?.parse()?);
            }
            lexopt::Arg::Long("flow") => options.flow = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("world") => options.world = parse_world(&parser.value()?.string()?)?,
            lexopt::Arg::Long("list") => options.list = true,
            lexopt::Arg::Long("mutants") => options.mutants = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

fn parse_world(name: &str) -> anyhow::Result<Size> {
    Ok(match name {
        "small" => Size::SMALL,
        "moving" => Size::MOVING,
        "crowded" => Size::CROWDED,
        "crowded-moving" => Size::CROWDED_MOVING,
        "returning" => Size::RETURNING,
        "crowded-returning" => Size::CROWDED_RETURNING,
        "late-lists" => Size::LATE_LISTS,
        "crowded-late-lists" => Size::CROWDED_LATE_LISTS,
        "overloaded" => Size::OVERLOADED,
        "large" => Size::LARGE,
        "long-answers" => Size::LONG_ANSWERS,
        other => anyhow::bail!("there is no world {other}"),
    })
}

/// Plays episodes of the direct-return path and prints each that violates a promise.
fn direct_run(world: Size, first_seed: u64, episodes: u64) -> bool {
    let (mut answered, mut resets, mut broken) = (0, 0, 0);
    for seed in first_seed..first_seed + episodes {
        let outcome = direct::play_at(world, seed, DIRECT_MS, None);
        answered += outcome.answered;
        resets += outcome.resets;
        let Some((at_ms, violation)) = outcome.violations.first() else { continue };
        broken += 1;
        let before: Vec<_> = outcome.played.iter().filter(|(time, _)| time <= at_ms).collect();
        let last = &before[before.len().saturating_sub(10)..];
        println!("seed {seed}: {violation:?} at {at_ms} ms, after {last:?}");
    }
    println!(
        "{episodes} episodes, {answered} requests answered, {resets} resets, {broken} broke a promise"
    );
    broken == 0
}

/// Plays an episode of the direct-return path and prints the time line of the flow that broke a
/// promise, or of the flow from `port`.
fn direct_episode(world: Size, seed: u64, port: Option<u16>) -> anyhow::Result<bool> {
    let (outcome, timeline) = direct::play_recorded(world, seed, DIRECT_MS, None);
    let flow = match port {
        Some(port) => {
            Some(timeline.flow_from(port).with_context(|| format!("no flow from port {port}"))?)
        }
        None => timeline.broken_flow(),
    };
    if let Some(flow) = flow {
        println!("flow {} > {}:", flow.caller, flow.endpoint);
        timeline.lines(flow).iter().for_each(|line| println!("{line}"));
    }
    for (at_ms, violation) in &outcome.violations {
        println!("result: BROKEN PROMISE {violation:?} in episode seed {seed} at {at_ms} ms");
    }
    if outcome.violations.is_empty() {
        println!("result: every promise held, {} requests answered", outcome.answered);
    }
    Ok(outcome.violations.is_empty())
}

fn long_run(options: &Options) -> anyhow::Result<bool> {
    let limits = Limits { steps: options.steps, failures: options.failures };
    let started = Instant::now();
    let report = campaign::run(limits, options.seed, Defects::default());
    let seconds = started.elapsed().as_secs_f64();
    print_counts(&report);
    println!(
        "{} steps in {} episodes from seed {}, {seconds:.1} s, {:.0} steps/s",
        report.steps,
        report.episodes,
        options.seed,
        report.steps as f64 / seconds
    );
    let Some((episode, violation)) = report.failures.first() else {
        println!("result: every promise held");
        return Ok(true);
    };
    report.failures.iter().for_each(|(episode, violation)| print_violation(episode, violation));
    if !options.list {
        print_failure(episode, violation, &options.trace)?;
    }
    Ok(false)
}

fn print_violation(episode: &Episode, violation: &Violation) {
    let planned = episode.steps.iter().all(Step::is_planned);
    let kind = if planned { "planned change only" } else { "with faults" };
    println!("broken: {} (episode {}, {kind})", violation.promise, episode.seed);
}

fn run_episode(seed: u64, options: &Options) -> anyhow::Result<bool> {
    let episode = campaign::draw(seed);
    let (outcome, _) = campaign::play(&episode, Defects::default(), false);
    match outcome.violation {
        Some(violation) if options.list => print_violation(&episode, &violation),
        Some(violation) => print_failure(&episode, &violation, &options.trace)?,
        None => println!("result: every promise held in {} steps", outcome.steps),
    }
    Ok(outcome.violation.is_none())
}

fn print_counts(report: &Report) {
    println!("faults and changes, and those that began while another was at work:");
    for (fault, count) in FAULTS.into_iter().zip(report.faults) {
        println!("  {fault:?}: {count}");
    }
    for (index, one) in FAULTS.into_iter().enumerate() {
        let pairs: Vec<String> = FAULTS
            .into_iter()
            .zip(report.pairs[index])
            .skip(index)
            .map(|(other, count)| format!("{other:?} {count}"))
            .collect();
        println!("  {one:?} with {}", pairs.join(", "));
    }
    println!("{:?}", report.tally);
}

fn print_failure(episode: &Episode, violation: &Violation, trace: &Path) -> anyhow::Result<()> {
    println!("result: BROKEN PROMISE {} in episode seed {}", violation.promise, episode.seed);
    let shrunk = campaign::shrink_episode(episode, Defects::default(), violation.promise);
    println!("shrunk from {} to {} steps:", episode.steps.len(), shrunk.steps.len());
    print_timeline(&shrunk, false);
    let text = serde_json::to_string_pretty(&shrunk)?;
    std::fs::write(trace, text).with_context(|| format!("writing {}", trace.display()))?;
    println!("replay: cargo xtask fuzz --replay {}", trace.display());
    Ok(())
}

fn print_timeline(episode: &Episode, full: bool) -> bool {
    let (outcome, world) = campaign::play(episode, Defects::default(), true);
    for line in world.timeline(full) {
        println!("{line}");
    }
    outcome.violation.is_none()
}

fn replay(path: &Path) -> anyhow::Result<bool> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let episode: Episode = serde_json::from_str(&text)?;
    Ok(print_timeline(&episode, true))
}

#[cfg(not(feature = "mutants"))]
fn mutants(_steps_max: usize) -> anyhow::Result<bool> {
    anyhow::bail!("built without the feature `mutants`; run `cargo xtask fuzz --mutants`")
}

#[cfg(feature = "mutants")]
fn mutants(steps_max: usize) -> anyhow::Result<bool> {
    let mut all_caught = true;
    println!("{:<24} {:>8} {:>8}  promise", "mutant", "seed", "steps");
    for case in crate::mutants::CASES {
        let name = format!("{:?}", case.mutant);
        match crate::mutants::detect(case, steps_max) {
            Some(detection) => {
                println!(
                    "{name:<24} {:>8} {:>8}  {}",
                    detection.seed, detection.steps, detection.promise
                );
            }
            None => {
                all_caught = false;
                println!("{name:<24} {:>8}  escaped", case.seed);
            }
        }
    }
    Ok(all_caught)
}
