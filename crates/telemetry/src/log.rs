//! The log of a process, written as JSON lines to standard error.

use logforth::append;
use logforth::diagnostic::StaticDiagnostic;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

/// Filter used unless the environment variable `RUST_LOG` sets another. The HTTP libraries log
/// lines for each request, which would outnumber those of this system.
const DEFAULT_FILTER: &str = "info,gotham=warn,ureq=warn,ureq_proto=warn";

/// Sends the log of this process to standard error, each line with the name of the instance. A
/// second call changes nothing and returns false.
///
/// Other fields, such as `account` and `code`, are passed as key-value pairs of the log call.
///
/// ```
/// assert!(telemetry::log::start("bal-c1"));
/// assert!(!telemetry::log::start("bal-c1"));
/// log::info!(account = "cascadia", version = 7; "settings accepted");
/// ```
pub fn start(instance: &str) -> bool {
    start_to(instance, append::Stderr::default().with_layout(JsonLayout::default()))
}

/// Like [`start`], with another appender.
pub(crate) fn start_to(instance: &str, appender: impl append::Append) -> bool {
    let mut fields = StaticDiagnostic::default();
    fields.insert("instance", instance);
    let filter = RustLogFilterBuilder::from_default_env_or(DEFAULT_FILTER).build();
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).diagnostic(fields).append(appender))
        .try_apply()
        .is_ok()
}
