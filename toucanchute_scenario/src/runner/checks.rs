//! Directives that check counters and statements.

use std::time::Duration;

use super::{Args, Runner};
use crate::{
    audit::{ExpectedBills, RunCounts},
    cluster::Cluster,
    error::ScenarioError,
};

impl Runner {
    /// Prints the sum of a counter over fake servers.
    pub(super) async fn count(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let (counter, processes) = (args.text("counter")?, args.list("at"));
        Ok(sum_counter(self.cluster()?, &processes, &counter)
            .await?
            .to_string())
    }

    /// Waits until the sum of a counter over fake servers is at least `min`.
    pub(super) async fn await_count(
        &mut self,
        args: &mut Args<'_>,
    ) -> Result<String, ScenarioError> {
        let (counter, processes) = (args.text("counter")?, args.list("at"));
        let min: u64 = args.number("min")?;
        let condition = format!("a sum of at least {min} for `{counter}`");
        let met = self.cluster()?.wait_until(&condition, async |cluster| {
            let sum = sum_counter(cluster, &processes, &counter)
                .await
                .map_err(|e| e.to_string())?;
            (sum >= min).then_some(()).ok_or(sum.to_string())
        });
        met.await?;
        Ok("reached".to_owned())
    }

    /// Prints the increase of the sum of a counter over fake servers within a time.
    pub(super) async fn count_increase(
        &mut self,
        args: &mut Args<'_>,
    ) -> Result<String, ScenarioError> {
        let (counter, processes) = (args.text("counter")?, args.list("at"));
        let duration = Duration::from_millis(args.number("ms")?);
        let cluster = self.cluster()?;
        let before = sum_counter(cluster, &processes, &counter).await?;
        tokio::time::sleep(duration).await;
        let after = sum_counter(cluster, &processes, &counter).await?;
        Ok((after - before).to_string())
    }

    /// Waits until the routers' statements agree with the outcomes of all requests that have ended.
    /// Then compares the numbers of runs that the fake servers counted with these outcomes.
    pub(super) async fn audit(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let routers = args.list("at");
        let bills = ExpectedBills::from_records(&self.records);
        let topped_up: u64 = self.top_ups.values().sum();
        let cluster = self.cluster()?;
        for router in &routers {
            let condition =
                format!("a balanced statement with {topped_up} tokens topped up and {bills:?}");
            let met = cluster.wait_until(&condition, async |cluster| {
                let statement = cluster.statement(router).await.map_err(|e| e.to_string())?;
                let is_explained = statement.topped_up == topped_up
                    && statement.is_balanced()
                    && bills.allows(statement.spent);
                is_explained.then_some(()).ok_or(format!("{statement:?}"))
            });
            met.await?;
        }
        let mut runs = RunCounts::default();
        for name in cluster
            .process_names("engine")
            .iter()
            .chain(&cluster.process_names("service"))
        {
            runs.add(&cluster.stats(name).await?);
        }
        Ok(format!(
            "statements balanced, each answer billed once\n\
             maximum runs under one key: {}\n\
             told not-run and ran: {}\n",
            runs.max_runs_per_key(),
            runs.false_denials(&self.records),
        ))
    }
}

async fn sum_counter(
    cluster: &Cluster,
    processes: &[String],
    counter: &str,
) -> Result<u64, ScenarioError> {
    let mut sum = 0;
    for name in processes {
        let stats = cluster.stats(name).await?;
        sum += stats[counter].as_u64().unwrap_or(0);
    }
    Ok(sum)
}
