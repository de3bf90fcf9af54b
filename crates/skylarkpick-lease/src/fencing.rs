//! Fencing numbers that grow over the eras of the platform's store.

use skylarkpick_interface::{FencingNumber, StoreRevision};

/// Bits of a fencing number that hold the revision's number. The era is above them.
const REVISION_BITS: u32 = 40;
/// Bits of the largest integer that JSON readers with floating-point numbers keep exactly.
const EXACT_BITS: u32 = 53;

/// Returns the fencing number of a lease record's revision. It is larger than those of all earlier
/// revisions, also of earlier eras. Returns `None` from the 8,192nd era or revision number 2^40 on, where
/// it would not be exact.
///
/// ```
/// use skylarkpick_interface::StoreRevision;
/// use skylarkpick_lease::fencing_number;
/// assert_eq!(fencing_number(StoreRevision { era: 0, number: 12 }), Some(12));
/// let before = fencing_number(StoreRevision { era: 1, number: 900 });
/// let after = fencing_number(StoreRevision { era: 2, number: 12 });
/// assert!(before < after);
/// assert_eq!(fencing_number(StoreRevision { era: 8_192, number: 1 }), None);
/// ```
pub fn fencing_number(revision: StoreRevision) -> Option<FencingNumber> {
    let is_exact =
        revision.number >> REVISION_BITS == 0 && revision.era >> (EXACT_BITS - REVISION_BITS) == 0;
    is_exact.then_some(revision.era << REVISION_BITS | revision.number)
}
