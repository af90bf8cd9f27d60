use serde_json::Value;
use toucanchute_proto::api::{Account, TopUp, WriteOff};

use crate::{error::Error, http::Call, output::Output, routers::Routers};

/// Prints the statement of one budget.
pub(crate) async fn statement(routers: &Routers, budget: &str, out: Output) -> Result<(), Error> {
    let call = Call::get(format!("/v1/admin/statements/{budget}"));
    let value: Value = routers.call(&call).await?;
    match serde_json::from_value(value.clone()) {
        Ok(account) => out.write(&value, &table(budget, &account)),
        Err(_) => out.write_value(&value),
    }
}

/// Adds tokens to a budget, once for each `id`.
pub(crate) async fn top_up(routers: &Routers, top_up: &TopUp, out: Output) -> Result<(), Error> {
    let body = serde_json::to_vec(top_up).unwrap_or_default();
    let call = Call::post("/v1/admin/top-ups", body);
    let value: Value = routers.call(&call).await?;
    let text = format!(
        "budget {} topped up by {} tokens under {}",
        top_up.budget, top_up.tokens, top_up.id
    );
    out.write(&value, &text)
}

/// Closes a forfeited grant; its remainder counts as spent.
pub(crate) async fn write_off(
    routers: &Routers,
    body: &WriteOff,
    out: Output,
) -> Result<(), Error> {
    let grant = &body.grant;
    let body = serde_json::to_vec(body).unwrap_or_default();
    let call = Call::post("/v1/admin/write-offs", body);
    let value: Value = routers.call(&call).await?;
    out.write(&value, &format!("grant {grant} written off"))
}

fn table(budget: &str, account: &Account) -> String {
    format!(
        "budget       {budget}\n\
         topped up    {}\n\
         spent        {}\n\
         granted      {}\n\
         forfeited    {}\n\
         free         {}\n\
         written off  {} (part of spent)",
        account.topped_up,
        account.spent,
        account.granted,
        account.forfeited,
        account.free,
        account.written_off,
    )
}
