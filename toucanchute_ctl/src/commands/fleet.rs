use crate::{error::Error, http::Call, output::Output, routers::Routers};

/// Prints the state of the first router that answers.
pub(crate) async fn status(routers: &Routers, out: Output) -> Result<(), Error> {
    out.write_value(&routers.call(&Call::get("/v1/admin/status")).await?)
}

/// Prints what a router knows of the fleet's hosts and backend servers.
pub(crate) async fn hosts(routers: &Routers, out: Output) -> Result<(), Error> {
    out.write_value(&routers.call(&Call::get("/v1/admin/hosts")).await?)
}
