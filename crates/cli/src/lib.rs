//! Commands of the program `lacewing`, for operators and for trying out the system.

pub mod args;
pub mod demo;
pub mod operate;
pub mod table;
