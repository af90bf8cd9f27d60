use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use http::StatusCode;
use toucanchute_proto::api::Account;

use super::options::{LoadBudget, LoadOptions};
use crate::exchange::{self, Connections};

/// Statements of the budgets of a load.
#[derive(Debug)]
pub(crate) struct Budgets {
    conns: Connections,
    seeds: Vec<SocketAddr>,
    token: Option<String>,
    names: BTreeSet<String>,
}

impl Budgets {
    pub(crate) fn new(options: &LoadOptions) -> Budgets {
        let names = options.customers.iter().map(|c| c.budget.clone());
        Budgets {
            conns: exchange::connect(),
            seeds: options.seeds.clone(),
            token: options.operator_token.clone(),
            names: names.filter(|name| !name.is_empty()).collect(),
        }
    }

    /// Reads the statement of each budget; those that cannot be read are left out.
    pub(crate) async fn read_all(&self) -> BTreeMap<String, LoadBudget> {
        let mut budgets = BTreeMap::new();
        for name in &self.names {
            if let Some(budget) = self.read(name).await {
                budgets.insert(name.clone(), budget);
            }
        }
        budgets
    }

    /// Returns whether the statement says that a budget has at least `tokens` left.
    pub(crate) async fn holds(&self, name: &str, tokens: u64) -> bool {
        let Some(budget) = self.read(name).await else {
            return false;
        };
        let gone = budget.spent + budget.forfeited;
        budget.topped_up.saturating_sub(gone) >= tokens.max(1)
    }

    async fn read(&self, name: &str) -> Option<LoadBudget> {
        let token = self.token.as_deref()?;
        let path = format!("/v1/admin/statements/{name}");
        for &address in &self.seeds {
            let answer = exchange::get(&self.conns, address, &path, Some(token)).await;
            if let Ok((StatusCode::OK, body)) = answer {
                let account: Account = serde_json::from_slice(&body).ok()?;
                return Some(LoadBudget {
                    topped_up: account.topped_up,
                    spent: account.spent,
                    forfeited: account.forfeited,
                });
            }
        }
        None
    }
}
