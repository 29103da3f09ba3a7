//! Map for small tables, kept as a vector that is sorted by key.

/// Map backed by a sorted vector with binary search.
#[derive(Clone, Debug)]
pub(super) struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K: Ord + Copy, V> SortedMap<K, V> {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, key: K) -> Option<&V> {
        self.find(key).ok().map(|index| &self.entries[index].1)
    }

    pub(super) fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let index = self.find(key).ok()?;
        Some(&mut self.entries[index].1)
    }

    /// The value of a key, which is inserted with its default if it is missing.
    pub(super) fn get_or_default(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        let index = self.find(key).unwrap_or_else(|index| {
            self.entries.insert(index, (key, V::default()));
            index
        });
        &mut self.entries[index].1
    }

    pub(super) fn insert(&mut self, key: K, value: V) {
        match self.find(key) {
            Ok(index) => self.entries[index].1 = value,
            Err(index) => self.entries.insert(index, (key, value)),
        }
    }

    pub(super) fn remove(&mut self, key: K) -> Option<V> {
        let index = self.find(key).ok()?;
        Some(self.entries.remove(index).1)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries.iter().map(|(key, value)| (*key, value))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (*key, value))
    }

    pub(super) fn retain(&mut self, mut keep: impl FnMut(&V) -> bool) {
        self.entries.retain(|(_, value)| keep(value));
    }

    fn find(&self, key: K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(known, _)| known.cmp(&key))
    }
}
