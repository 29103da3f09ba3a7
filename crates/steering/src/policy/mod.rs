//! The set of active mechanisms. All are active unless one is switched off by name to measure its
//! effect, except for those that a deployment's settings have to ask for.

/// The mechanisms of balancers and agents that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Agents queue requests beside a busy upstream.
    pub waiting: bool,
    /// Of the queued requests, the newest that can still be on time goes first.
    pub deadline_order: bool,
    /// Of the queued requests, urgent ones go first.
    pub priority: bool,
    /// A request counts as in progress only from its last packet on.
    pub upload_accounting: bool,
    /// Agents report at once whether their upstream holds a flow.
    pub ownership_reply: bool,
    /// Reported load decides among the first ranks.
    pub load: bool,
    /// Among upstreams with the same load, one in the balancer's own availability zone is
    /// preferred.
    pub zone_affinity: bool,
    /// Agents that do not reply at all get few packets, and count as unreachable after a while.
    pub reach: bool,
    /// Agents with missing replies are pinged.
    pub pings: bool,
    /// Upstreams that were unresponsive are passed over.
    pub suspicion: bool,
    /// Unanswered packets are retransmitted.
    pub repeats: bool,
    /// Retransmitted packets go to several upstreams.
    pub copies: bool,
    /// The packets that a balancer sends beyond those of its callers are limited.
    pub budget: bool,
    /// Nothing is retransmitted while the process lags behind.
    pub lag: bool,
    /// An overloaded balancer leaves the rotation.
    pub rotation: bool,
    /// Bodies are dropped before a balancer's link is full.
    pub link: bool,
    /// New flows go where their first request is expected to be answered soonest. Off by default.
    pub delay_placement: bool,
    /// Upstreams whose callers already give up take no further flows. Off by default.
    pub overload_admission: bool,
}

type Field = fn(&mut Policy) -> &mut bool;

/// Names of the mechanisms.
const FIELDS: [(&str, Field); 18] = [
    ("waiting", |policy| &mut policy.waiting),
    ("deadline_order", |policy| &mut policy.deadline_order),
    ("priority", |policy| &mut policy.priority),
    ("upload_accounting", |policy| &mut policy.upload_accounting),
    ("ownership_reply", |policy| &mut policy.ownership_reply),
    ("load", |policy| &mut policy.load),
    ("zone_affinity", |policy| &mut policy.zone_affinity),
    ("reach", |policy| &mut policy.reach),
    ("pings", |policy| &mut policy.pings),
    ("suspicion", |policy| &mut policy.suspicion),
    ("repeats", |policy| &mut policy.repeats),
    ("copies", |policy| &mut policy.copies),
    ("budget", |policy| &mut policy.budget),
    ("lag", |policy| &mut policy.lag),
    ("rotation", |policy| &mut policy.rotation),
    ("link", |policy| &mut policy.link),
    ("delay_placement", |policy| &mut policy.delay_placement),
    ("overload_admission", |policy| &mut policy.overload_admission),
];

impl Default for Policy {
    fn default() -> Self {
        Self {
            waiting: true,
            deadline_order: true,
            priority: true,
            upload_accounting: true,
            ownership_reply: true,
            load: true,
            zone_affinity: true,
            reach: true,
            pings: true,
            suspicion: true,
            repeats: true,
            copies: true,
            budget: true,
            lag: true,
            rotation: true,
            link: true,
            delay_placement: false,
            overload_admission: false,
        }
    }
}

impl Policy {
    /// All mechanisms, including those that are off by default.
    ///
    /// ```
    /// use steering::policy::Policy;
    /// assert!(Policy::all().delay_placement && Policy::all().waiting);
    /// ```
    pub fn all() -> Self {
        Self { delay_placement: true, overload_admission: true, ..Self::default() }
    }

    /// The policy without one mechanism; `None` if there is no mechanism of that name.
    ///
    /// ```
    /// use steering::policy::Policy;
    /// let policy = Policy::default().without("lag").unwrap();
    /// assert!(!policy.lag && policy.waiting);
    /// assert_eq!(policy.without("luck"), None);
    /// ```
    #[must_use]
    pub fn without(self, name: &str) -> Option<Self> {
        self.switched(name, false)
    }

    /// The policy with one more mechanism; `None` if there is no mechanism of that name.
    ///
    /// ```
    /// use steering::policy::Policy;
    /// assert!(Policy::default().with("overload_admission").unwrap().overload_admission);
    /// ```
    #[must_use]
    pub fn with(self, name: &str) -> Option<Self> {
        self.switched(name, true)
    }

    fn switched(mut self, name: &str, on: bool) -> Option<Self> {
        let (_, field) = FIELDS.iter().find(|(known, _)| *known == name)?;
        *field(&mut self) = on;
        Some(self)
    }

    /// Names of all mechanisms.
    pub fn names() -> impl Iterator<Item = &'static str> {
        FIELDS.iter().map(|(name, _)| *name)
    }
}
