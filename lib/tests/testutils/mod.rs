//! Helpers of the tests.

pub mod operator;
