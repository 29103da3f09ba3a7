//! The last word of each balancer on a question that a balancer with an old view answers wrongly.

use std::net::Ipv4Addr;

use crate::flow::Millis;

/// Balancers remembered at most: what is forged must cost no memory.
const BALANCERS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Word {
    balancer: Ipv4Addr,
    yes: bool,
    at_ms: Millis,
}

/// For how long a word counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Validity {
    pub(super) yes_ms: Millis,
    pub(super) no_ms: Millis,
}

/// Words by balancer.
#[derive(Debug)]
pub(super) struct Votes {
    words: Vec<Word>,
    validity: Validity,
}

impl Votes {
    /// Nobody has said anything.
    pub(super) fn new(validity: Validity) -> Self {
        Self { words: Vec::new(), validity }
    }

    /// Takes a balancer's word.
    pub(super) fn hear(&mut self, now_ms: Millis, balancer: Ipv4Addr, yes: bool) {
        let word = Word { balancer, yes, at_ms: now_ms };
        match self.words.binary_search_by_key(&balancer, |word| word.balancer) {
            Ok(index) => self.words[index] = word,
            Err(index) if self.words.len() < BALANCERS_MAX => self.words.insert(index, word),
            Err(_) => {}
        }
    }

    /// How many say yes, and how many say something.
    pub(super) fn count(&mut self, now_ms: Millis) -> (usize, usize) {
        let Validity { yes_ms, no_ms } = self.validity;
        let valid_ms = |word: &Word| if word.yes { yes_ms } else { no_ms };
        self.words.retain(|word| now_ms.saturating_sub(word.at_ms) < valid_ms(word));
        (self.words.iter().filter(|word| word.yes).count(), self.words.len())
    }
}
