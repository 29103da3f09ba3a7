//! The balancer's HTTP endpoint.

use shell::http::routes::Routes;
use shell::settings_sync::{Keyrings, serve};
use shell::status::{self, Shown};

/// All routes of a balancer.
pub(crate) fn routes(shown: &Shown, keyrings: &Keyrings) -> Routes {
    let routes = status::routes(Routes::default(), shown);
    serve::routes(routes, &shown.store, keyrings)
}
