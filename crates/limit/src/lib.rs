//! Rate limits per organisation and service, shared by all routers. One router owns the limit and
//! lends parts of it to the others.
//!
//! Each limit applies to one quantity: requests or tokens.
//!
//! | event | action |
//! | --- | --- |
//! | [`Borrower::take`]: a request arrives | allows or refuses it |
//! | [`Borrower::wanted`]: after a request | the loan to request, if the allowance is low |
//! | [`Borrower::add_loan`]: a loan arrived | none; adds it to the allowance |
//! | [`Borrower::refund`]: a request used less than it took | none; adds the difference to the allowance |
//! | [`Borrower::unreachable`]: the owner did not answer | none; an equal share of the limit applies until the next loan, in turns if it is less than a request at a time |
//! | [`Borrower::owner_changed`]: another router owns the limit | none; keeps the allowance and may request a loan from the new owner |
//! | [`Bucket::lend`]: a router requests a loan from the owner | the amount add_loan |

mod borrower;
mod bucket;
mod owner;
mod turns;

pub use borrower::Borrower;
pub use borrower::Share;
pub use bucket::Bucket;
pub use owner::owner;
pub use turns::Turns;
