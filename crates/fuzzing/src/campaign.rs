//! Campaigns.
