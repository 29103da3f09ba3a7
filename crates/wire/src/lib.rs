//! GUE encapsulation, sealed private data and control messages.
