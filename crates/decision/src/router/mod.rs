//! Routing in the balancer: chooses the agent that gets a packet. The result is a pure function of
//! the view and the set of agents that are believed down.

use std::sync::Arc;

use crate::keys::{BucketIndex, FlowId, ServiceKey, UpstreamId, UpstreamKey};
use crate::rank;
use crate::view::{Endpoint, View};

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// Service that owns the destination address.
    pub service: ServiceKey,
    /// Bucket of the flow.
    pub bucket: BucketIndex,
    /// Agent that gets the packet.
    pub home: UpstreamKey,
}

/// Routes packets to the first agent of a bucket's ranking that is not believed down.
#[derive(Clone, Debug, Default)]
pub struct Router {
    view: Arc<View>,
    /// Sorted ids of the agents that are believed down.
    down: Vec<UpstreamId>,
}

impl Router {
    /// Creates a router over `view` that skips the agents in `down`.
    ///
    /// ```
    /// use decision::router::Router;
    /// let router = Router::new(Default::default(), vec![]);
    /// assert!(router.view().services().is_empty());
    /// ```
    pub fn new(view: Arc<View>, mut down: Vec<UpstreamId>) -> Self {
        down.sort_unstable();
        Self { view, down }
    }

    /// The view in use.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Finds the service of a packet's destination.
    pub fn service(&self, endpoint: Endpoint) -> Option<ServiceKey> {
        self.view.find_endpoint(endpoint)
    }

    /// Routes a flow to the home of its bucket, see [`Router::home`].
    pub fn route(&self, service: ServiceKey, flow: FlowId) -> Option<Route> {
        let bucket = rank::bucket_of(flow);
        let home = self.home(service, bucket)?;
        Some(Route { service, bucket, home })
    }

    /// The home of a bucket: the first agent of its ranking that is not down, or the first agent if
    /// all are down.
    ///
    /// An agent may be suspected wrongly. The agent that gets its packets instead asks its peers,
    /// so an open flow is still found, at the cost of one more hop.
    pub fn home(&self, service: ServiceKey, bucket: BucketIndex) -> Option<UpstreamKey> {
        let ranking = self.view.service(service).ranking(bucket);
        let up = ranking.iter().find(|key| !self.is_down(**key));
        up.or(ranking.first()).copied()
    }

    fn is_down(&self, key: UpstreamKey) -> bool {
        !self.down.is_empty() && self.down.binary_search(&self.view.upstream(key).id).is_ok()
    }
}
