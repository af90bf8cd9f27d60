use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use http::StatusCode;
use toucanchute_proto::api::Account;

use super::options::{BudgetAccount, LoadOptions};
use crate::exchange::{self, HttpClient};

/// Reads the statements of a load's budgets from the routers.
#[derive(Debug)]
pub(crate) struct BudgetStatements {
    client: HttpClient,
    seeds: Vec<SocketAddr>,
    token: Option<String>,
    names: BTreeSet<String>,
}

impl BudgetStatements {
    pub(crate) fn new(options: &LoadOptions) -> BudgetStatements {
        let names = options.customers.iter().map(|c| c.budget.clone());
        BudgetStatements {
            client: exchange::new_client(),
            seeds: options.seeds.clone(),
            token: options.operator_token.clone(),
            names: names.filter(|name| !name.is_empty()).collect(),
        }
    }

    /// Reads the statement of each budget; omits those that cannot be read.
    pub(crate) async fn read_all(&self) -> BTreeMap<String, BudgetAccount> {
        let mut budgets = BTreeMap::new();
        for name in &self.names {
            if let Some(budget) = self.read(name).await {
                budgets.insert(name.clone(), budget);
            }
        }
        budgets
    }

    /// Returns whether a budget has at least `tokens` left, and at least one, by its statement;
    /// false if the statement cannot be read.
    pub(crate) async fn has_left(&self, name: &str, tokens: u64) -> bool {
        let Some(budget) = self.read(name).await else {
            return false;
        };
        let used = budget.spent + budget.forfeited;
        budget.topped_up.saturating_sub(used) >= tokens.max(1)
    }

    async fn read(&self, name: &str) -> Option<BudgetAccount> {
        let token = self.token.as_deref()?;
        let path = format!("/v1/admin/statements/{name}");
        for &address in &self.seeds {
            let answer = exchange::get(&self.client, address, &path, Some(token)).await;
            if let Ok((StatusCode::OK, body)) = answer {
                let account: Account = serde_json::from_slice(&body).ok()?;
                return Some(BudgetAccount {
                    topped_up: account.topped_up,
                    spent: account.spent,
                    forfeited: account.forfeited,
                });
            }
        }
        None
    }
}
