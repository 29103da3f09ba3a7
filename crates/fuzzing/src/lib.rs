//! Stateful fuzzing of the decision core against an oracle.
