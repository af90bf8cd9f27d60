//! Directives that compare what was observed.

use std::time::Duration;

use super::{Args, Runner};
use crate::{
    audit::{Bills, most_runs},
    cluster::Cluster,
    error::ScenarioError,
};

impl Runner {
    /// Prints one of the counts of stand-ins, added up.
    pub(super) async fn count(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let (of, at) = (args.text("of")?, args.list("at"));
        Ok(sum(self.cluster()?, &at, &of).await?.to_string())
    }

    /// Waits until one of the counts of stand-ins, added up, has reached a number.
    pub(super) async fn reach(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let (of, at) = (args.text("of")?, args.list("at"));
        let least: u64 = args.number("least")?;
        let what = format!("{least} {of}");
        let wait = self.cluster()?.wait_until(&what, async |cluster| {
            let sum = sum(cluster, &at, &of).await.map_err(|e| e.to_string())?;
            (sum >= least).then_some(()).ok_or(sum.to_string())
        });
        wait.await?;
        Ok("reached".to_owned())
    }

    /// Prints by how much one of the counts of stand-ins, added up, rises within a time.
    pub(super) async fn rise(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let (of, at) = (args.text("of")?, args.list("at"));
        let within = Duration::from_millis(args.number("ms")?);
        let cluster = self.cluster()?;
        let before = sum(cluster, &at, &of).await?;
        tokio::time::sleep(within).await;
        let after = sum(cluster, &at, &of).await?;
        Ok((after - before).to_string())
    }

    /// Waits until the statement explains the bills of all requests that have ended.
    pub(super) async fn audit(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let router = args.text("at")?;
        let topped_up = match args.optional("topped-up") {
            Some(tokens) => tokens.parse::<u64>().ok(),
            None => None,
        };
        let bills = Bills::of(&self.records);
        let cluster = self.cluster()?;
        let what = format!("a statement with {bills:?}");
        let wait = cluster.wait_until(&what, async |cluster| {
            let statement = cluster
                .statement(&router)
                .await
                .map_err(|e| e.to_string())?;
            let complete = topped_up.is_none_or(|tokens| tokens == statement.topped_up);
            let explained = complete && statement.adds_up() && bills.explain(statement.spent);
            explained.then_some(()).ok_or(format!("{statement:?}"))
        });
        wait.await?;
        let mut stats = Vec::new();
        for service in cluster.names("service") {
            stats.push(cluster.stats(&service).await?);
        }
        let mut facts = "adds up, each answer billed once\n".to_owned();
        if !stats.is_empty() {
            facts.push_str(&format!("most runs under one key: {}\n", most_runs(&stats)));
        }
        Ok(facts)
    }
}

async fn sum(cluster: &Cluster, names: &[String], of: &str) -> Result<u64, ScenarioError> {
    let mut sum = 0;
    for name in names {
        let stats = cluster.stats(name).await?;
        sum += stats[of].as_u64().unwrap_or(0);
    }
    Ok(sum)
}
