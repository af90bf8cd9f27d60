use std::path::Path;

use serde::Serialize;
use snafu::ResultExt as _;
use toucanchute_settings::{PackedConfig, load_folder, load_router};

use crate::{
    error::{Error, FilesSnafu},
    output::Output,
};

/// What `check` prints as JSON for a folder.
#[derive(Debug, Serialize)]
struct Checked {
    site: String,
    digest: String,
    models: usize,
    services: usize,
    backends: usize,
    budgets: usize,
    customers: usize,
}

/// Checks the operators' configuration of a folder.
pub(crate) fn check_folder(folder: &Path, out: Output) -> Result<(), Error> {
    let cfg = load_folder(folder).context(FilesSnafu)?;
    let checked = Checked {
        digest: PackedConfig::new(&cfg).digest,
        models: cfg.models.len(),
        services: cfg.services.len(),
        backends: cfg.backends.len(),
        budgets: cfg.budgets.len(),
        customers: cfg.customers.len(),
        site: cfg.site,
    };
    let text = format!(
        "{}: ok, site {}, {} models, {} services, {} backends, {} budgets, {} customers\ndigest {}",
        folder.display(),
        checked.site,
        checked.models,
        checked.services,
        checked.backends,
        checked.budgets,
        checked.customers,
        checked.digest,
    );
    out.write(&checked, &text)
}

/// Checks the settings file of a router.
pub(crate) fn check_settings(file: &Path, out: Output) -> Result<(), Error> {
    let settings = load_router(file).context(FilesSnafu)?;
    let router = &settings.router;
    let text = format!(
        "{}: ok, host {} in {}, listens at {}",
        file.display(),
        router.host,
        router.failure_domain,
        router.listen,
    );
    let value = serde_json::json!({ "host": router.host, "listen": router.listen });
    out.write(&value, &text)
}
