//! Rate limits per organisation and service, shared by all routers through loans.
//!
//! One limit counts one quantity: requests or tokens.
//!
//! | event | action |
//! | --- | --- |
//! | [`Borrower::take`]: a request arrives | allows or refuses it |
//! | [`Borrower::amount_to_borrow`]: after a request | the loan to ask for, if the allowance runs low |
//! | [`Borrower::add_loan`]: a loan arrived | none; adds the allowance |
//! | [`Borrower::refund`]: a request used less | none; adds the allowance |
//! | [`Borrower::owner_unreachable`]: the owner did not answer | none; uses limit/N from now on |
//! | [`Borrower::owner_changed`] | none; keeps the allowance, and may ask the new owner |
//! | [`Bucket::lend`]: a router asks the owner | the amount add_loan |

mod borrower;
mod bucket;
mod owner;

pub use borrower::Borrower;
pub use bucket::Bucket;
pub use owner::owner;
