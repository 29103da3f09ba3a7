//! Published settings tree and process settings: parsing, checks, versions.
