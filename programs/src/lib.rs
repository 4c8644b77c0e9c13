//! programs
