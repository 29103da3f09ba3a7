//! Agent daemon: admits, tracks and delivers the flows of one upstream.
