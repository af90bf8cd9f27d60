use std::str::FromStr;

use datadriven::TestCase;

use crate::error::{InvalidArgumentSnafu, ScenarioError};

/// Arguments of a directive.
#[derive(Debug)]
pub(super) struct Args<'a> {
    case: &'a mut TestCase,
}

impl<'a> Args<'a> {
    pub(super) fn new(case: &'a mut TestCase) -> Args<'a> {
        Args { case }
    }

    pub(super) fn directive(&self) -> String {
        self.case.directive.clone()
    }

    pub(super) fn input(&self) -> String {
        self.case.input.clone()
    }

    /// Returns all values of an argument; none if it is missing.
    pub(super) fn list(&mut self, name: &str) -> Vec<String> {
        self.case.args.remove(name).unwrap_or_default()
    }

    /// Returns whether an argument without a value is present.
    pub(super) fn flag(&mut self, name: &str) -> bool {
        self.case.args.remove(name).is_some()
    }

    pub(super) fn optional(&mut self, name: &str) -> Option<String> {
        self.list(name).into_iter().next()
    }

    pub(super) fn text(&mut self, name: &str) -> Result<String, ScenarioError> {
        let message = format!("`{name}` is required");
        self.optional(name)
            .ok_or_else(|| InvalidArgumentSnafu { message }.build())
    }

    pub(super) fn number<T: FromStr>(&mut self, name: &str) -> Result<T, ScenarioError> {
        let text = self.text(name)?;
        let message = format!("`{name}` is not a valid number");
        text.parse()
            .map_err(|_| InvalidArgumentSnafu { message }.build())
    }

    pub(super) fn number_or<T: FromStr>(
        &mut self,
        name: &str,
        default: T,
    ) -> Result<T, ScenarioError> {
        match self.case.args.contains_key(name) {
            true => self.number(name),
            false => Ok(default),
        }
    }

    /// Checks that all arguments have been read.
    pub(super) fn finish(self) -> Result<(), ScenarioError> {
        let unused = self.case.expect_empty();
        unused.map_err(|e| {
            InvalidArgumentSnafu {
                message: e.to_string(),
            }
            .build()
        })
    }
}
