//! Tests of a listing whose changes are followed meanwhile. That it continues after a refused page is tested with the
//! real program in `tests/end_to_end/restart.rs`.

use saltpitch_core::records::DEFAULT_MAX_ENDED_JOBS;

use super::*;
use crate::http::CallError;

fn listing() -> Listing {
    Listing::new(Clock::start(), DEFAULT_MAX_ENDED_JOBS, |record| {
        panic!("{record:?}")
    })
}

fn unanswered() -> ReadError {
    ReadError::NoResponse(CallError::Unknown)
}

/// Guards against a listing that can never end because its changes are too old, or too many for one response.
#[test]
fn a_listing_whose_changes_cannot_be_read_is_outdated() {
    let error = listing().catch_up_error(ReadError::RevisionTooOld);
    assert!(matches!(error, ListingError::Outdated(_)), "{error}");
    let mut listing = listing();
    for _ in 1..MAX_UNANSWERED_CATCH_UPS {
        let error = listing.catch_up_error(unanswered());
        assert!(matches!(error, ListingError::Interrupted(_)), "{error}");
    }
    let error = listing.catch_up_error(unanswered());
    assert!(matches!(error, ListingError::Outdated(_)), "{error}");
}

/// Guards against an outage of the store that makes a listing drop its pages.
#[test]
fn refusals_never_make_a_listing_outdated() {
    let mut listing = listing();
    for status in [503, 429, 503].repeat(10) {
        listing.catch_up_error(unanswered());
        let error = listing.catch_up_error(ReadError::Status(status));
        assert!(matches!(error, ListingError::Interrupted(_)), "{error}");
    }
}
