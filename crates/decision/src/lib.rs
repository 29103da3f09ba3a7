//! Pure decision core: events in, actions out.
