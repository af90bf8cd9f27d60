use serde_json::Value;
use toucanchute_proto::api::EngineOrder;

use crate::{error::Error, http::Call, output::Output, routers::Routers};

/// Prints the state of the first router that responds.
pub(crate) async fn status(routers: &Routers, out: Output) -> Result<(), Error> {
    out.write_value(&routers.call(&Call::get("/v1/admin/status")).await?)
}

/// Prints what a router knows of the fleet's hosts and backend servers.
pub(crate) async fn hosts(routers: &Routers, out: Output) -> Result<(), Error> {
    out.write_value(&routers.call(&Call::get("/v1/admin/hosts")).await?)
}

/// Sends an order to the engine of a backend server and waits until it is carried out.
pub(crate) async fn order(
    routers: &Routers,
    order: &EngineOrder,
    out: Output,
) -> Result<(), Error> {
    let body = serde_json::to_vec(order).unwrap_or_default();
    let value: Value = routers.call(&Call::post("/v1/admin/orders", body)).await?;
    let text = format!(
        "backend server {} carried out {}",
        order.backend, order.kind
    );
    out.write(&value, &text)
}
