//! Decoding of lists with a bound on the memory that a sender can make the receiver allocate.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error as _, SeqAccess, Visitor};

/// Decodes a list of at most `MAX` entries. A longer one is rejected by its announced length,
/// before any memory is allocated for it.
pub(crate) fn list<'de, D, T, const MAX: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(ListVisitor::<T, MAX>(PhantomData))
}

struct ListVisitor<T, const MAX: usize>(PhantomData<T>);

impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for ListVisitor<T, MAX> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        let length_hint = sequence.size_hint().unwrap_or(0);
        if length_hint > MAX {
            return Err(A::Error::invalid_length(length_hint, &self));
        }
        let mut list = Vec::with_capacity(length_hint);
        while let Some(entry) = sequence.next_element()? {
            if list.len() == MAX {
                return Err(A::Error::invalid_length(MAX + 1, &self));
            }
            list.push(entry);
        }
        Ok(list)
    }
}
