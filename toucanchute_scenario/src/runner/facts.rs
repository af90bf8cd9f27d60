//! Directives that compare what was observed.

use super::{Args, Runner};
use crate::{
    audit::{Bills, most_runs},
    error::ScenarioError,
};

impl Runner {
    /// Prints one of the counts of stand-ins, added up.
    pub(super) async fn count(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let of = args.text("of")?;
        let mut sum = 0;
        for name in args.list("at") {
            let stats = self.cluster()?.stats(&name).await?;
            sum += stats[of.as_str()].as_u64().unwrap_or(0);
        }
        Ok(sum.to_string())
    }

    /// Waits until the statement explains the bills of all requests that have ended.
    pub(super) async fn audit(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let router = args.text("at")?;
        let bills = Bills::of(&self.records);
        let cluster = self.cluster()?;
        let what = format!("a statement with {bills:?}");
        let wait = cluster.wait_until(&what, async |cluster| {
            let statement = cluster
                .statement(&router)
                .await
                .map_err(|e| e.to_string())?;
            let explained = statement.adds_up() && bills.explain(statement.spent);
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
