//! Reads the arguments of a script command.

use std::error::Error;
use std::str::FromStr;

use goldenscript::{ArgumentConsumer, Command};

/// Why a script command failed.
pub type ScriptError = Box<dyn Error>;

/// Arguments of a command, consumed one by one.
pub struct Args<'a>(ArgumentConsumer<'a>);

impl<'a> Args<'a> {
    pub fn new(command: &'a Command) -> Self {
        Self(command.consume_args())
    }

    /// Returns the next argument without a key; the error says that `what` is missing.
    pub fn positional(&mut self, what: &str) -> Result<&'a str, ScriptError> {
        let argument = self.0.next_pos();
        argument
            .map(|argument| argument.value.as_str())
            .ok_or_else(|| format!("no {what} given").into())
    }

    /// Returns all further arguments without a key.
    pub fn rest(&mut self) -> Vec<&'a str> {
        let rest = self.0.rest_pos();
        rest.iter()
            .map(|argument| argument.value.as_str())
            .collect()
    }

    /// Returns the value of the argument `key=VALUE`, if given.
    pub fn option(&mut self, key: &str) -> Option<&'a str> {
        self.0.lookup(key).map(|argument| argument.value.as_str())
    }

    /// Parses the value of the argument `key=VALUE`, if given.
    pub fn number<T: FromStr>(&mut self, key: &str) -> Result<Option<T>, ScriptError>
    where
        T::Err: Error + 'static,
    {
        let text = self.option(key);
        Ok(text.map(str::parse).transpose()?)
    }

    /// Fails if an argument has not been consumed.
    pub fn reject_rest(&self) -> Result<(), ScriptError> {
        self.0.reject_rest()
    }
}
