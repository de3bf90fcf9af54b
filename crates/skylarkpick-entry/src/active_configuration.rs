//! The configuration that is active in this process.

use skylarkpick_config::{Account, Configuration, hash_token};
use skylarkpick_interface::{AccountId, ConfigurationVersion};
use std::collections::HashMap;

/// The configuration that is active in this process, indexed for lookups on each request.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    /// Version of the configuration; 0 before the first one is installed.
    pub version: ConfigurationVersion,
    /// The configuration.
    pub configuration: Configuration,
    accounts_by_token: HashMap<String, AccountId>,
}

impl ActiveConfiguration {
    /// Indexes a configuration.
    pub fn open(
        version: ConfigurationVersion,
        configuration: Configuration,
    ) -> ActiveConfiguration {
        let mut accounts_by_token = HashMap::new();
        for (name, account) in &configuration.accounts {
            for hash in &account.token_hashes {
                accounts_by_token.insert(hash.to_lowercase(), name.clone());
            }
        }
        ActiveConfiguration { version, configuration, accounts_by_token }
    }

    /// Returns the account that a bearer token belongs to.
    pub fn account_of(&self, token: &str) -> Option<(&AccountId, &Account)> {
        let name = self.accounts_by_token.get(&hash_token(token))?;
        self.configuration.accounts.get_key_value(name)
    }
}
