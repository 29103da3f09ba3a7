//! Exchange with balancers about outdated memberships.
//!
//! Balancers remember what agents report, for the case that all agents of the service restart.

use super::mutant::mutated;
use super::{Action, Agent, limits};
use crate::message::OutdatedReport;
use crate::time::Millis;
use crate::view::WhenInDoubt;

/// Progress of the exchange.
#[derive(Debug, Default)]
pub(super) struct BalancerReports {
    /// Number of outdated memberships at the last check.
    reported: usize,
    next_report_at: Millis,
    next_question_at: Millis,
}

impl BalancerReports {
    /// Lets the next tick report outdated memberships.
    pub(super) fn report_soon(&mut self) {
        self.next_report_at = Millis(0);
    }
}

impl Agent {
    /// Processes a balancer's report that a membership is outdated.
    pub(super) fn outdated_reported(&mut self, now: Millis, report: OutdatedReport) {
        let memberships = &mut self.settings.memberships;
        if memberships.has_members_of(report) || mutated!(self, OtherMembersOutdated) {
            memberships.learn_outdated(now, report.outdated);
        }
    }

    /// Reports outdated memberships to balancers, when a new one becomes known, from time to time
    /// and at the shutdown, and asks them about those of which this agent knows nothing.
    pub(super) fn exchange_outdated(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.settings.when_in_doubt != WhenInDoubt::Refuse {
            return;
        }
        let count = self.settings.memberships.outdated_count();
        let is_new = count > self.balancer_reports.reported;
        self.balancer_reports.reported = count;
        if is_new || now >= self.balancer_reports.next_report_at {
            let interval_ms = match self.leaving {
                true => limits::MIN_HEARTBEAT_INTERVAL_MS,
                false => limits::OUTDATED_REPORT_INTERVAL_MS,
            };
            self.balancer_reports.next_report_at = now.after(interval_ms);
            let reports = self.settings.memberships.outdated_reports(now);
            out.extend(reports.into_iter().map(Action::ReportOutdated));
        }
        let recently_asked = now < self.balancer_reports.next_question_at;
        if !recently_asked && self.settings.memberships.has_undecided() {
            self.balancer_reports.next_question_at =
                now.after(limits::OUTDATED_QUESTION_INTERVAL_MS);
            out.push(Action::AskOutdated);
        }
    }
}
