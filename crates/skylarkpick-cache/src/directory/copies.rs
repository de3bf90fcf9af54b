//! Index of the saved copies of prefixes that stores are expected to hold.

use super::names::{NameId, Names};
use crate::saved::{SaveStatus, StatusUpdate};
use skylarkpick_interface::{
    AccountId, Generation, Manifest, PrefixKey, StoreId, StoreTier, WeightVersion,
};
use std::collections::{BTreeMap, HashMap};

/// A saved copy of a prefix in one store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCopy {
    /// The store.
    pub store: StoreId,
    /// Tier of the store that holds the copy.
    pub tier: StoreTier,
    /// Last block of the prefix.
    pub prefix_key: PrefixKey,
    /// Generation of the save.
    pub generation: Generation,
    /// Client account that owns the text.
    pub account: AccountId,
    /// Weights that the blocks were computed with.
    pub weight_version: WeightVersion,
    /// Tokens in the copy.
    pub tokens: u64,
    /// Bytes that an import transfers.
    pub size_bytes: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    status: SaveStatus,
    account: NameId,
    tier: StoreTier,
    weight_version: WeightVersion,
    tokens: u64,
    size_bytes: u64,
}

/// Index of the saved copies that stores are expected to hold. Entries are hints: before an import,
/// the copy is pinned and its manifest is checked again.
#[derive(Debug, Default)]
pub struct StorePrefixIndex {
    stores: Names,
    accounts: Names,
    incarnations: HashMap<NameId, u64>,
    copies: HashMap<PrefixKey, BTreeMap<NameId, Entry>>,
}

impl StorePrefixIndex {
    /// Records the incarnation of a store, and returns whether it is new. A new incarnation drops
    /// all copies of the store until its manifests have been applied.
    pub fn note_incarnation(&mut self, store: &str, incarnation: u64) -> bool {
        let Some(id) = self.stores.intern(store) else { return false };
        if self.incarnations.insert(id, incarnation) == Some(incarnation) {
            return false;
        }
        self.drop_copies(id);
        true
    }

    /// Applies a manifest of an incarnation of a store. Ignores those of other incarnations.
    pub fn apply_manifest(
        &mut self,
        store: &str,
        incarnation: u64,
        manifest: &Manifest,
    ) -> StatusUpdate {
        let Some(id) = self.stores.intern(store) else { return StatusUpdate::Stale };
        if self.incarnations.get(&id) != Some(&incarnation) {
            return StatusUpdate::Stale;
        }
        let Some(account) = self.accounts.intern(&manifest.prefix.account) else {
            return StatusUpdate::Stale;
        };
        let prefix = &manifest.prefix;
        let status = SaveStatus { generation: manifest.generation, state: manifest.state };
        let new = Entry {
            status,
            account,
            tier: prefix.tier,
            weight_version: prefix.weight_version,
            tokens: prefix.tokens,
            size_bytes: prefix.size_bytes,
        };
        let entries = self.copies.entry(prefix.prefix_key).or_default();
        let Some(known) = entries.get_mut(&id) else {
            entries.insert(id, new);
            return StatusUpdate::Applied;
        };
        let mut status = known.status;
        if status.observe(manifest.generation, manifest.state) == StatusUpdate::Stale {
            return StatusUpdate::Stale;
        }
        *known = new;
        StatusUpdate::Applied
    }

    /// Removes a copy whose store reported that it can't be imported any more.
    pub fn forget_copy(&mut self, store: &str, prefix_key: PrefixKey, generation: Generation) {
        let Some(id) = self.stores.find(store) else { return };
        let Some(entries) = self.copies.get_mut(&prefix_key) else { return };
        if entries.get(&id).is_some_and(|entry| entry.status.generation <= generation) {
            entries.remove(&id);
        }
        if entries.is_empty() {
            self.copies.remove(&prefix_key);
        }
    }

    /// Returns the sealed copies of the longest known prefix of a prompt.
    pub fn copies(&self, keys: &[PrefixKey]) -> Vec<StoreCopy> {
        let longest = keys.iter().rev().find_map(|key| {
            let found: Vec<StoreCopy> = self.copies_of(*key).collect();
            (!found.is_empty()).then_some(found)
        });
        longest.unwrap_or_default()
    }

    fn copies_of(&self, key: PrefixKey) -> impl Iterator<Item = StoreCopy> {
        let entries = self.copies.get(&key).into_iter().flatten();
        let sealed = entries.filter(|(_, entry)| entry.status.is_importable());
        sealed.map(move |(store, entry)| self.copy(*store, key, entry))
    }

    /// Returns all sealed copies in a store, ordered by key.
    pub fn copies_in(&self, store: &str) -> Vec<StoreCopy> {
        let Some(id) = self.stores.find(store) else { return Vec::new() };
        let mut copies: Vec<StoreCopy> = self
            .copies
            .iter()
            .filter_map(|(key, entries)| Some((key, entries.get(&id)?)))
            .filter(|(_, entry)| entry.status.is_importable())
            .map(|(key, entry)| self.copy(id, *key, entry))
            .collect();
        copies.sort_by_key(|copy| copy.prefix_key);
        copies
    }

    /// Returns the bytes of an account's sealed copies in all stores.
    pub fn account_bytes(&self, account: &str) -> u64 {
        let Some(account) = self.accounts.find(account) else { return 0 };
        let entries = self.copies.values().flat_map(BTreeMap::values);
        let own = entries.filter(|entry| entry.account == account && entry.status.is_importable());
        own.map(|entry| entry.size_bytes).sum()
    }

    /// Returns the number of sealed copies.
    pub fn len(&self) -> usize {
        let entries = self.copies.values().flat_map(BTreeMap::values);
        entries.filter(|entry| entry.status.is_importable()).count()
    }

    /// Returns whether there is no sealed copy.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn copy(&self, store: NameId, prefix_key: PrefixKey, entry: &Entry) -> StoreCopy {
        StoreCopy {
            store: self.stores.name(store).to_string(),
            tier: entry.tier,
            prefix_key,
            generation: entry.status.generation,
            account: self.accounts.name(entry.account).to_string(),
            weight_version: entry.weight_version,
            tokens: entry.tokens,
            size_bytes: entry.size_bytes,
        }
    }

    fn drop_copies(&mut self, id: NameId) {
        self.copies.retain(|_, entries| {
            entries.remove(&id);
            !entries.is_empty()
        });
    }
}
